package org.bulrushvale.bench;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.decision.config.ConfigDigest;
import org.bulrushvale.decision.config.ConfigStore;
import org.bulrushvale.decision.config.ConfigWriter;
import org.bulrushvale.kernel.time.Clock;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * Measures the time to check and apply one revision of the published configuration.
 *
 * <p>Thread safety: one state per benchmark thread.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class ConfigApplyBenchmark {
    private static final int BACKEND_COUNT = 1_200;

    /** Number of workspaces. */
    @Param({"5", "800", "6400"})
    public int mWorkspaces;

    private final ConfigStore mStore = ConfigStore.empty(Clock.system());
    private Map<String, String> mValues = Map.of();
    private long mRevision;

    /** Serializes the configuration values once, outside the measured time. */
    @Setup
    public void writeValues() {
        mValues = ConfigWriter.write(Fixtures.config(1, BACKEND_COUNT, mWorkspaces));
    }

    /** Offers the same values as the next revision; a small change also offers all values. */
    @Benchmark
    public ConfigStore.OfferResult applyRevision() {
        return mStore.offer(++mRevision, ConfigDigest.of(mValues), mValues);
    }
}
