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

/**
 * Guards against members that do not find each other, failed or leaving members that are still
 * used, and limits divided by too few entries.
 */
public class MemberTableTest {
    private static final int SIZE = 40;

    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);

    private List<MemberTable> fleet() {
        SplittableRandom random = new SplittableRandom(3);
        List<MemberTable> tables = new ArrayList<>();
        for (int i = 0; i < SIZE; i++) {
            // Two of the three seeds no longer exist.
            Set<String> seeds = Set.of("m0", "gone-1", "gone-2");
            tables.add(new MemberTable(mClock, random.split(), "m" + i, seeds));
        }
        return tables;
    }

    private void gossipRound(List<MemberTable> tables, Set<Integer> down) {
        mClock.advance(Duration.ofSeconds(1));
        for (int i = 0; i < SIZE; i++) {
            if (down.contains(i)) {
                continue;
            }
            for (String target : tables.get(i).gossipTargets()) {
                int other = target.startsWith("m") ? Integer.parseInt(target.substring(1)) : -1;
                if (other < 0 || down.contains(other)) {
                    tables.get(i).recordFailure(target);
                    continue;
                }
                sendGossip(tables.get(i), tables.get(other));
                sendGossip(tables.get(other), tables.get(i));
            }
        }
    }

    private static void sendGossip(MemberTable from, MemberTable to) {
        from.knownMembers()
                .forEach(report -> to.recordHeard(report.name(), report.leaving(), report.age()));
    }

    // If entries that start together each act as the only entry, together they overload the stages.
    @Test
    public void a_starting_entry_waits_briefly_for_other_members() {
        // given
        MemberTable joined = fleet().get(1);
        MemberTable alone = fleet().get(1);
        MemberTable singleSeed =
                new MemberTable(mClock, new SplittableRandom(3), "m1", Set.of("m1"));
        assertThat(List.of(joined.isJoining(), alone.isJoining())).containsOnly(true);
        assertThat(singleSeed.isJoining()).as("no other seed").isFalse();
        // when
        joined.recordHeard("m7", false, Duration.ZERO);
        // then
        assertThat(joined.isJoining()).isFalse();
        assertThat(alone.isJoining()).isTrue();
        mClock.advance(MemberTable.JOIN_TIME);
        assertThat(alone.isJoining()).isFalse();
    }

    @Test
    public void all_members_find_each_other_through_one_live_seed() {
        // given
        List<MemberTable> tables = fleet();
        // when
        for (int i = 0; i < 8; i++) {
            gossipRound(tables, Set.of());
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
    public void an_unreachable_member_is_left_out_but_still_counts_for_limits() {
        // given
        List<MemberTable> tables = fleet();
        for (int i = 0; i < 8; i++) {
            gossipRound(tables, Set.of());
        }
        // when
        for (int i = 0; i < 12; i++) {
            gossipRound(tables, Set.of(7, 8, 9));
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
        // then: the second report is older than the failure
        assertThat(table.live()).containsExactly("me");
        mClock.advance(Duration.ofMillis(100));
        table.recordHeard("other", false, Duration.ofMillis(50));
        assertThat(table.live()).containsExactlyInAnyOrder("me", "other");
    }

    @Test
    public void a_leaving_member_is_not_chosen_as_collector() {
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
