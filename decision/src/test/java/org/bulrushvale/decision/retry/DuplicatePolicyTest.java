package org.bulrushvale.decision.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import java.util.function.ToDoubleBiFunction;
import org.bulrushvale.decision.forward.BackendDirectory;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.decision.forward.PublishedBackend;
import org.bulrushvale.decision.forward.RepeatBudget;
import org.bulrushvale.decision.forward.ServerFacts;
import org.bulrushvale.decision.forward.ServerLoad;
import org.bulrushvale.decision.retry.DuplicatePolicy.Attempt;
import org.bulrushvale.decision.retry.DuplicatePolicy.Decision;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a few slow servers that determine the slowest answers, and against duplicates that
 * exceed their limit or load a service that is slow as a whole.
 */
public class DuplicatePolicyTest {
    private static final double LIMIT_PERCENT = 5;
    private static final Duration TARGET = Duration.ofSeconds(1);
    private static final Duration TIME = Duration.ofSeconds(120);
    private static final double PER_SECOND = 200;
    private static final ToDoubleBiFunction<Integer, Long> ONE_SLOW =
            (server, nanos) -> server == 0 ? 5 : 1;

    // The resolution of the histogram and the few requests that change places in the order.
    private static final double TOLERANCE = 1.01;

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}};
    }

    private static DuplicateSimulation run(
            long seed, double limit, double perSecond, ToDoubleBiFunction<Integer, Long> slowness) {
        return new DuplicateSimulation(seed, limit, TARGET, slowness)
                .run(perSecond, perSecond, TIME);
    }

    @Test(dataProvider = "seeds")
    public void one_slow_server_of_six_no_longer_determines_the_slowest_answers(long seed) {
        // when
        DuplicateSimulation off = run(seed, 0, PER_SECOND, ONE_SLOW);
        DuplicateSimulation on = run(seed, LIMIT_PERCENT, PER_SECOND, ONE_SLOW);
        // then
        System.out.printf(
                "seed %d: p50 %.0f -> %.0f ms, p99 %.0f -> %.0f ms, duplicates %.2f%%%n",
                seed,
                off.quantile(50),
                on.quantile(50),
                off.quantile(99),
                on.quantile(99),
                100 * on.largestShare());
        assertThat(on.quantile(99)).isLessThan(off.quantile(99));
        assertThat(on.quantile(50)).isLessThanOrEqualTo(off.quantile(50) * TOLERANCE);
        assertThat(on.largestShare()).isGreaterThan(0).isLessThanOrEqualTo(LIMIT_PERCENT / 100);
        assertThat(off.duplicates()).isZero();
    }

    @Test(dataProvider = "seeds")
    public void nothing_is_duplicated_while_all_servers_are_slow(long seed) {
        // given: servers that become slow together, each after the usual times are known
        ToDoubleBiFunction<Integer, Long> slowness =
                (server, nanos) -> nanos < DuplicateSimulation.WARM_UP_NANOS ? 1 : 5;
        int before = run(seed, LIMIT_PERCENT, 40, (server, nanos) -> 1).duplicates();
        // when
        DuplicateSimulation slow =
                new DuplicateSimulation(seed, LIMIT_PERCENT, TARGET, slowness)
                        .run(40, 40, Duration.ofSeconds(10));
        // then: only what the warm-up duplicates
        assertThat(slow.duplicatesAfterWarmUp()).isZero();
        assertThat(before).isPositive();
    }

    @Test(dataProvider = "seeds")
    public void nothing_is_duplicated_while_the_service_is_short_of_room(long seed) {
        // given: 1,000 requests/s for 48 slots that serve about 470/s, after a usual load
        DuplicateSimulation full =
                new DuplicateSimulation(seed, LIMIT_PERCENT, TARGET, (server, nanos) -> 1)
                        .run(PER_SECOND, 1_000, Duration.ofSeconds(3));
        // then
        assertThat(full.duplicatesAfterWarmUp()).isZero();
    }

    @Test
    public void the_parts_of_many_entries_add_up_to_no_more_than_the_limit() {
        // given: 78 entries with uneven load, which duplicate whenever they may
        Random random = new Random(7);
        ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
        List<DuplicateLimit> entries = new ArrayList<>();
        for (int i = 0; i < 78; i++) {
            entries.add(new DuplicateLimit(clock, LIMIT_PERCENT));
        }
        int requests = 0;
        int duplicates = 0;
        long tokens = 0;
        long duplicateTokens = 0;
        // when
        for (int i = 0; i < 50_000; i++) {
            DuplicateLimit entry = entries.get((int) (78 * Math.pow(random.nextDouble(), 2)));
            long size = random.nextInt(10) == 0 ? 20_000 : 500;
            entry.recordRequest("pool", size);
            requests++;
            tokens += size;
            if (entry.allows("pool", 1, size)) {
                entry.recordDuplicates("pool", 1, size);
                duplicates++;
                duplicateTokens += size;
            }
            clock.advance(Duration.ofNanos(100_000));
            // then
            assertThat((double) duplicates).isLessThanOrEqualTo(0.05 * requests);
            assertThat((double) duplicateTokens).isLessThanOrEqualTo(0.05 * tokens);
        }
        assertThat(duplicates).isPositive();
    }

    @Test
    public void cold_suspect_slow_full_and_paused_servers_receive_no_duplicate() {
        // given
        ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
        BackendDirectory directory = new BackendDirectory(clock);
        for (String id :
                List.of(
                        "own", "cold", "suspect", "avoided", "paused", "slow", "full", "waiting",
                        "busy")) {
            Duration cold = id.equals("cold") ? TIME : Duration.ZERO;
            directory.put(
                    new PublishedBackend(id, "pool", "h", 1, "v1", "b", 1, false, 1, 1, cold));
        }
        directory.put(
                new PublishedBackend(
                        "same-domain", "pool", "h", 1, "v1", "a", 1, false, 1, 1, Duration.ZERO));
        DuplicatePolicy policy = policy(clock, LIMIT_PERCENT);
        List<Server> servers = directory.eligibleServers("pool");
        for (Server server : servers) {
            switch (server.published().id()) {
                case "suspect" -> server.recordFailure(clock.monotonicNanos());
                case "avoided" -> server.avoidFor(clock.monotonicNanos(), TARGET.toNanos());
                case "paused" ->
                        server.facts().recordPause(TARGET.toSeconds(), clock.monotonicNanos());
                case "slow" -> policy.recordSlow(attempt("slow", clock));
                case "full" -> server.recordStart(1);
                case "waiting" -> stateLoad(server, 1, 1, clock);
                case "busy" -> stateLoad(server, 9, 0, clock);
                default -> {}
            }
        }
        // when
        List<Server> candidates = policy.candidates(attempt("own", clock), "a", servers);
        // then: the one in the same failure domain is taken only without another
        assertThat(candidates)
                .extracting(server -> server.published().id())
                .containsExactly("same-domain");
    }

    @Test
    public void each_reason_against_a_duplicate_is_named() {
        // given
        ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
        DuplicatePolicy policy = policy(clock, LIMIT_PERCENT);
        Attempt young = attempt("s0", clock);
        assertThat(policy.decide(young, TIME, true)).isEqualTo(Decision.NOT_SLOW);
        for (int i = 0; i < 49; i++) {
            answerAfter(policy, clock, "s1", 10);
        }
        assertThat(policy.delay(young)).as("49 samples are too few").isEmpty();
        answerAfter(policy, clock, "s1", 10);
        // when
        Attempt slow = attempt("s0", clock);
        clock.advance(Duration.ofMillis(25));
        policy.recordSlow(slow);
        // then
        assertThat(policy.decide(slow, TIME, true)).isEqualTo(Decision.SERVICE_SLOW);
        answerAfter(policy, clock, "s1", 5);
        assertThat(policy.decide(slow, Duration.ofMillis(5), true)).isEqualTo(Decision.TOO_LATE);
        assertThat(policy.decide(slow, TIME, false)).isEqualTo(Decision.NO_SERVER);
        assertThat(policy.decide(slow, TIME, true)).isEqualTo(Decision.LIMIT);
        for (int i = 0; i < 20; i++) {
            policy.recordRequest("pool", 1);
        }
        assertThat(policy.decide(slow, TIME, true)).isEqualTo(Decision.BUDGET);
        policy.recordRefusal("pool");
        assertThat(policy.decide(slow, TIME, true)).isEqualTo(Decision.SERVICE_FULL);
        assertThat(policy(clock, 0).decide(slow, TIME, true)).isEqualTo(Decision.OFF);
    }

    private static void answerAfter(
            DuplicatePolicy policy, ManualClock clock, String server, int millis) {
        Attempt attempt = attempt(server, clock);
        clock.advance(Duration.ofMillis(millis));
        policy.recordAnswer(attempt);
    }

    private static void stateLoad(Server server, int running, int waiting, ManualClock clock) {
        ServerLoad load =
                new ServerLoad(
                        OptionalInt.of(running),
                        OptionalInt.of(waiting),
                        OptionalInt.of(9),
                        OptionalInt.empty());
        server.facts().recordLoad(load, ServerFacts.Source.ANSWER, clock.monotonicNanos());
    }

    private static Attempt attempt(String server, ManualClock clock) {
        return new Attempt("pool", "class", 1, server, clock.monotonicNanos());
    }

    /** Returns a policy whose repeat budget is empty, because no request was recorded there. */
    private static DuplicatePolicy policy(ManualClock clock, double limitPercent) {
        RepeatBudget budget = new RepeatBudget(clock, 0.2, 0, Duration.ofSeconds(10), () -> 1);
        return new DuplicatePolicy(clock, new DuplicateLimit(clock, limitPercent), budget);
    }
}
