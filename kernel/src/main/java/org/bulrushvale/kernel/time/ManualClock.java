package org.bulrushvale.kernel.time;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A clock that moves only by {@link #advance}, for tests and for replayed traces.
 *
 * <pre>{@code
 * ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
 * clock.advance(Duration.ofSeconds(4));
 * }</pre>
 *
 * <p>Invariant: time never moves backwards. Thread safety: safe for use by any thread.
 */
public final class ManualClock implements Clock {
    private final Instant mStart;
    private final AtomicLong mNanos = new AtomicLong();

    private ManualClock(Instant start) {
        mStart = start;
    }

    /** Returns a clock whose wall time is {@code start} and whose monotonic reading is zero. */
    public static ManualClock startingAt(Instant start) {
        return new ManualClock(start);
    }

    /** Moves the clock forward. */
    public void advance(Duration step) {
        if (step.isNegative()) {
            throw new IllegalArgumentException("the clock cannot move backwards: " + step);
        }
        mNanos.addAndGet(step.toNanos());
    }

    @Override
    public long monotonicNanos() {
        return mNanos.get();
    }

    @Override
    public Instant now() {
        return mStart.plusNanos(mNanos.get());
    }
}
