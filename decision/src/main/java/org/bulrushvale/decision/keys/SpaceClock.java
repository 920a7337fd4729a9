package org.bulrushvale.decision.keys;

import org.bulrushvale.kernel.time.Clock;

/**
 * Reading of a key space's own clock on the process that holds the space now.
 *
 * <p>Invariant: never decreases. A successor starts at the reading that the previous holder stated,
 * so the time in transit does not count and keys can only stay longer in the records.
 *
 * <p>Thread safety: not safe; owned by the event loop.
 */
final class SpaceClock {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Clock mClock;
    private final long mStartNanos;
    private final long mStartMillis;

    private SpaceClock(Clock clock, long startMillis) {
        mClock = clock;
        mStartNanos = clock.monotonicNanos();
        mStartMillis = startMillis;
    }

    static SpaceClock startingAt(long startMillis, Clock clock) {
        return new SpaceClock(clock, startMillis);
    }

    long nowMillis() {
        return mStartMillis + (mClock.monotonicNanos() - mStartNanos) / NANOS_PER_MILLI;
    }
}
