package org.bulrushvale.decision.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import org.bulrushvale.decision.forward.StageLoadSimulation.Load;
import org.bulrushvale.decision.forward.StageLoadSimulation.Tally;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against requests that a stage service with little result memory could serve and does not:
 * refused while their callers would wait, starved by smaller or less urgent ones, or lost with a
 * collector. Each load runs against the order without admission.
 */
public class StageAdmissionLoadTest {
    // Of the requirements: how much more often a less urgent class may be served, and how much more
    // of its worth it may earn.
    private static final double SERVED_MARGIN = 0.05;
    private static final double WORTH_MARGIN = 0.15;
    private static final int SERVERS = 12;
    private static final Duration ARRIVALS = Duration.ofSeconds(16);

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1}, {2}, {3}, {4}};
    }

    private static Load audit(ToDoubleFunction<Long> perSecondAtMillis) {
        return new Load("audit", 0, 1_015, 4_060, 5_076, 3.5, 0.21, 200, perSecondAtMillis);
    }

    private static Load summary(double perSecond) {
        return new Load("summary", 2, 4_006, 15_024, 15_024, 0.24, 0.053, 200, millis -> perSecond);
    }

    private static Map<String, Tally> run(
            long seed, boolean queueOn, List<Load> loads, Consumer<StageLoadSimulation> prepare) {
        return run(seed, queueOn, queueOn, loads, prepare);
    }

    private static Map<String, Tally> run(
            long seed,
            boolean queueOn,
            boolean returnTimes,
            List<Load> loads,
            Consumer<StageLoadSimulation> prepare) {
        StageLoadSimulation simulation =
                new StageLoadSimulation(seed, queueOn, returnTimes, SERVERS);
        prepare.accept(simulation);
        return simulation.run(ARRIVALS, loads);
    }

    private static Tally of(Map<String, Tally> tallies, Load load) {
        return tallies.getOrDefault(load.name(), new Tally());
    }

    /** Checks the shares that hold under every load. */
    private static void assertFair(Map<String, Tally> tallies, Load urgent, Load other) {
        for (Tally tally : tallies.values()) {
            assertThat(tally.mUnanswered).isZero();
            // Sizes 7 and 8 are a tenth of the requests, 5 and 6 the part below it.
            assertThat(tally.servedOfSizes(7, 8)).isGreaterThanOrEqualTo(tally.served() / 2);
            assertThat(tally.servedOfSizes(5, 6)).isGreaterThanOrEqualTo(tally.served() / 2);
        }
        assertThat(of(tallies, other).served() - of(tallies, urgent).served())
                .isLessThanOrEqualTo(SERVED_MARGIN);
        assertThat(of(tallies, other).worthShare(other) - of(tallies, urgent).worthShare(urgent))
                .isLessThanOrEqualTo(WORTH_MARGIN);
    }

    @Test(dataProvider = "seeds")
    public void in_a_burst_of_one_class_almost_all_are_served(long seed) {
        // given: 74% of the result memory is needed, and 148% for 6 s
        Load audit = audit(millis -> millis >= 4_000 && millis < 10_000 ? 125 : 50);
        List<Load> loads = List.of(audit, summary(25));
        // when
        Map<String, Tally> before = run(seed, false, loads, simulation -> {});
        Map<String, Tally> tallies = run(seed, true, loads, simulation -> {});
        // then: half a power of ten fewer are lost, at a cost within the margin between classes
        assertFair(tallies, audit, loads.get(1));
        double worth = 0;
        double worthBefore = 0;
        for (Load load : loads) {
            assertThat(of(tallies, load).unserved() * 3)
                    .isLessThanOrEqualTo(of(before, load).unserved());
            worth += of(tallies, load).mWorth;
            worthBefore += of(before, load).mWorth;
        }
        assertThat(worth).isGreaterThan(worthBefore * (1 - SERVED_MARGIN));
    }

    @Test(dataProvider = "seeds")
    public void a_third_of_the_servers_may_become_slow_and_then_vanish(long seed) {
        // given
        Load audit = audit(millis -> 55);
        List<Load> loads = List.of(audit, summary(28));
        Consumer<StageLoadSimulation> fault =
                simulation ->
                        simulation.setSlowness(server -> slowThenGone(server, simulation.millis()));
        // when
        Map<String, Tally> before = run(seed, false, loads, fault);
        Map<String, Tally> tallies = run(seed, true, loads, fault);
        // then
        assertFair(tallies, audit, loads.get(1));
        for (Load load : loads) {
            assertThat(of(tallies, load).unserved())
                    .isLessThanOrEqualTo(of(before, load).unserved());
        }
    }

    private static double slowThenGone(int server, long millis) {
        if (server >= SERVERS / 3 || millis < 4_000 || millis >= 10_000) {
            return 1;
        }
        return millis < 7_000 ? 4 : Double.POSITIVE_INFINITY;
    }

    @Test(dataProvider = "seeds")
    public void callers_that_return_at_once_gain_nothing(long seed) {
        // given: a burst beyond what patience can bridge, half of it of callers that retry at once
        ToDoubleFunction<Long> burst = millis -> millis >= 2_000 && millis < 14_000 ? 75 : 25;
        Load polite = audit(burst);
        Load hasty = new Load("hasty", 0, 1_015, 4_060, 5_076, 3.5, 0.21, 0, burst);
        // when
        Map<String, Tally> tallies =
                run(seed, true, List.of(polite, hasty, summary(25)), simulation -> {});
        // then
        assertThat(of(tallies, hasty).served())
                .isLessThan(of(tallies, polite).served() + SERVED_MARGIN);
        assertThat(of(tallies, hasty).worthShare(hasty))
                .isLessThan(of(tallies, polite).worthShare(polite) + SERVED_MARGIN);
    }

    @Test(dataProvider = "seeds")
    public void callers_with_a_return_time_are_refused_again_less_often(long seed) {
        // given: more than the patience can bridge
        Load audit = audit(millis -> millis >= 3_000 && millis < 13_000 ? 150 : 50);
        List<Load> loads = List.of(audit, summary(25));
        // when
        Tally constant = of(run(seed, true, false, loads, simulation -> {}), audit);
        Tally assigned = of(run(seed, true, true, loads, simulation -> {}), audit);
        // then
        assertThat(assigned.mRefusedTwice).isLessThan(constant.mRefusedTwice);
        assertThat((double) assigned.mRefusedTwice / assigned.mReturned)
                .isLessThan((double) constant.mRefusedTwice / constant.mReturned);
    }

    @Test(dataProvider = "seeds")
    public void every_caller_has_an_answer_after_the_death_of_a_collector_with_a_full_queue(
            long seed) {
        // given
        Load audit = audit(millis -> millis >= 4_000 && millis < 10_000 ? 125 : 50);
        List<Load> loads = List.of(audit, summary(25));
        // when
        Map<String, Tally> tallies =
                run(
                        seed,
                        true,
                        loads,
                        simulation -> simulation.after(7_000, simulation::killCollector));
        // then: at most the arrivals of the silence and of one call are lost
        for (Tally tally : tallies.values()) {
            assertThat(tally.mUnanswered).isZero();
            assertThat(tally.served()).isGreaterThan(1 - 1.5 / ARRIVALS.toSeconds() * 2);
        }
    }

    @Test(dataProvider = "seeds")
    public void every_caller_has_an_answer_when_answers_of_the_collector_are_lost(long seed) {
        // given: a second of lost results, which occupy memory for their lifetime
        List<Load> loads = List.of(audit(millis -> 50), summary(25));
        // when
        Map<String, Tally> tallies =
                run(
                        seed,
                        true,
                        loads,
                        simulation ->
                                simulation.after(4_000, () -> simulation.loseAnswersUntil(5_000)));
        // then: no more is lost than what arrives in that second and during the lifetime
        for (Tally tally : tallies.values()) {
            assertThat(tally.mUnanswered).isZero();
            assertThat(tally.served()).isGreaterThan(1 - 6.0 / ARRIVALS.toSeconds());
        }
    }
}
