package org.bulrushvale.decision.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.Test;

/** Guards against a fleet that does not find itself, or that divides its limits by too few. */
public class MemberTableTest {
    private static final int SIZE = 40;

    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);

    private List<MemberTable> fleet() {
        SplittableRandom random = new SplittableRandom(3);
        List<MemberTable> tables = new ArrayList<>();
        for (int i = 0; i < SIZE; i++) {
            // Two of the three seeds do not exist any more.
            Set<String> seeds = Set.of("m0", "gone-1", "gone-2");
            tables.add(new MemberTable(mClock, random.split(), "m" + i, seeds));
        }
        return tables;
    }

    private void round(List<MemberTable> tables, Set<Integer> down) {
        mClock.advance(Duration.ofSeconds(1));
        for (int i = 0; i < SIZE; i++) {
            if (down.contains(i)) {
                continue;
            }
            for (String greeted : tables.get(i).gossipTargets()) {
                int other = greeted.startsWith("m") ? Integer.parseInt(greeted.substring(1)) : -1;
                if (other < 0 || down.contains(other)) {
                    tables.get(i).recordFailure(greeted);
                    continue;
                }
                tell(tables.get(i), tables.get(other));
                tell(tables.get(other), tables.get(i));
            }
        }
    }

    private static void tell(MemberTable from, MemberTable to) {
        from.knownMembers()
                .forEach(heard -> to.recordHeard(heard.name(), heard.leaving(), heard.age()));
    }

    // Entries that start together and each take themselves for the only one overload the stages.
    @Test
    public void an_entry_waits_shortly_for_others_after_its_start() {
        // given
        MemberTable found = fleet().get(1);
        MemberTable lonely = fleet().get(1);
        MemberTable only = new MemberTable(mClock, new SplittableRandom(3), "m1", Set.of("m1"));
        assertThat(List.of(found.isJoining(), lonely.isJoining())).containsOnly(true);
        assertThat(only.isJoining()).as("no other seed").isFalse();
        // when
        found.recordHeard("m7", false, Duration.ZERO);
        // then
        assertThat(found.isJoining()).isFalse();
        assertThat(lonely.isJoining()).isTrue();
        mClock.advance(MemberTable.JOIN_TIME);
        assertThat(lonely.isJoining()).isFalse();
    }

    @Test
    public void all_find_each_other_through_one_live_seed() {
        // given
        List<MemberTable> tables = fleet();
        // when
        for (int i = 0; i < 8; i++) {
            round(tables, Set.of());
        }
        // then
        Set<String> collectors = new HashSet<>();
        for (MemberTable table : tables) {
            assertThat(table.live()).hasSize(SIZE);
            collectors.add(table.collector("rerankers"));
        }
        assertThat(collectors).hasSize(1);
    }

    @Test
    public void a_lost_member_is_left_out_but_still_counts_for_limits() {
        // given
        List<MemberTable> tables = fleet();
        for (int i = 0; i < 8; i++) {
            round(tables, Set.of());
        }
        // when
        for (int i = 0; i < 12; i++) {
            round(tables, Set.of(7, 8, 9));
        }
        // then
        assertThat(tables.get(1).live()).hasSize(SIZE - 3).doesNotContain("m7", "m8", "m9");
        assertThat(tables.get(1).entryCount()).isEqualTo(SIZE);
    }

    @Test
    public void a_failed_member_comes_back_only_when_heard_of_after_the_failure() {
        // given
        MemberTable table = new MemberTable(mClock, new SplittableRandom(1), "me", Set.of());
        table.recordHeard("other", false, Duration.ZERO);
        // when
        mClock.advance(Duration.ofMillis(500));
        table.recordFailure("other");
        table.recordHeard("other", false, Duration.ofMillis(200));
        // then: this news is older than the failure
        assertThat(table.live()).containsExactly("me");
        mClock.advance(Duration.ofMillis(100));
        table.recordHeard("other", false, Duration.ofMillis(50));
        assertThat(table.live()).containsExactlyInAnyOrder("me", "other");
    }

    @Test
    public void a_member_that_leaves_collects_nothing() {
        // given
        MemberTable table = new MemberTable(mClock, new SplittableRandom(1), "me", Set.of());
        for (int i = 0; i < 5; i++) {
            table.recordHeard("m" + i, false, Duration.ZERO);
        }
        String collector = table.collector("service");
        // when
        mClock.advance(Duration.ofMillis(10));
        if (collector.equals("me")) {
            table.markLeaving();
        } else {
            table.recordHeard(collector, true, Duration.ZERO);
        }
        // then
        assertThat(table.collector("service")).isNotEqualTo(collector);
    }
}
