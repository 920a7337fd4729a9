package org.bulrushvale.decision.retry;

import java.util.LinkedHashMap;
import java.util.Map;
import org.bulrushvale.decision.config.Stage;
import org.bulrushvale.decision.request.RepeatLimiter;

/**
 * Limits the repeats (retries and hedges) of each stage to a tenth of its first attempts.
 *
 * <pre>{@code
 * RetryBudget budget = new RetryBudget();
 * budget.onFirstAttempt(stage);
 * boolean retry = budget.tryAcquire(stage);
 * }</pre>
 *
 * <p>Invariant: for every stage the repeats granted so far are at most the greater of {@value
 * #INITIAL_TOKENS} and a tenth of the first attempts. The initial tokens are an advance, which the
 * credits of the first attempts repay before they add tokens.
 *
 * <p>Thread safety: not safe; owned by the event loop.
 */
public final class RetryBudget implements RepeatLimiter {
    /** Repeats that a stage may use before its first attempts have earned any. */
    public static final int INITIAL_TOKENS = 3;

    /**
     * Unused tokens kept per stage; more would allow a burst of retries after a long quiet time.
     */
    public static final int MAX_TOKENS = 10;

    private static final int TENTHS_PER_TOKEN = 10;
    private static final int MAX_STAGES = 1_024;

    private final Map<Stage, Bucket> mBuckets =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Stage, Bucket> eldest) {
                    return size() > MAX_STAGES;
                }
            };

    /** Credits a tenth of a token. */
    public void onFirstAttempt(Stage stage) {
        bucket(stage).credit();
    }

    @Override
    public boolean tryAcquire(Stage stage) {
        return bucket(stage).tryAcquire();
    }

    /** Returns the number of repeats that the stage may use now. */
    public int available(Stage stage) {
        return bucket(stage).mTenths / TENTHS_PER_TOKEN;
    }

    private Bucket bucket(Stage stage) {
        return mBuckets.computeIfAbsent(stage, key -> new Bucket());
    }

    /** Token bucket that counts in tenths of a token, so that no rounding error accumulates. */
    private static final class Bucket {
        private int mTenths = INITIAL_TOKENS * TENTHS_PER_TOKEN;
        private int mAdvanceTenths = INITIAL_TOKENS * TENTHS_PER_TOKEN;

        private void credit() {
            if (mAdvanceTenths > 0) {
                mAdvanceTenths--;
            } else if (mTenths < MAX_TOKENS * TENTHS_PER_TOKEN) {
                mTenths++;
            }
        }

        private boolean tryAcquire() {
            if (mTenths < TENTHS_PER_TOKEN) {
                return false;
            }
            mTenths -= TENTHS_PER_TOKEN;
            return true;
        }
    }
}
