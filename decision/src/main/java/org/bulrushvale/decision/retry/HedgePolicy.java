package org.bulrushvale.decision.retry;

import java.time.Duration;
import java.util.Optional;
import org.bulrushvale.decision.config.Stage;
import org.bulrushvale.decision.request.StageLatency;

/**
 * Decides when a slow attempt is worth a second one.
 *
 * <p>Invariant: only repeatable stages are hedged, and only while at least {@value #RESERVED}
 * repeats stay available for retries. Thread safety: not safe; owned by the event loop.
 */
public final class HedgePolicy {
    /**
     * Repeats left for retries: a poison request may crash two servers, and every request that runs
     * beside it needs one.
     */
    public static final int RESERVED = RetryBudget.MAX_TOKENS * 4 / 5;

    private static final double QUANTILE = 0.95;

    private final StageLatency mLatency;
    private final RetryBudget mBudget;

    /** Creates a policy over the observed latencies and the common retry budget. */
    public HedgePolicy(StageLatency latency, RetryBudget budget) {
        mLatency = latency;
        mBudget = budget;
    }

    /** Returns how long to wait before hedging; empty when the stage must not be hedged. */
    public Optional<Duration> delay(String workClass, Stage stage) {
        if (!stage.repeatable()) {
            return Optional.empty();
        }
        return mLatency.quantile(workClass, stage.name(), QUANTILE);
    }

    /** Returns true when an attempt that has run for the given time should be hedged now. */
    public boolean shouldHedge(String workClass, Stage stage, Duration elapsed) {
        boolean slow =
                delay(workClass, stage).filter(limit -> elapsed.compareTo(limit) >= 0).isPresent();
        return slow && mBudget.available(stage) > RESERVED;
    }
}
