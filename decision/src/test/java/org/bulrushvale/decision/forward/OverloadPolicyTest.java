package org.bulrushvale.decision.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.bulrushvale.decision.forward.OverloadPolicy.Domain;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against entries that count as overloaded after a single pause, readiness that flaps, and a
 * failure domain whose entries all report not ready at once.
 */
public class OverloadPolicyTest {
    private static final Duration LATE = Duration.ofMillis(251);
    private static final Duration PERIOD = Duration.ofMillis(50);

    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);

    @Test
    public void three_late_periods_in_a_row_or_full_memory_are_an_overload() {
        OverloadPolicy policy = new OverloadPolicy(mClock, "m0");
        Duration limit = OverloadPolicy.DELAY_LIMIT;
        for (Duration delay : List.of(LATE, LATE, limit, LATE, LATE)) {
            assertThat(policy.recordPeriod(delay, 0.9)).isFalse();
        }
        assertThat(policy.recordPeriod(LATE, 0)).isTrue();
        // It has recovered after 5 s without a sign, and not before.
        mClock.advance(Duration.ofMillis(4_999));
        assertThat(policy.recordPeriod(Duration.ZERO, 0)).isFalse();
        mClock.advance(Duration.ofMillis(1));
        assertThat(policy.recordPeriod(Duration.ZERO, 0)).isTrue();
        assertThat(policy.isOverloaded()).isFalse();
        assertThat(policy.recordPeriod(Duration.ZERO, 0.91)).isTrue();
    }

    @DataProvider
    public Object[][] domains() {
        return new Object[][] {{1, 1L}, {3, 2L}, {4, 3L}, {20, 4L}, {84, 5L}};
    }

    // The entries do not know of each other's overload, and their clocks differ by up to 2 s.
    @Test(dataProvider = "domains")
    public void at_most_a_quarter_of_a_domain_is_not_ready_at_once_and_each_gets_its_turn(
            int size, long seed) {
        // given
        SplittableRandom random = new SplittableRandom(seed);
        List<String> names = IntStream.range(0, size).mapToObj(i -> "m" + i).toList();
        List<ManualClock> clocks = new ArrayList<>();
        List<OverloadPolicy> policies = new ArrayList<>();
        for (String name : names) {
            clocks.add(ManualClock.startingAt(Instant.EPOCH.plusMillis(random.nextInt(2_000))));
            policies.add(new OverloadPolicy(clocks.get(clocks.size() - 1), name));
        }
        Domain domain = new Domain(names, size - 1);
        Deque<Long> starts = new ArrayDeque<>();
        long[] lastStart = new long[size];
        // when
        long notReadyPeriods = OverloadPolicy.MAX_NOT_READY.dividedBy(PERIOD);
        for (long step = 1; step <= Duration.ofMinutes(20).dividedBy(PERIOD); step++) {
            for (int i = 0; i < size; i++) {
                clocks.get(i).advance(PERIOD);
                policies.get(i).recordPeriod(Duration.ZERO, 1);
                if (policies.get(i).becomeNotReady(() -> domain)) {
                    // then
                    Duration since = PERIOD.multipliedBy(step - lastStart[i]);
                    assertThat(since).isGreaterThanOrEqualTo(OverloadPolicy.SLOT);
                    lastStart[i] = step;
                    starts.add(step);
                }
            }
            while (!starts.isEmpty() && starts.peek() + notReadyPeriods <= step) {
                starts.remove();
            }
            assertThat(starts).hasSizeLessThanOrEqualTo(size / 4);
        }
        // A domain of fewer than four entries has none to spare.
        for (long last : lastStart) {
            assertThat(last > 0).isEqualTo(size >= 4);
        }
    }

    @Test
    public void no_entry_reports_not_ready_while_fewer_than_three_quarters_are_ready() {
        OverloadPolicy policy = new OverloadPolicy(mClock, "m0");
        List<String> names = IntStream.range(0, 4).mapToObj(i -> "m" + i).toList();
        boolean becameNotReady = false;
        for (int i = 0; i < 10_000; i++) {
            mClock.advance(PERIOD);
            policy.recordPeriod(Duration.ZERO, 1);
            assertThat(policy.becomeNotReady(() -> new Domain(names, 2))).isFalse();
            becameNotReady |= policy.becomeNotReady(() -> new Domain(names, 3));
        }
        assertThat(becameNotReady).isTrue();
    }

    @Test
    public void an_overloaded_entry_hands_over_unless_all_are_overloaded() {
        MemberTable table = new MemberTable(mClock, new SplittableRandom(1), "m0", "a", Set.of());
        table.recordHeard("m1", "a", false, Duration.ZERO);
        table.recordHeard("m2", "a", false, Duration.ZERO);
        List<String> services = IntStream.range(0, 30).mapToObj(i -> "s" + i).toList();
        List<String> before = services.stream().map(table::collector).toList();
        assertThat(table.mostTakeWork()).isTrue();
        List<String> readers = table.domainReaders();
        table.setOverloaded(true);
        assertThat(services.stream().map(table::collector)).doesNotContain("m0").contains("m1");
        assertThat(table.knownMembers().get(0).overloaded()).isTrue();
        // The readers of the store stay, otherwise overloaded entries would all read it.
        assertThat(table.domainReaders()).isEqualTo(readers);
        mClock.advance(PERIOD);
        recordOverloaded(table, "m1");
        assertThat(table.mostTakeWork()).isFalse();
        assertThat(table.ownDomain().readyOthers()).isEqualTo(1);
        recordOverloaded(table, "m2");
        assertThat(services.stream().map(table::collector).toList()).isEqualTo(before);
    }

    private static void recordOverloaded(MemberTable table, String name) {
        table.recordReports(
                List.of(new MemberTable.MemberReport(name, "a", false, true, Duration.ZERO, 0)),
                Duration.ZERO);
    }
}
