package org.bulrushvale.decision.warmup;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.bulrushvale.decision.config.BackendServer;
import org.bulrushvale.decision.membership.ConfirmedValue;
import org.bulrushvale.decision.membership.Vm;
import org.bulrushvale.decision.membership.VmList;
import org.bulrushvale.decision.warmup.WarmupFleetSimulation.Fault;
import org.bulrushvale.decision.warmup.WarmupFleetSimulation.LimitRule;
import org.testng.annotations.Test;

/**
 * Guards against entries that together send a cold server more concurrent requests than it can run
 * while VM lists change, entries pause, die or are partitioned, and connections or the server fail.
 */
public class WarmupLimiterTest {
    private static final long FIRST_SEED = 7_100L;
    private static final int SCHEDULES = 150;
    private static final Duration SCHEDULE_LENGTH = Duration.ofMinutes(5);
    private static final List<Fault> FAULTS =
            List.of(
                    Fault.LIST_CHANGE,
                    Fault.LIST_CHANGE,
                    Fault.PAUSE,
                    Fault.SPLIT,
                    Fault.DEATH,
                    Fault.RESTART,
                    Fault.RESET);

    private static List<Long> overloadedSeeds(LimitRule rule) {
        List<Long> seeds = new ArrayList<>();
        long completed = 0;
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
            // Long and short mean gaps, so that faults occur both after the fleet has recovered
            // from the previous fault and before.
            WarmupFleetSimulation fleet =
                    new WarmupFleetSimulation(rule, seed, WarmupTiming.defaults());
            fleet.run(SCHEDULE_LENGTH, FAULTS, 2_000L << (seed % 5));
            completed += fleet.mCompleted;
            if (fleet.mColdOverloadMs > 0) {
                seeds.add(seed);
            }
        }
        System.out.printf(
                "%s: seeds %d to %d, overloaded while cold in %d, completed %d%n",
                rule, FIRST_SEED, FIRST_SEED + SCHEDULES - 1, seeds.size(), completed);
        assertThat(completed).isPositive();
        return seeds;
    }

    @Test
    public void load_on_a_cold_server_never_exceeds_its_cold_concurrency() {
        assertThat(overloadedSeeds(LimitRule.WARMTH_TABLE)).isEmpty();
    }

    @Test
    public void same_schedules_overload_a_cold_server_with_static_shares_of_at_least_one() {
        assertThat(overloadedSeeds(LimitRule.STATIC_SHARE)).isNotEmpty();
    }

    @Test
    public void same_schedules_overload_a_cold_server_when_reachability_decides_the_owner() {
        assertThat(overloadedSeeds(LimitRule.OWNER_BY_REACHABILITY)).isNotEmpty();
    }

    @Test
    public void overload_after_cooling_without_restart_ends_within_a_minute() {
        // given
        WarmupFleetSimulation fleet =
                new WarmupFleetSimulation(
                        LimitRule.WARMTH_TABLE, FIRST_SEED, WarmupTiming.defaults());
        fleet.run(Duration.ofMinutes(3), List.of(), 1_000);
        assertThat(fleet.mServer.capacity()).isEqualTo(WarmupFleetSimulation.SLOTS);
        assertThat(fleet.mColdOverloadMs).isZero();
        // when
        fleet.inject(Fault.COOLING);
        fleet.run(Duration.ofMinutes(1), List.of(), 1_000);
        // then
        System.out.printf(
                "cooling without restart, seed %d: overloaded for %d ms%n",
                FIRST_SEED, fleet.mColdOverloadMs);
        long overloadMs = fleet.mColdOverloadMs;
        fleet.run(Duration.ofMinutes(1), List.of(), 1_000);
        assertThat(fleet.mColdOverloadMs).isEqualTo(overloadMs);
    }

    @Test
    public void shares_of_one_list_sum_to_the_slots_and_one_entry_is_owner() {
        for (int size = 1; size <= 40; size++) {
            List<Vm> vms = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                vms.add(WarmupFleetSimulation.vm("vm" + i));
            }
            ConfirmedValue<VmList> confirmedList = new ConfirmedValue<>(VmList.of(1, vms), 0);
            for (int slots = 1; slots <= 20; slots++) {
                int sum = 0;
                int owners = 0;
                for (Vm vm : vms) {
                    WarmupOwnership ownership =
                            WarmupOwnership.create(vm.name(), WarmupTiming.defaults());
                    ownership.updateServers(List.of("s"));
                    ownership.updateVmList(confirmedList, 0);
                    sum += ownership.share("s", slots);
                    owners += ownership.isOwner("s") ? 1 : 0;
                }
                assertThat(sum).isEqualTo(slots);
                assertThat(owners).isEqualTo(1);
            }
        }
    }

    @Test
    public void owner_that_skipped_a_list_version_waits_for_the_hold_down_again() {
        // given an entry that is the owner in each list that it reads
        ConfirmedValue<VmList> first =
                new ConfirmedValue<>(VmList.of(1, List.of(WarmupFleetSimulation.vm("vm0"))), 0);
        WarmupOwnership ownership = WarmupOwnership.create("vm0", WarmupTiming.defaults());
        ownership.updateServers(List.of("s"));
        ownership.updateVmList(first, 0);
        long heldDownNanos = WarmupTiming.defaults().holdDown().toNanos();
        // when it reads the next version, then it may still send to the cold server
        ownership.updateVmList(
                new ConfirmedValue<>(VmList.of(2, first.value().vms()), heldDownNanos),
                heldDownNanos);
        assertThat(ownership.maySendToCold("s", heldDownNanos)).isTrue();
        // when it skips a version, then it must wait again
        ownership.updateVmList(
                new ConfirmedValue<>(VmList.of(4, first.value().vms()), heldDownNanos),
                heldDownNanos);
        assertThat(ownership.maySendToCold("s", heldDownNanos)).isFalse();
    }

    @Test
    public void report_measured_before_the_connection_was_opened_permits_nothing() {
        // given a warm server whose connection is closed and reopened one second later
        long secondNanos = Duration.ofSeconds(1).toNanos();
        String name = WarmupFleetSimulation.SERVER;
        WarmupLimiter limiter = WarmupLimiter.create("vm0", WarmupTiming.defaults());
        limiter.updateServers(
                List.of(new BackendServer(name, "p", "10.0.0.9", 80, "d", 8, 2, false)),
                Duration.ofSeconds(5));
        limiter.updateVmList(
                new ConfirmedValue<>(VmList.of(1, List.of(WarmupFleetSimulation.vm("vm0"))), 0), 0);
        limiter.merge(new WarmthAnnouncement(name, "e1", 1, true), 0);
        ReportedLoad report = new ReportedLoad(name, "e1", ReportedState.WARM, 8, 2, 0, 0);
        limiter.connectionClosed(name, 10 * secondNanos);
        int generation = limiter.connectionOpened(name, 11 * secondNanos);
        // when a report arrives that was measured before the connection was reopened
        limiter.onLoadReport(
                report, generation, 10 * secondNanos + secondNanos / 2, 11 * secondNanos);
        // then it permits nothing, whereas a report measured later does
        assertThat(limiter.limit(name, 11 * secondNanos)).isZero();
        limiter.onLoadReport(report, generation, 11 * secondNanos, 11 * secondNanos);
        assertThat(limiter.limit(name, 11 * secondNanos)).isEqualTo(8);
    }
}
