package org.bulrushvale.bench;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.decision.config.BackendServer;
import org.bulrushvale.decision.routing.BackendState;
import org.bulrushvale.decision.routing.BackendTable;
import org.bulrushvale.decision.routing.PowerOfTwoPolicy;
import org.bulrushvale.decision.routing.RoutingPolicy;
import org.bulrushvale.decision.routing.RoutingRequest;
import org.bulrushvale.decision.warmup.ReportedLoad;
import org.bulrushvale.decision.warmup.ReportedState;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * Measures the time to choose a backend server for one stage and to record the start and the end of
 * the attempt.
 *
 * <p>Thread safety: one state per benchmark thread.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class RoutingBenchmark {
    private static final int SLOTS_PER_SERVER = 64;

    /** Number of backend servers, spread over four pools. */
    @Param({"100", "1200"})
    public int mServers;

    private final BackendTable mTable = new BackendTable();
    private final RoutingPolicy mPolicy = PowerOfTwoPolicy.seeded(1);
    private final RoutingRequest mRequest =
            new RoutingRequest("generate", "domain-1", "", Set.of());

    /** Fills the table with warm servers that have reported their load. */
    @Setup
    public void fillTable() {
        mTable.applyConfig(Fixtures.config(1, mServers, 1));
        for (BackendServer server : Fixtures.servers(mServers)) {
            mTable.applyReport(
                    new ReportedLoad(
                            server.name(), "e", ReportedState.WARM, SLOTS_PER_SERVER, 2, 0, 0),
                    1);
        }
    }

    /** Chooses a server for one attempt and records its start and end. */
    @Benchmark
    public Optional<BackendState> chooseServer() {
        Optional<BackendState> chosen =
                mPolicy.choose(mRequest, mTable, (name, now) -> SLOTS_PER_SERVER, 0);
        chosen.ifPresent(
                backend -> {
                    mTable.recordStart(backend.server().name());
                    mTable.recordEnd(backend.server().name());
                });
        return chosen;
    }
}
