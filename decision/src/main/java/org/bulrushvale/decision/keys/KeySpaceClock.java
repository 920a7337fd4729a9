package org.bulrushvale.decision.keys;

import org.bulrushvale.kernel.time.Clock;

/**
 * Clock of a key space, on the process that holds the space.
 *
 * <p>Invariant: the time never decreases. A successor starts at the time that the previous holder
 * stated. The time in transit does not count, so records can only be kept for longer.
 *
 * <p>Thread safety: not safe; owned by the event loop.
 */
final class KeySpaceClock {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Clock mClock;
    private final long mStartNanos;
    private final long mStartMillis;

    private KeySpaceClock(Clock clock, long startMillis) {
        mClock = clock;
        mStartNanos = clock.monotonicNanos();
        mStartMillis = startMillis;
    }

    static KeySpaceClock startingAt(long startMillis, Clock clock) {
        return new KeySpaceClock(clock, startMillis);
    }

    long nowMillis() {
        return mStartMillis + (mClock.monotonicNanos() - mStartNanos) / NANOS_PER_MILLI;
    }
}
