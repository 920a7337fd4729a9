package org.bulrushvale.bench;

import java.util.concurrent.TimeUnit;
import org.bulrushvale.decision.config.Stage;
import org.bulrushvale.decision.retry.RetryBudget;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;

/**
 * Measures the time to credit one first attempt to the retry budget and to request one retry.
 *
 * <p>Thread safety: one state per benchmark thread.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class RetryBudgetBenchmark {
    private final RetryBudget mBudget = new RetryBudget();
    private final Stage mStage = new Stage("rerank", "rerank", true, false);

    /** Credits a first attempt and tries to acquire a retry for it. */
    @Benchmark
    public boolean creditAndTake() {
        mBudget.onFirstAttempt(mStage);
        return mBudget.tryAcquire(mStage);
    }
}
