package org.bulrushvale.adapters.platform;

import java.time.Duration;
import java.util.Random;

/**
 * Delays after failed calls: doubling, with jitter so that readers do not return together.
 *
 * <p>Invariant: a delay lies between half and all of the present step. Thread safety: used by one
 * thread.
 */
final class Backoff {
    private static final long FIRST_MS = 200;

    /** Below the 4 s in which a revision must be in force, also right after an outage. */
    private static final long MAX_MS = 3_000;

    private final Random mRandom;
    private long mStepMs = FIRST_MS;

    Backoff(long seed) {
        mRandom = new Random(seed);
    }

    Duration next() {
        long delay = mStepMs / 2 + mRandom.nextInt((int) (mStepMs / 2) + 1);
        mStepMs = Math.min(MAX_MS, mStepMs * 2);
        return Duration.ofMillis(delay);
    }

    void reset() {
        mStepMs = FIRST_MS;
    }
}
