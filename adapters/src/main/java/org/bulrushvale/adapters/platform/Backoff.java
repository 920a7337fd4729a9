package org.bulrushvale.adapters.platform;

import java.time.Duration;
import java.util.Random;

/**
 * Exponential backoff after failed calls, with jitter so that the readers of a fleet do not retry
 * at the same time.
 *
 * <p>Invariant: a delay lies between half of the current step and the whole step. Thread safety:
 * used by one thread.
 */
final class Backoff {
    private static final long FIRST_STEP_MS = 200;

    /** Less than the 4 s within which a revision must be in force, even right after an outage. */
    private static final long MAX_STEP_MS = 3_000;

    private final Random mRandom;
    private long mStepMs = FIRST_STEP_MS;

    Backoff(long seed) {
        mRandom = new Random(seed);
    }

    Duration next() {
        long delayMs = mStepMs / 2 + mRandom.nextInt((int) (mStepMs / 2) + 1);
        mStepMs = Math.min(MAX_STEP_MS, mStepMs * 2);
        return Duration.ofMillis(delayMs);
    }

    void reset() {
        mStepMs = FIRST_STEP_MS;
    }
}
