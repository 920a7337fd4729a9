package org.bulrushvale.decision.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.bulrushvale.decision.forward.MemberTable.MemberReport;
import org.bulrushvale.decision.forward.MemberTable.VmChoice;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against weak VMs that collect the pieces of the fleet, entries that disagree about the
 * collector, and capacities that change the choice in a fleet of equal VMs.
 */
public class UnevenMembersTest {
    private static final int STRONG = 140;
    private static final int WEAK = 27;
    private static final String SERVICE = "rerankers";

    // From the plan: owners are learned again within one second.
    private static final Duration AGREEMENT_LIMIT = Duration.ofSeconds(1);
    private static final Duration STEP = Duration.ofMillis(10);
    private static final int STEPS_PER_ROUND = 15;

    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{78, 1L}, {78, 2L}, {333, 3L}, {333, 4L}};
    }

    @Test(dataProvider = "fleets")
    public void members_agree_on_a_strong_collector_after_the_start_and_after_its_loss(
            int size, long seed) {
        // given: one message in ten is lost, the others take up to 80 ms
        Fleet fleet = new Fleet(size, seed);
        // when
        fleet.run(AGREEMENT_LIMIT);
        // then
        String first = fleet.onlyCollector();
        assertThat(fleet.capacityOf(first)).isEqualTo(STRONG);
        // when: entries notice a silent collector at different times
        fleet.lose(first);
        fleet.run(AGREEMENT_LIMIT);
        // then
        String second = fleet.onlyCollector();
        assertThat(second).isNotEqualTo(first);
        assertThat(fleet.capacityOf(second)).isEqualTo(STRONG);
    }

    @Test
    public void equal_unknown_or_unused_capacities_choose_as_before() {
        MemberTable before = table(VmChoice.ANY, 0);
        List<MemberTable> tables =
                List.of(
                        table(new VmChoice(100, true), 100),
                        table(new VmChoice(0, true), 0),
                        table(new VmChoice(STRONG, false), WEAK));
        for (MemberTable table : tables) {
            assertThat(table.domainReaders()).isEqualTo(before.domainReaders());
            for (int i = 0; i < 50; i++) {
                assertThat(table.collector("s" + i)).isEqualTo(before.collector("s" + i));
            }
        }
    }

    @Test
    public void strong_members_read_the_store_first_and_leaving_ones_do_not_count() {
        MemberTable table = table(new VmChoice(WEAK, true), WEAK);
        record(table, "strong", false, STRONG);
        assertThat(table.domainReaders()).hasSize(11).startsWith("strong");
        assertThat(table.collector(SERVICE)).isEqualTo("strong");
        mClock.advance(STEP);
        record(table, "strong", true, STRONG);
        MemberTable equal = table(VmChoice.ANY, 0);
        assertThat(table.domainReaders()).isEqualTo(equal.domainReaders());
        assertThat(table.collector(SERVICE)).isEqualTo(equal.collector(SERVICE));
    }

    private MemberTable table(VmChoice choice, int capacity) {
        MemberTable table =
                new MemberTable(mClock, new SplittableRandom(1), "m0", "a", Set.of(), choice);
        for (int i = 1; i < 10; i++) {
            record(table, "m" + i, false, capacity);
        }
        return table;
    }

    private static void record(MemberTable table, String name, boolean leaving, int capacity) {
        table.recordReports(
                List.of(new MemberReport(name, "a", leaving, false, Duration.ZERO, capacity)),
                Duration.ZERO);
    }

    /** Members of two sizes that exchange lists, with the periods of a starting entry. */
    private final class Fleet {
        private final SplittableRandom mRandom;
        private final List<MemberTable> mTables = new ArrayList<>();
        private final Set<Integer> mLost = new HashSet<>();
        private final PriorityQueue<Message> mMessages =
                new PriorityQueue<>(Comparator.comparingLong(Message::step));
        private long mStep;

        Fleet(int size, long seed) {
            mRandom = new SplittableRandom(seed);
            Set<String> seeds = Set.of("m0", "m1", "m2");
            for (int i = 0; i < size; i++) {
                VmChoice choice = new VmChoice(i % 3 == 0 ? STRONG : WEAK, true);
                mTables.add(
                        new MemberTable(
                                mClock, mRandom.split(), "m" + i, "d" + i % 4, seeds, choice));
            }
        }

        int capacityOf(String name) {
            return mTables.get(index(name)).capacity(name);
        }

        String onlyCollector() {
            Set<String> collectors = new HashSet<>();
            live().forEach(i -> collectors.add(mTables.get(i).collector(SERVICE)));
            assertThat(collectors).hasSize(1);
            return collectors.iterator().next();
        }

        /** Each entry notices the loss when a call to the member ends, at most 0.9 s later. */
        void lose(String name) {
            mLost.add(index(name));
            live().forEach(
                            i ->
                                    mMessages.add(
                                            new Message(
                                                    mStep + mRandom.nextInt(1, 90),
                                                    () -> mTables.get(i).recordFailure(name))));
        }

        void run(Duration time) {
            for (long i = time.dividedBy(STEP); i > 0; i--) {
                live().filter(member -> (mStep + member) % STEPS_PER_ROUND == 0)
                        .forEach(this::gossip);
                mClock.advance(STEP);
                mStep++;
                while (!mMessages.isEmpty() && mMessages.peek().step() <= mStep) {
                    mMessages.remove().arrive().run();
                }
            }
        }

        private void gossip(int from) {
            MemberTable table = mTables.get(from);
            table.collector(SERVICE);
            long sent = mStep;
            for (String target : table.gossipTargets()) {
                int to = index(target);
                send(
                        from,
                        to,
                        reports -> {
                            mTables.get(to).recordReports(reports, MemberTable.TRANSIT_ALLOWANCE);
                            send(
                                    to,
                                    from,
                                    answer ->
                                            table.recordReports(
                                                    answer, STEP.multipliedBy(mStep - sent)));
                        });
            }
        }

        private void send(int from, int to, Consumer<List<MemberReport>> onArrival) {
            if (mLost.contains(from) || mRandom.nextInt(10) == 0) {
                return;
            }
            List<MemberReport> reports = mTables.get(from).knownMembers();
            mMessages.add(
                    new Message(
                            mStep + mRandom.nextInt(1, 9),
                            () -> {
                                if (!mLost.contains(to)) {
                                    onArrival.accept(reports);
                                }
                            }));
        }

        private Stream<Integer> live() {
            return IntStream.range(0, mTables.size()).filter(i -> !mLost.contains(i)).boxed();
        }

        private static int index(String name) {
            return Integer.parseInt(name.substring(1));
        }
    }

    private record Message(long step, Runnable arrive) {}
}
