package org.bulrushvale.decision.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.bulrushvale.decision.forward.StoreReadingPlan.Step;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a published state that becomes old because the entry that should pass it on is
 * dead, cut off or unknown, and against calls to the store that grow with the number of entries.
 */
public class StoreReadingPlanTest {
    private static final Duration FRESHNESS = Duration.ofSeconds(4);
    private static final Duration STEP = Duration.ofMillis(100);
    private static final List<String> DOMAIN = List.of("a", "b", "c", "d", "e");

    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);

    private StoreReadingPlan plan(String self) {
        return new StoreReadingPlan(mClock, self, FRESHNESS);
    }

    @Test
    public void one_entry_of_a_domain_reads_and_the_others_ask_it() {
        StoreReadingPlan first = plan("a");
        StoreReadingPlan other = plan("c");
        first.recordConfirmed(Duration.ZERO);
        other.recordConfirmed(Duration.ZERO);
        assertThat(first.decide(DOMAIN, List.of(), true))
                .isEqualTo(new Step(StoreReading.FOR_OTHERS, Optional.empty()));
        assertThat(other.decide(DOMAIN, List.of(), true))
                .isEqualTo(new Step(StoreReading.OFF, Optional.of("a")));
    }

    @Test
    public void an_entry_without_state_or_with_old_state_reads_the_store() {
        StoreReadingPlan plan = plan("c");
        assertThat(plan.decide(DOMAIN, List.of(), true).reading()).isEqualTo(StoreReading.OWN_USE);
        plan.recordConfirmed(Duration.ZERO);
        assertThat(plan.decide(DOMAIN, List.of(), true).reading()).isEqualTo(StoreReading.OFF);
        mClock.advance(plan.maxAge());
        assertThat(plan.decide(DOMAIN, List.of(), true).reading()).isEqualTo(StoreReading.OWN_USE);
        assertThat(plan.maxAge()).isLessThan(FRESHNESS);
    }

    @Test
    public void an_entry_that_cannot_pass_the_state_on_is_passed_over_for_a_while() {
        StoreReadingPlan plan = plan("c");
        plan.recordConfirmed(Duration.ZERO);
        plan.recordPassedOver("a");
        assertThat(plan.decide(DOMAIN, List.of(), true).source()).hasValue("b");
        plan.recordPassedOver("b");
        assertThat(plan.decide(DOMAIN, List.of(), true))
                .isEqualTo(new Step(StoreReading.FOR_OTHERS, Optional.empty()));
        mClock.advance(StoreReadingPlan.PASS_OVER_TIME);
        plan.recordConfirmed(Duration.ZERO);
        assertThat(plan.decide(DOMAIN, List.of(), true).source()).hasValue("a");
    }

    @Test
    public void an_entry_that_the_store_refuses_asks_entries_of_any_domain() {
        StoreReadingPlan plan = plan("a");
        plan.recordConfirmed(Duration.ZERO);
        assertThat(plan.decide(DOMAIN, List.of("x"), false).source()).hasValue("b");
        List.of("b", "c", "d", "e").forEach(plan::recordPassedOver);
        Step step = plan.decide(DOMAIN, List.of("x"), false);
        assertThat(step.source()).hasValue("x");
        assertThat(step.reading().isActive()).as("still tries to read").isTrue();
    }

    @DataProvider
    public Object[][] fleets() {
        // entries in the domain, seed
        return new Object[][] {{4, 1L}, {16, 2L}, {42, 3L}, {100, 4L}, {400, 5L}};
    }

    /**
     * Plays a domain in which readers die and are cut off one way, each entry with an order of its
     * own that lags, and compares with entries that all read the store.
     */
    @Test(dataProvider = "fleets")
    public void state_stays_fresh_while_readers_fail_and_few_entries_read(int size, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<String> names = IntStream.range(0, size).mapToObj(i -> "m" + i).toList();
        List<StoreReadingPlan> plans = names.stream().map(this::plan).toList();
        Set<String> dead = new HashSet<>();
        List<String> known = names;
        int reads = 0;
        int livingSteps = 0;
        int steps = 600;
        for (int step = 0; step < steps; step++) {
            mClock.advance(STEP);
            if (step % 100 == 99 && dead.size() < size / 2) {
                // The first two living entries fail; the order still names them for a second.
                names.stream()
                        .filter(name -> !dead.contains(name))
                        .limit(2)
                        .toList()
                        .forEach(dead::add);
            }
            if (step % 100 == 9) {
                known = names.stream().filter(name -> !dead.contains(name)).toList();
            }
            for (int i : shuffled(size, random)) {
                if (dead.contains(names.get(i))) {
                    continue;
                }
                StoreReadingPlan plan = plans.get(i);
                List<String> order = new ArrayList<>(known);
                Step now = plan.decide(order, List.of(), true);
                reads += now.reading().isActive() ? 1 : 0;
                livingSteps++;
                if (now.reading().isActive()) {
                    plan.recordConfirmed(Duration.ZERO);
                }
                now.source().ifPresent(source -> ask(plan, source, names, plans, dead));
                // then
                assertThat(plan.age()).as("step %d, entry %d", step, i).isLessThan(FRESHNESS);
            }
        }
        // An entry of a domain that reads for itself alone does so in every step.
        assertThat(reads).isLessThan(livingSteps / 3 + 3 * steps);
    }

    private void ask(
            StoreReadingPlan plan,
            String source,
            List<String> names,
            List<StoreReadingPlan> plans,
            Set<String> dead) {
        StoreReadingPlan asked = plans.get(names.indexOf(source));
        if (dead.contains(source) || !asked.isFresh()) {
            plan.recordPassedOver(source);
        } else {
            plan.recordConfirmed(asked.age());
        }
    }

    private static List<Integer> shuffled(int size, SplittableRandom random) {
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            order.add(random.nextInt(order.size() + 1), i);
        }
        return order;
    }
}
