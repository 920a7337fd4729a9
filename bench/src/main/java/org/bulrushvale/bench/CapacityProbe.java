package org.bulrushvale.bench;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntFunction;
import org.bulrushvale.adapters.peer.PeerException;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.adapters.peer.PeerTransport;
import org.bulrushvale.decision.attainment.AttainmentOutcome;
import org.bulrushvale.decision.attainment.AttainmentTracker;
import org.bulrushvale.decision.config.ConfigDigest;
import org.bulrushvale.decision.config.ConfigStore;
import org.bulrushvale.decision.config.ConfigWriter;
import org.bulrushvale.decision.config.PublishedConfig;
import org.bulrushvale.decision.config.WorkClass;
import org.bulrushvale.decision.keys.BodyFingerprint;
import org.bulrushvale.decision.keys.IdempotencyKey;
import org.bulrushvale.decision.keys.KeyMemoryBudget;
import org.bulrushvale.decision.keys.KeyOutcome;
import org.bulrushvale.decision.keys.KeyRoute;
import org.bulrushvale.decision.keys.KeySecret;
import org.bulrushvale.decision.keys.KeySpaces;
import org.bulrushvale.decision.membership.ConfirmedValue;
import org.bulrushvale.decision.membership.PeerTable;
import org.bulrushvale.decision.membership.VmList;
import org.bulrushvale.decision.routing.BackendTable;
import org.bulrushvale.decision.warmup.ReportedLoad;
import org.bulrushvale.decision.warmup.ReportedState;
import org.bulrushvale.decision.warmup.WarmupLimiter;
import org.bulrushvale.decision.warmup.WarmupTiming;
import org.bulrushvale.kernel.time.Clock;
import org.bulrushvale.kernel.time.ManualClock;

/**
 * Measures how the control state of an entry grows with the fleet: heap for each data structure and
 * size, and processor time for each operation. The figures of {@code docs/CAPACITY.md} are derived
 * from its output.
 *
 * <p>Invariant: each line names the structure, the size and the measured figure. Thread safety:
 * used by the main thread only.
 */
public final class CapacityProbe {
    private static final int HEAP_COPIES = 8;
    private static final int CPU_ROUNDS = 200;
    private static final double BYTES_PER_KB = 1024.0;
    private static final int BACKEND_COUNT = 1_200;
    private static final int MAX_WORKSPACE_COUNT = 6_400;

    private CapacityProbe() {}

    /** Prints one line for each data structure and size. */
    public static void main(String[] args) throws PeerException {
        for (int workspaces : new int[] {5, 800, MAX_WORKSPACE_COUNT}) {
            printHeapPerCopy(
                    "ConfigStore, workspaces", workspaces, n -> configStore(BACKEND_COUNT, n));
        }
        for (int backends : new int[] {100, 400, BACKEND_COUNT}) {
            printHeapPerCopy("BackendTable, servers", backends, CapacityProbe::backendTable);
            printHeapPerCopy("WarmthTable, servers", backends, n -> warmupLimiter(n, 330));
        }
        for (int peers : new int[] {8, 32, 128, 330}) {
            printHeapPerCopy("PeerTable and VmList, peers", peers, CapacityProbe::peerState);
            printCpuPerRun(
                    "VmList view into WarmthTable of 1200 servers, peers",
                    peers,
                    vmListUpdate(peers));
        }
        for (int keys : new int[] {1_000, 10_000}) {
            printHeapPerCopy("KeySpaces, records", keys, CapacityProbe::keySpaces);
        }
        for (int groups : new int[] {5, 64}) {
            printHeapPerCopy(
                    "AttainmentTracker of 16 classes, groups",
                    groups,
                    CapacityProbe::attainmentTracker);
        }
        for (int changes : new int[] {0, 10, 100}) {
            System.out.printf(
                    Locale.ROOT,
                    "Gossip frame, warmth changes %d: %d B%n",
                    changes,
                    PeerTransport.frameBytes(gossipMessage(changes)));
        }
        System.out.printf(
                Locale.ROOT, "heap in use at the end: %.0f KB%n", usedBytes() / BYTES_PER_KB);
    }

    private static ConfigStore configStore(int backends, int workspaces) {
        PublishedConfig config = Fixtures.config(1, backends, workspaces);
        Map<String, String> values = ConfigWriter.write(config);
        ConfigStore store = ConfigStore.empty(Clock.system());
        store.offer(1, ConfigDigest.of(values), values);
        return store;
    }

    private static BackendTable backendTable(int servers) {
        BackendTable table = new BackendTable();
        table.applyConfig(Fixtures.config(1, servers, 1));
        Fixtures.servers(servers)
                .forEach(server -> table.applyReport(warmReport(server.name()), 1));
        return table;
    }

    private static ReportedLoad warmReport(String server) {
        return new ReportedLoad(server, "epoch-1", ReportedState.WARM, 64, 2, 3, 0);
    }

    private static WarmupLimiter warmupLimiter(int servers, int vms) {
        WarmupLimiter limiter = WarmupLimiter.create(Fixtures.vmName(0), WarmupTiming.defaults());
        limiter.updateServers(Fixtures.servers(servers), Duration.ofSeconds(5));
        limiter.updateVmList(new ConfirmedValue<>(Fixtures.vmList(1, vms), 0), 0);
        Fixtures.servers(servers)
                .forEach(server -> limiter.onLoadReport(warmReport(server.name()), 0, 1, 1));
        return limiter;
    }

    private static Runnable vmListUpdate(int vms) {
        WarmupLimiter limiter = warmupLimiter(BACKEND_COUNT, vms);
        long[] version = {1};
        return () ->
                limiter.updateVmList(
                        new ConfirmedValue<>(Fixtures.vmList(++version[0], vms), 0), 0);
    }

    private static List<Object> peerState(int count) {
        VmList list = Fixtures.vmList(1, count);
        PeerTable table = new PeerTable();
        for (int i = 0; i < count; i++) {
            table.recordReport(
                    Fixtures.vmName(i),
                    new PeerTable.PeerReport("incarnation-" + i, 1, 1, false),
                    1);
        }
        return List.of(list, table);
    }

    private static KeySpaces keySpaces(int records) {
        KeySpaces spaces =
                KeySpaces.create(
                        1,
                        KeySecret.of(new byte[32]),
                        ManualClock.startingAt(Instant.EPOCH),
                        KeyMemoryBudget.limitedTo(records, 0));
        for (int i = 0; i < records; i++) {
            IdempotencyKey key = spaces.issuer().issue("workspace", "class");
            KeyRoute.Local route = (KeyRoute.Local) spaces.route(key);
            route.ledger().decide(key, BodyFingerprint.of("workspace", "class", new byte[8]));
            route.ledger().recordOutcome(key, KeyOutcome.done(200, "booked"));
        }
        return spaces;
    }

    private static AttainmentTracker attainmentTracker(int groups) {
        AttainmentTracker tracker =
                new AttainmentTracker("entry-0", ManualClock.startingAt(Instant.EPOCH));
        for (WorkClass workClass : Fixtures.config(1, 1, 1).classes()) {
            for (int group = 0; group < groups; group++) {
                for (int sample = 1; sample <= 100; sample++) {
                    tracker.onRequestEnded(
                            workClass,
                            "group-" + group,
                            AttainmentOutcome.MET,
                            Duration.ofMillis(37L * sample));
                }
            }
        }
        return tracker;
    }

    private static PeerMessage.Gossip gossipMessage(int warmthChanges) {
        List<PeerMessage.WarmthNotice> warmth = new ArrayList<>();
        for (int i = 0; i < warmthChanges; i++) {
            warmth.add(new PeerMessage.WarmthNotice("server-" + i, "1764800000000", true, i));
        }
        return new PeerMessage.Gossip(
                new PeerMessage.Sender(Fixtures.vmName(0), "0123456789abcdef"),
                new PeerMessage.ConfigState(1, "0".repeat(64), 500),
                1,
                500,
                warmth,
                List.of(),
                false,
                List.of("0123456789abcdef"));
    }

    private static void printHeapPerCopy(String label, int size, IntFunction<Object> factory) {
        List<Object> retained = new ArrayList<>();
        retained.add(factory.apply(size));
        long before = usedBytes();
        for (int i = 0; i < HEAP_COPIES; i++) {
            retained.add(factory.apply(size));
        }
        long bytes = (usedBytes() - before) / HEAP_COPIES;
        System.out.printf(
                Locale.ROOT,
                "%s %d: %.1f KB (%d)%n",
                label,
                size,
                bytes / BYTES_PER_KB,
                retained.size());
    }

    private static void printCpuPerRun(String label, int size, Runnable operation) {
        for (int i = 0; i < CPU_ROUNDS; i++) {
            operation.run();
        }
        long before = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        for (int i = 0; i < CPU_ROUNDS; i++) {
            operation.run();
        }
        long nanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - before;
        System.out.printf(Locale.ROOT, "%s %d: %.1f us%n", label, size, nanos / 1e3 / CPU_ROUNDS);
    }

    private static long usedBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
