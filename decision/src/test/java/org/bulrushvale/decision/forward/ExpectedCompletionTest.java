package org.bulrushvale.decision.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.decision.forward.PlacementSimulation.Load;
import org.bulrushvale.decision.forward.PlacementSimulation.Result;
import org.bulrushvale.decision.forward.PlacementSimulation.States;
import org.bulrushvale.decision.forward.ServerFacts.Source;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against callers that wait because requests go to servers that are slow or busy. */
public class ExpectedCompletionTest {
    private static final int ENTRIES = 78;
    private static final int SEEDS = 4;
    private static final Duration TIME = Duration.ofSeconds(30);

    private static double[] speeds(int count, double... pattern) {
        double[] speeds = new double[count];
        for (int i = 0; i < count; i++) {
            speeds[i] = pattern[i % pattern.length];
        }
        return speeds;
    }

    @DataProvider
    public Object[][] loads() {
        double[] even = speeds(12, 1);
        double[] uneven = speeds(12, 0.7, 0.7, 1.7);
        States none = States.NOTHING;
        States stated = States.LOAD_AND_PACE;
        // name, load, share of the late requests that may remain
        return new Object[][] {
            {"uneven", model(uneven, 1, 0, 110, 0, none), 0.5},
            {"wrong reports", model(uneven, 1, 0, 110, 0, States.WRONG_LOAD), 0.5},
            {"hot prompt part", model(even, 1, 0, 110, 0.4, none), 0.5},
            {"swings between 1 and 5", model(even, 5, 0.15, 90, 0, stated), 1.0},
            {"three plain servers", plain(8, speeds(3, 1)), 1.0},
            {"four plain servers", plain(78, speeds(4, 1)), 1.0},
            {"uneven plain servers", plain(8, speeds(4, 0.7, 0.7, 1.7)), 0.5},
        };
    }

    private static Load model(
            double[] speeds,
            double slowFactor,
            double slowShare,
            double rate,
            double hotShare,
            States states) {
        return new Load(
                12,
                speeds,
                16,
                slowFactor,
                slowShare,
                rate,
                250,
                600,
                6_000,
                60,
                hotShare,
                states,
                1_000);
    }

    private static Load plain(int entries, double[] speeds) {
        return new Load(
                entries, speeds, 6, 2.5, 0.15, 90, 60, 0, 0, 0, 0, States.LOAD_AND_PACE, 148);
    }

    @Test(dataProvider = "loads")
    public void fewer_callers_get_their_first_event_late_than_by_affinity(
            String name, Load load, double remaining) {
        double lateBefore = 0;
        double late = 0;
        double p50Before = 0;
        double p50 = 0;
        double p99Before = 0;
        double p99 = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            Result before = new PlacementSimulation(load, false, seed).run(TIME);
            Result after = new PlacementSimulation(load, true, seed).run(TIME);
            System.out.printf("%s, seed %d, affinity %s, expected %s%n", name, seed, before, after);
            lateBefore += 1 - before.shareInTime();
            late += 1 - after.shareInTime();
            p50Before += before.p50();
            p50 += after.p50();
            p99Before += before.p99();
            p99 += after.p99();
        }
        assertThat(late).isLessThanOrEqualTo(lateBefore * remaining);
        // A tenth of the usual time is the price that most may pay for those that were late.
        assertThat(p50).isLessThanOrEqualTo(p50Before * 1.1);
        assertThat(p99).isLessThanOrEqualTo(p99Before * 1.1);
    }

    @DataProvider
    public Object[][] fleets() {
        // servers, affinity, largest share of the entries that may choose the same server
        return new Object[][] {{42, "", 0.25}, {42, "part", 1.0}, {4, "", 0.85}};
    }

    @Test(dataProvider = "fleets")
    public void entries_with_the_same_stale_figures_do_not_all_choose_the_same_server(
            int servers, String affinity, double largestShare) {
        ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
        Map<String, Integer> chosen = new HashMap<>();
        for (int entry = 0; entry < ENTRIES; entry++) {
            // given a server that everyone knows as idle, among busy ones
            BackendDirectory directory = new BackendDirectory(clock);
            for (int i = 0; i < servers; i++) {
                directory.put(TestServers.warm("s" + i, "pool", "a"));
                Server server = directory.serverAtAddress("s" + i + ".test:80").orElseThrow();
                server.facts().recordLoad(load(i == 0 ? 0 : 60), Source.ANSWER, 0);
            }
            ExpectedCompletion choice = newChoice(clock);
            // when
            Server server =
                    choice.choose(
                            directory.eligibleServers("pool"),
                            Set.of(),
                            0,
                            new ServerChoice.Request("pool", affinity, 8_000, 64, "", entry * 77L));
            chosen.merge(server.published().id(), 1, Integer::sum);
        }
        // then
        assertThat(chosen.getOrDefault("s0", 0))
                .isLessThanOrEqualTo((int) (ENTRIES * largestShare));
        if (!affinity.isEmpty()) {
            // A difference in load that reading the prompt again outweighs moves no request.
            assertThat(chosen).hasSize(1).doesNotContainKey("s0");
        }
    }

    private static ServerLoad load(int running) {
        OptionalInt none = OptionalInt.empty();
        return new ServerLoad(OptionalInt.of(running), none, none, none);
    }

    private static ExpectedCompletion newChoice(ManualClock clock) {
        ColdServerRateLimit.FleetView fleet =
                new ColdServerRateLimit.FleetView() {
                    @Override
                    public int entryCount() {
                        return ENTRIES;
                    }

                    @Override
                    public int rank(String server) {
                        return 0;
                    }
                };
        SendLimits limits =
                new SendLimits(
                        clock,
                        new ColdServerRateLimit(clock, fleet),
                        new StatedRateLimits(clock, fleet));
        return new ExpectedCompletion(clock, limits, new ServerSpeed(clock), fleet::entryCount);
    }

    @Test
    public void a_speed_is_learned_relative_to_the_service_and_lapses() {
        // given one of four servers that is slow, whatever the size of the prompt
        ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
        ServerSpeed speed = new ServerSpeed(clock);
        for (int i = 0; i < 64; i++) {
            int server = i % 4;
            long tokens = i % 8 < 4 ? 500 : 8_000;
            speed.recordFirstEvent(
                    "pool", "s" + server + "/1", tokens, true, tokens * (server == 0 ? 170 : 100));
        }
        ServerSpeed other = new ServerSpeed(clock);
        // when
        other.merge(speed.records(ServerSpeed.MAX_RECORDS_PER_NOTICE));
        other.merge(List.of(new ObservedSpeed(7, -3, 0), new ObservedSpeed(8, 100, -1)));
        // then
        assertThat(speed.ratio("s0/1")).isBetween(1.6, 1.8);
        assertThat(other.ratio("s0/1")).isBetween(1.6, 1.8);
        assertThat(other.ratio("s1/1")).isBetween(0.9, 1.1);
        assertThat(other.records(64)).hasSize(4);
        clock.advance(Duration.ofSeconds(11));
        assertThat(speed.ratio("s0/1")).isEqualTo(speed.ratio("untried/1"));
        assertThat(other.ratio("s0/1")).isLessThan(1);
        assertThat(other.records(64)).isEmpty();
    }

    @Test
    public void lapsed_observations_do_not_count_together_with_a_new_one() {
        // given a server that was slow
        ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
        ServerSpeed speed = new ServerSpeed(clock);
        observe(speed, 9, 400);
        assertThat(speed.ratio("s/1")).isGreaterThan(3);
        // when it is tried again much later and has recovered
        clock.advance(Duration.ofMinutes(10));
        observe(speed, 3, 100);
        // then
        assertThat(speed.ratio("s/1")).isBetween(0.9, 1.1);
    }

    /** Records answers of a server beside three usual ones each. */
    private static void observe(ServerSpeed speed, int count, long nanos) {
        for (int i = 0; i < count; i++) {
            for (int other = 0; other < 3; other++) {
                speed.recordFirstEvent("pool", "usual/" + other, 500, true, 100);
            }
            speed.recordFirstEvent("pool", "s/1", 500, true, nanos);
        }
    }
}
