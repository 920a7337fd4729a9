package org.bulrushvale.decision.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import org.bulrushvale.decision.forward.StageLoadSimulation.Load;
import org.bulrushvale.decision.forward.StageLoadSimulation.Tally;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a workspace with ten times its usual load that takes the capacity of the others.
 * Each load is that of a workspace.
 */
public class FairSharesLoadTest {
    // Of the requirements: what the other workspaces may lose.
    private static final double MARGIN = 0.05;
    private static final int SERVERS = 12;
    private static final Duration ARRIVALS = Duration.ofSeconds(16);

    // Six workspaces use about 60% of the result memory.
    private static final double USUAL = 10;

    // Callers of the worse rank wait for longer, so that it takes more to push them out.
    private static final double FLOODER = 1.5 * USUAL;
    private static final List<String> OTHERS = List.of("a", "b", "c", "d", "e");

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1}, {2}, {3}, {4}};
    }

    private static Load load(String name, ToDoubleFunction<Long> perSecondAtMillis) {
        return new Load(name, 0, 1_015, 4_060, 5_076, 3.5, 0.21, 200, perSecondAtMillis);
    }

    private static List<Load> loads(double firstPerSecond) {
        List<Load> loads = new ArrayList<>();
        loads.add(load("flood", millis -> firstPerSecond));
        OTHERS.forEach(name -> loads.add(load(name, millis -> USUAL)));
        return loads;
    }

    private static Map<String, Tally> run(
            long seed, boolean fair, List<Load> loads, Consumer<StageLoadSimulation> prepare) {
        StageLoadSimulation simulation = new StageLoadSimulation(seed, true, true, SERVERS);
        if (fair) {
            simulation.useFairShares();
        }
        prepare.accept(simulation);
        return simulation.run(ARRIVALS, loads);
    }

    private static double served(Map<String, Tally> tallies, List<String> names) {
        return part(tallies, names, tally -> tally.mServed);
    }

    private static double inTime(Map<String, Tally> tallies, List<String> names) {
        return part(tallies, names, tally -> tally.mInTime);
    }

    private static double part(
            Map<String, Tally> tallies, List<String> names, ToDoubleFunction<Tally> count) {
        double sum = 0;
        double offered = 0;
        for (String name : names) {
            Tally tally = tallies.getOrDefault(name, new Tally());
            sum += count.applyAsDouble(tally);
            offered += tally.mOffered;
        }
        return sum / offered;
    }

    private static void assertNotPushedOut(
            Map<String, Tally> calm, Map<String, Tally> flood, List<String> names) {
        for (String name : names) {
            List<String> one = List.of(name);
            assertThat(served(flood, one)).isGreaterThanOrEqualTo(served(calm, one) - MARGIN);
            assertThat(inTime(flood, one)).isGreaterThanOrEqualTo(inTime(calm, one) - MARGIN);
        }
    }

    @Test(dataProvider = "seeds")
    public void a_workspace_with_ten_times_its_load_does_not_push_others_out(long seed) {
        // given
        Map<String, Tally> calm = run(seed, false, loads(USUAL), simulation -> {});
        Map<String, Tally> before = run(seed, false, loads(10 * USUAL), simulation -> {});
        // when
        Map<String, Tally> tallies = run(seed, true, loads(10 * USUAL), simulation -> {});
        // then
        assertNotPushedOut(calm, tallies, OTHERS);
        // Without shares the load must push them out, or the test would show nothing.
        assertThat(inTime(before, OTHERS)).isLessThan(inTime(calm, OTHERS) - MARGIN);
        for (Tally tally : tallies.values()) {
            assertThat(tally.mUnanswered).isZero();
            // Sizes 7 and 8 are a tenth of the requests, 5 and 6 the part below it.
            assertThat(tally.servedOfSizes(7, 8)).isGreaterThanOrEqualTo(tally.served() / 2);
            assertThat(tally.servedOfSizes(5, 6)).isGreaterThanOrEqualTo(tally.served() / 2);
        }
        // then: what the others leave goes to the flood
        List<String> all = List.copyOf(tallies.keySet());
        assertThat(served(tallies, all)).isGreaterThanOrEqualTo(served(before, all) - MARGIN);
    }

    @Test(dataProvider = "seeds")
    public void a_flood_of_a_worse_rank_pushes_out_nobody(long seed) {
        // given: two workspaces with requests of two ranks beside the flood
        List<String> names = List.of("a/audit", "a/summary", "b/audit", "b/summary");
        // when
        Map<String, Tally> calm = run(seed, false, twoRanks(FLOODER), simulation -> {});
        Map<String, Tally> before = run(seed, false, twoRanks(10 * FLOODER), simulation -> {});
        Map<String, Tally> tallies = run(seed, true, twoRanks(10 * FLOODER), simulation -> {});
        // then
        assertNotPushedOut(calm, tallies, names);
        List<String> summaries = List.of("a/summary", "b/summary");
        assertThat(inTime(before, summaries)).isLessThan(inTime(calm, summaries) - MARGIN);
    }

    private static List<Load> twoRanks(double floodPerSecond) {
        List<Load> loads = new ArrayList<>();
        loads.add(summary("flood", floodPerSecond));
        for (String name : List.of("a", "b")) {
            loads.add(load(name + "/audit", millis -> USUAL));
            loads.add(summary(name + "/summary", USUAL));
        }
        return loads;
    }

    private static Load summary(String name, double perSecond) {
        return new Load(name, 2, 4_006, 15_024, 15_024, 0.24, 0.053, 200, millis -> perSecond);
    }

    @Test(dataProvider = "seeds")
    public void a_workspace_alone_uses_everything(long seed) {
        List<Load> alone = loads(15 * USUAL).subList(0, 1);
        Map<String, Tally> before = run(seed, false, alone, simulation -> {});
        Map<String, Tally> tallies = run(seed, true, alone, simulation -> {});
        assertThat(tallies).usingRecursiveComparison().isEqualTo(before);
    }

    @Test(dataProvider = "seeds")
    public void a_newcomer_during_a_flood_is_not_punished(long seed) {
        Load newcomer = load("new", millis -> USUAL);
        Consumer<StageLoadSimulation> later =
                simulation -> simulation.after(8_000, () -> simulation.add(newcomer));
        assertNotPushedOut(
                run(seed, false, loads(USUAL), later),
                run(seed, true, loads(10 * USUAL), later),
                List.of("new"));
    }

    @Test(dataProvider = "seeds")
    public void after_the_death_of_a_collector_the_shares_are_even_again(long seed) {
        Consumer<StageLoadSimulation> death =
                simulation -> simulation.after(7_000, simulation::killCollector);
        assertNotPushedOut(
                run(seed, false, loads(USUAL), death),
                run(seed, true, loads(10 * USUAL), death),
                OTHERS);
    }
}
