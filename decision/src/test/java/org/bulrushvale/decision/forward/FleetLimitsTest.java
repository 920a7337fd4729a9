package org.bulrushvale.decision.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against fleet-wide limits that are exceeded when entries know different members. */
public class FleetLimitsTest {
    private static final double RATIO = 0.2;
    private static final int SLACK = 56;
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final double COLD_PER_SECOND = 22;

    // The published limit is one and a half times the rate plus five requests.
    private static final double COLD_BOUND = COLD_PER_SECOND * 1.5 + 5;

    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);

    @DataProvider
    public Object[][] fleets() {
        // fleet size, largest share of the members that an entry does not know, seed
        return new Object[][] {{8, 0.0, 1L}, {9, 0.4, 2L}, {77, 0.0, 3L}, {77, 0.3, 4L}};
    }

    @Test(dataProvider = "fleets")
    public void repeats_of_all_entries_together_stay_within_the_budget(
            int size, double unknownShare, long seed) {
        // given: entries that know too few members, and a service that always fails
        SplittableRandom random = new SplittableRandom(seed);
        List<RepeatBudget> budgets = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            int known = Math.max(1, (int) (size * (1 - unknownShare * random.nextDouble())));
            budgets.add(new RepeatBudget(mClock, RATIO, SLACK, WINDOW, () -> known));
        }
        Deque<Long> requests = new ArrayDeque<>();
        Deque<Long> repeats = new ArrayDeque<>();
        for (int step = 0; step < 4_000; step++) {
            // when
            mClock.advance(Duration.ofMillis(10));
            RepeatBudget budget = budgets.get(random.nextInt(size));
            budget.recordRequest("service");
            requests.addLast(mClock.monotonicNanos());
            for (int attempt = 0; attempt < 3; attempt++) {
                if (budget.tryRepeat("service")) {
                    repeats.addLast(mClock.monotonicNanos());
                }
            }
            // then: the window that ends now stays within the budget
            long start = mClock.monotonicNanos() - WINDOW.toNanos();
            while (!requests.isEmpty() && requests.peekFirst() - start < 0) {
                requests.removeFirst();
            }
            while (!repeats.isEmpty() && repeats.peekFirst() - start < 0) {
                repeats.removeFirst();
            }
            assertThat((double) repeats.size())
                    .as("step %d", step)
                    .isLessThanOrEqualTo(RATIO * requests.size() + SLACK);
        }
        assertThat(repeats).as("the budget is used").isNotEmpty();
    }

    @Test(dataProvider = "fleets")
    public void requests_of_all_entries_together_stay_within_the_limit_of_a_cold_server(
            int size, double unknownShare, long seed) {
        // given
        SplittableRandom random = new SplittableRandom(seed);
        BackendDirectory directory = new BackendDirectory(mClock);
        directory.put(TestServers.cold("cold", "pool", Duration.ofHours(1)));
        BackendDirectory.Server server = directory.eligibleServers("pool").get(0);
        List<ColdServerRateLimit> limits = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            limits.add(new ColdServerRateLimit(mClock, partialView(random, size, i, unknownShare)));
        }
        Deque<Long> sent = new ArrayDeque<>();
        int maxSentInWindow = 0;
        for (int step = 0; step < 3_000; step++) {
            // when: a random entry sends whenever its limit allows it
            mClock.advance(Duration.ofMillis(7));
            ColdServerRateLimit limit = limits.get(random.nextInt(size));
            if (limit.allows(server, COLD_PER_SECOND)) {
                limit.recordSent(server);
                sent.addLast(mClock.monotonicNanos());
            }
            while (!sent.isEmpty() && mClock.monotonicNanos() - sent.getFirst() >= 1_000_000_000L) {
                sent.removeFirst();
            }
            maxSentInWindow = Math.max(maxSentInWindow, sent.size());
        }
        // then
        assertThat((double) maxSentInWindow).isLessThanOrEqualTo(COLD_BOUND);
        assertThat(maxSentInWindow).isGreaterThanOrEqualTo(10);
    }

    @DataProvider
    public Object[][] statedRates() {
        // fleet size, stated requests per second, seed
        return new Object[][] {
            {8, 1.0, 1L},
            {8, 40.0, 2L},
            {95, 1.2, 3L},
            {95, 40.0, 4L},
            {333, 0.2, 5L},
            {333, 40.0, 6L}
        };
    }

    @Test(dataProvider = "statedRates")
    public void requests_of_all_entries_together_stay_within_the_rate_that_a_server_states(
            int size, double rate, long seed) {
        // given entries that know at least nine tenths of the others, and one that was told a rate
        SplittableRandom random = new SplittableRandom(seed);
        List<StatedRateLimits> limits = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            limits.add(new StatedRateLimits(mClock, partialView(random, size, i, 0.2)));
        }
        limits.get(0).onAnswer("s/1", OptionalDouble.of(rate));
        List<StatedRate> told = limits.get(0).records(10);
        limits.forEach(limit -> limit.merge(told));
        Deque<Long> sent = new ArrayDeque<>();
        int maxSentInWindow = 0;
        for (int step = 0; step < 20_000; step++) {
            // when: a random entry, new at times, sends whenever its limit allows it
            mClock.advance(Duration.ofMillis(1));
            int entry = random.nextInt(size);
            StatedRateLimits limit = limits.get(entry);
            if (limit.permits("s/1", false) > 0) {
                limit.recordSent("s/1");
                sent.addLast(mClock.monotonicNanos());
            }
            while (!sent.isEmpty()
                    && mClock.monotonicNanos() - sent.getFirst()
                            >= StatedRateLimits.WINDOW.toNanos()) {
                sent.removeFirst();
            }
            maxSentInWindow = Math.max(maxSentInWindow, sent.size());
        }
        // then
        double allowed = rate * StatedRateLimits.WINDOW.toSeconds();
        assertThat((double) maxSentInWindow).isLessThanOrEqualTo(1.5 * allowed + 5);
        assertThat(maxSentInWindow).isGreaterThanOrEqualTo((int) Math.max(1, 0.7 * allowed));
    }

    @Test
    public void a_rate_that_is_no_longer_stated_is_lifted_by_newer_records_only() {
        StatedRateLimits first =
                new StatedRateLimits(mClock, partialView(new SplittableRandom(1), 2, 0, 0));
        StatedRateLimits second =
                new StatedRateLimits(mClock, partialView(new SplittableRandom(1), 2, 1, 0));
        // given
        first.onAnswer("s/1", OptionalDouble.of(1));
        List<StatedRate> old = first.records(1);
        second.merge(old);
        mClock.advance(Duration.ofSeconds(2));
        // when
        List<StatedRate> lifted = second.onAnswer("s/1", OptionalDouble.empty());
        // then
        assertThat(second.permits("s/1", false)).isEqualTo(Integer.MAX_VALUE);
        assertThat(second.merge(first.records(1)).changed()).isEmpty();
        assertThat(second.merge(first.records(1)).corrections()).isEqualTo(lifted);
        first.merge(lifted);
        assertThat(first.permits("s/1", false)).isEqualTo(Integer.MAX_VALUE);
    }

    @Test
    public void a_lifted_rate_is_forgotten_although_its_server_goes_on_answering() {
        StatedRateLimits limits =
                new StatedRateLimits(mClock, partialView(new SplittableRandom(1), 2, 0, 0));
        // given
        limits.onAnswer("s/1", OptionalDouble.of(1));
        mClock.advance(Duration.ofSeconds(1));
        // when
        for (int minute = 0; minute < 6; minute++) {
            limits.onAnswer("s/1", OptionalDouble.empty());
            mClock.advance(Duration.ofMinutes(1));
        }
        // then
        assertThat(limits.records(1)).isEmpty();
        assertThat(limits.isEmpty()).isTrue();
    }

    private ColdServerRateLimit.FleetView partialView(
            SplittableRandom random, int size, int self, double unknownShare) {
        MemberTable table =
                new MemberTable(mClock, random.split(), name(self), Set.of(name(0), name(1)));
        Set<Integer> hidden = new HashSet<>();
        while (hidden.size() < size * unknownShare * 0.5) {
            hidden.add(random.nextInt(size));
        }
        return new ColdServerRateLimit.FleetView() {
            private void recordVisibleMembers() {
                for (int i = 0; i < size; i++) {
                    if (!hidden.contains(i)) {
                        table.recordHeard(name(i), false, Duration.ZERO);
                    }
                }
            }

            @Override
            public int entryCount() {
                recordVisibleMembers();
                return table.entryCount();
            }

            @Override
            public int rank(String server) {
                recordVisibleMembers();
                return table.rank(server);
            }
        };
    }

    private static String name(int member) {
        return "10.0.0." + member;
    }
}
