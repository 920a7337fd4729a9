package org.bulrushvale.decision.retry;

import java.time.Duration;
import java.util.Optional;
import org.bulrushvale.decision.config.Stage;
import org.bulrushvale.decision.request.StageLatency;

/**
 * Decides when a slow attempt is hedged with a second one.
 *
 * <p>Invariant: only repeatable stages are hedged, and a hedge leaves at least {@value
 * #RESERVED_TOKENS} tokens of the retry budget for retries. Thread safety: not safe; owned by the
 * event loop.
 */
public final class HedgePolicy {
    /**
     * Tokens of the retry budget that hedges leave for retries. A poison request may crash two
     * servers, and each request that runs next to it then needs a retry.
     */
    public static final int RESERVED_TOKENS = RetryBudget.MAX_TOKENS * 4 / 5;

    private static final double DELAY_QUANTILE = 0.95;

    private final StageLatency mLatency;
    private final RetryBudget mBudget;

    /**
     * Creates a policy from the observed latencies and the budget that retries and hedges share.
     */
    public HedgePolicy(StageLatency latency, RetryBudget budget) {
        mLatency = latency;
        mBudget = budget;
    }

    /**
     * Returns how long an attempt runs before it is hedged; empty when the stage is not repeatable
     * or has no observed latencies.
     */
    public Optional<Duration> delay(String workClass, Stage stage) {
        if (!stage.repeatable()) {
            return Optional.empty();
        }
        return mLatency.quantile(workClass, stage.name(), DELAY_QUANTILE);
    }

    /** Returns true when an attempt that has run for the given time should be hedged now. */
    public boolean shouldHedge(String workClass, Stage stage, Duration elapsed) {
        boolean slow =
                delay(workClass, stage).filter(limit -> elapsed.compareTo(limit) >= 0).isPresent();
        return slow && mBudget.available(stage) > RESERVED_TOKENS;
    }
}
