package org.bulrushvale.decision.warmup;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.bulrushvale.decision.config.BackendServer;
import org.bulrushvale.decision.membership.ConfirmedValue;
import org.bulrushvale.decision.membership.Vm;
import org.bulrushvale.decision.membership.VmList;
import org.bulrushvale.decision.warmup.WarmupFleet.Fault;
import org.bulrushvale.decision.warmup.WarmupFleet.Rule;
import org.testng.annotations.Test;

/** Guards against a fleet that sends a cold server more than it can bear. */
public class WarmthTableTest {
    private static final long SEED = 7_100L;
    private static final int SCHEDULES = 150;
    private static final Duration LENGTH = Duration.ofMinutes(5);
    private static final List<Fault> FAULTS =
            List.of(
                    Fault.LIST_CHANGE,
                    Fault.LIST_CHANGE,
                    Fault.PAUSE,
                    Fault.SPLIT,
                    Fault.DEATH,
                    Fault.RESTART,
                    Fault.RESET);

    private static List<Long> overloadedSeeds(Rule rule) {
        List<Long> seeds = new ArrayList<>();
        long completed = 0;
        for (long seed = SEED; seed < SEED + SCHEDULES; seed++) {
            // Long and short gaps, so that both settled and unsettled fleets are met.
            WarmupFleet fleet = new WarmupFleet(rule, seed, WarmupTiming.defaults());
            fleet.run(LENGTH, FAULTS, 2_000L << (seed % 5));
            completed += fleet.mCompleted;
            if (fleet.mColdOverloadMs > 0) {
                seeds.add(seed);
            }
        }
        System.out.printf(
                "%s: seeds %d to %d, overloaded while cold in %d, completed %d%n",
                rule, SEED, SEED + SCHEDULES - 1, seeds.size(), completed);
        assertThat(completed).isPositive();
        return seeds;
    }

    @Test
    public void load_while_cold_never_passes_bearable() {
        assertThat(overloadedSeeds(Rule.WARMTH_TABLE)).isEmpty();
    }

    @Test
    public void the_same_schedules_expose_a_static_share_of_at_least_one() {
        assertThat(overloadedSeeds(Rule.STATIC_SHARE)).isNotEmpty();
    }

    @Test
    public void the_same_schedules_expose_ownership_by_reachability() {
        assertThat(overloadedSeeds(Rule.OWNER_BY_REACHABILITY)).isNotEmpty();
    }

    @Test
    public void silent_cooling_overshoots_for_a_measured_time_and_then_ends() {
        // given
        WarmupFleet fleet = new WarmupFleet(Rule.WARMTH_TABLE, SEED, WarmupTiming.defaults());
        fleet.run(Duration.ofMinutes(3), List.of(), 1_000);
        assertThat(fleet.mServer.capacity()).isEqualTo(WarmupFleet.SLOTS);
        assertThat(fleet.mColdOverloadMs).isZero();
        // when
        fleet.inject(Fault.COOLING);
        fleet.run(Duration.ofMinutes(1), List.of(), 1_000);
        // then
        System.out.printf("silent cooling, seed %d: %d ms%n", SEED, fleet.mColdOverloadMs);
        long overshoot = fleet.mColdOverloadMs;
        fleet.run(Duration.ofMinutes(1), List.of(), 1_000);
        assertThat(fleet.mColdOverloadMs).isEqualTo(overshoot);
    }

    @Test
    public void shares_of_one_list_sum_to_the_slots() {
        for (int size = 1; size <= 40; size++) {
            List<Vm> vms = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                vms.add(WarmupFleet.vm("vm" + i));
            }
            ConfirmedValue<VmList> view = new ConfirmedValue<>(VmList.of(1, vms), 0);
            for (int slots = 1; slots <= 20; slots++) {
                int sum = 0;
                int owners = 0;
                for (Vm vm : vms) {
                    WarmupOwnership ownership =
                            WarmupOwnership.create(vm.name(), WarmupTiming.defaults());
                    ownership.servers(List.of("s"));
                    ownership.view(view, 0);
                    sum += ownership.share("s", slots);
                    owners += ownership.isOwner("s") ? 1 : 0;
                }
                assertThat(sum).isEqualTo(slots);
                assertThat(owners).isEqualTo(1);
            }
        }
    }

    @Test
    public void a_skipped_list_version_restarts_the_hold_down() {
        // given an entry that is the owner in every list
        ConfirmedValue<VmList> first =
                new ConfirmedValue<>(VmList.of(1, List.of(WarmupFleet.vm("vm0"))), 0);
        WarmupOwnership ownership = WarmupOwnership.create("vm0", WarmupTiming.defaults());
        ownership.servers(List.of("s"));
        ownership.view(first, 0);
        long held = WarmupTiming.defaults().holdDown().toNanos();
        // when the next version follows directly, then it keeps its right
        ownership.view(new ConfirmedValue<>(VmList.of(2, first.value().vms()), held), held);
        assertThat(ownership.mayFeedCold("s", held)).isTrue();
        // when a version is skipped, then it waits
        ownership.view(new ConfirmedValue<>(VmList.of(4, first.value().vms()), held), held);
        assertThat(ownership.mayFeedCold("s", held)).isFalse();
    }

    @Test
    public void a_report_from_before_the_new_connection_permits_nothing() {
        // given a warm server whose connection is lost and opened again one second later
        long second = Duration.ofSeconds(1).toNanos();
        String name = WarmupFleet.SERVER;
        WarmupLimiter table = WarmupLimiter.create("vm0", WarmupTiming.defaults());
        table.updateServers(
                List.of(new BackendServer(name, "p", "10.0.0.9", 80, "d", 8, 2, false)),
                Duration.ofSeconds(5));
        table.updateVmList(
                new ConfirmedValue<>(VmList.of(1, List.of(WarmupFleet.vm("vm0"))), 0), 0);
        table.merge(new WarmthAnnouncement(name, "e1", 1, true), 0);
        ReportedLoad report = new ReportedLoad(name, "e1", ReportedState.WARM, 8, 2, 0, 0);
        table.connectionClosed(name, 10 * second);
        int generation = table.connectionOpened(name, 11 * second);
        // when a cached report arrives, measured before a restart in between
        table.onLoadReport(report, generation, 10 * second + second / 2, 11 * second);
        // then it permits nothing, while a later one does
        assertThat(table.limit(name, 11 * second)).isZero();
        table.onLoadReport(report, generation, 11 * second, 11 * second);
        assertThat(table.limit(name, 11 * second)).isEqualTo(8);
    }
}
