package org.bulrushvale.decision.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.bulrushvale.decision.membership.PeerTable.PeerReport;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.Test;

/**
 * Guards against VM lists and peer states that revert to older versions, peers that gossip does not
 * reach, keys that move without need, too many readers, and wrong counts of reachable VMs.
 */
public class MembershipTest {
    private static final Duration LIMIT = Duration.ofSeconds(4);
    private static final long SEED = 20_260_104L;

    private static VmList list(long version, int count) {
        return VmList.of(
                version,
                IntStream.range(0, count)
                        .mapToObj(i -> new Vm("vm" + i, "10.0.0." + i, 9, "d" + i % 3, "r", false))
                        .toList());
    }

    private static PeerReport report(String incarnation, long revision) {
        return new PeerReport(incarnation, revision, 1, false);
    }

    @Test
    public void removing_a_candidate_moves_only_its_own_keys() {
        List<String> all = list(1, 9).liveNames();
        List<String> fewer = new ArrayList<>(all);
        fewer.remove("vm4");
        for (int key = 0; key < 1_000; key++) {
            String before = Rendezvous.winner("k" + key, all).orElseThrow();
            String after = Rendezvous.winner("k" + key, fewer).orElseThrow();
            assertThat(before.equals("vm4") || before.equals(after)).isTrue();
            assertThat(Rendezvous.ranked("k" + key, all).get(0)).isEqualTo(before);
        }
    }

    @Test
    public void a_vm_list_never_reverts_and_is_confirmed_only_by_its_own_version() {
        ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
        VmListStore store = VmListStore.empty(clock);
        assertThat(store.offer(list(5, 3), Duration.ZERO)).isTrue();
        clock.advance(Duration.ofSeconds(5));
        assertThat(store.offer(list(4, 2), Duration.ZERO)).isFalse();
        assertThat(store.offer(list(5, 2), Duration.ZERO)).isFalse();
        assertThat(store.confirm(6, Duration.ZERO)).isFalse();
        assertThat(store.rejectedCount()).isEqualTo(2);
        ConfirmedValue<VmList> stale = store.confirmedList().orElseThrow();
        assertThat(stale.isOlderThan(LIMIT, clock.monotonicNanos())).isTrue();
        store.offer(list(5, 3), Duration.ofSeconds(1));
        assertThat(store.confirmedList().orElseThrow().age(clock.monotonicNanos())).hasSeconds(1);
    }

    @Test
    public void a_message_of_a_replaced_incarnation_changes_nothing() {
        PeerTable table = new PeerTable();
        assertThat(table.recordReport("vm1", report("a", 7), 0)).isTrue();
        assertThat(table.recordReport("vm1", report("b", 3), 1)).isTrue();
        assertThat(table.recordReport("vm1", report("a", 7), 2)).isFalse();
        assertThat(table.recordReport("vm1", report("b", 2), 3)).isTrue();
        assertThat(table.peer("vm1").orElseThrow().report().configRevision()).isEqualTo(3);
    }

    @Test
    public void one_rotation_of_gossip_reaches_every_peer_and_fetches_use_the_newest_one() {
        VmList list = list(1, 330);
        GossipPlan plan = GossipPlan.create("vm0", SEED);
        plan.setPeers(list.liveNames());
        Set<String> reached = new HashSet<>();
        for (int round = 0; round < 83; round++) {
            List<String> chosen = plan.nextPeers();
            assertThat(chosen).hasSize(4).doesNotHaveDuplicates().doesNotContain("vm0");
            reached.addAll(chosen);
        }
        assertThat(reached).hasSize(329);
        PeerTable table = new PeerTable();
        table.recordReport("vm1", report("a", 8), 0);
        table.recordReport("vm2", report("b", 9), 0);
        assertThat(plan.chooseFetchSource(table, 7, Set.of(), LIMIT, 0)).contains("vm2");
        assertThat(plan.chooseFetchSource(table, 7, Set.of("vm2"), LIMIT, 0)).contains("vm1");
        assertThat(plan.chooseFetchSource(table, 9, Set.of(), LIMIT, 0)).isEmpty();
        assertThat(plan.pushTargets(table, 9)).hasSize(4).doesNotContain("vm2");
    }

    @Test
    public void three_vms_per_failure_domain_are_readers_of_the_service() {
        VmList list = list(1, 330);
        long readers =
                list.liveNames().stream().filter(vm -> ReaderSelection.isReader(list, vm)).count();
        assertThat(readers).isEqualTo(9);
        assertThat(ReaderSelection.isReader(VmList.empty(), "vm0")).isTrue();
        assertThat(ReaderSelection.isReader(list, "unlisted")).isFalse();
    }

    @Test
    public void a_process_that_reaches_only_half_of_the_listed_vms_is_isolated() {
        VmList list = list(1, 8);
        PeerTable table = new PeerTable();
        long now = Duration.ofSeconds(10).toNanos();
        Duration serviceAge = Duration.ofSeconds(5);
        for (int i = 1; i <= 3; i++) {
            table.recordReport("vm" + i, report("i", 1), now - LIMIT.toNanos());
        }
        table.recordReport("unlisted", report("i", 1), now);
        table.recordReport("vm5", report("i", 1), now - LIMIT.toNanos() - 1);
        assertThat(IsolationRule.isIsolated(serviceAge, list, "vm0", table, now)).isTrue();
        assertThat(IsolationRule.isIsolated(LIMIT, list, "vm0", table, now)).isFalse();
        table.recordReport("vm4", report("i", 1), now);
        assertThat(IsolationRule.isIsolated(serviceAge, list, "vm0", table, now)).isFalse();
    }
}
