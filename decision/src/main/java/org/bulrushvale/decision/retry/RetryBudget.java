package org.bulrushvale.decision.retry;

import java.util.LinkedHashMap;
import java.util.Map;
import org.bulrushvale.decision.config.Stage;
import org.bulrushvale.decision.request.RepeatLimiter;

/**
 * Limits retries and hedges of each stage to a tenth of its first attempts.
 *
 * <pre>{@code
 * RetryBudget budget = new RetryBudget();
 * budget.onFirstAttempt(stage);
 * boolean retry = budget.tryTake(stage);
 * }</pre>
 *
 * <p>Invariant: for every stage the repeats granted so far are at most the greater of {@value
 * #START_ALLOWANCE} and a tenth of the first attempts. The start allowance is an advance: the first
 * credits repay it.
 *
 * <p>Thread safety: not safe; owned by the event loop.
 */
public final class RetryBudget implements RepeatLimiter {
    /** Repeats that a stage may use before it has any first attempts to earn them. */
    public static final int START_ALLOWANCE = 3;

    /** Unused repeats kept per stage; more would allow a burst of retries after a long calm. */
    public static final int MAX_TOKENS = 10;

    private static final int UNITS_PER_TOKEN = 10;
    private static final int MAX_STAGES = 1_024;

    private final Map<Stage, Bucket> mBuckets =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Stage, Bucket> eldest) {
                    return size() > MAX_STAGES;
                }
            };

    /** Credits a tenth of a repeat. */
    public void onFirstAttempt(Stage stage) {
        bucket(stage).credit();
    }

    @Override
    public boolean tryAcquire(Stage stage) {
        return bucket(stage).tryTake();
    }

    /** Returns the number of repeats that could be granted now. */
    public int available(Stage stage) {
        return bucket(stage).mUnits / UNITS_PER_TOKEN;
    }

    private Bucket bucket(Stage stage) {
        return mBuckets.computeIfAbsent(stage, key -> new Bucket());
    }

    /** Counts in tenths, so that no rounding error accumulates. */
    private static final class Bucket {
        private int mUnits = START_ALLOWANCE * UNITS_PER_TOKEN;
        private int mDebt = START_ALLOWANCE * UNITS_PER_TOKEN;

        private void credit() {
            if (mDebt > 0) {
                mDebt--;
            } else if (mUnits < MAX_TOKENS * UNITS_PER_TOKEN) {
                mUnits++;
            }
        }

        private boolean tryTake() {
            if (mUnits < UNITS_PER_TOKEN) {
                return false;
            }
            mUnits -= UNITS_PER_TOKEN;
            return true;
        }
    }
}
