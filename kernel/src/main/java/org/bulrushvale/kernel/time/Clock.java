package org.bulrushvale.kernel.time;

import java.time.Duration;
import java.time.Instant;

/**
 * Source of time for all decisions. Ages and timeouts use the monotonic reading; the wall clock is
 * used only for timestamps in logs and reports.
 *
 * <p>Invariant: {@link #monotonicNanos()} never decreases within one process.
 *
 * <p>Thread safety: implementations are safe for use by any thread.
 */
public interface Clock {
    /** Returns a monotonic reading in nanoseconds with an arbitrary origin. */
    long monotonicNanos();

    /** Returns the wall-clock time. */
    Instant now();

    /** Returns the time since an earlier monotonic reading. */
    default Duration elapsedSince(long startNanos) {
        return Duration.ofNanos(monotonicNanos() - startNanos);
    }

    /** Returns the clock of the operating system. */
    static Clock system() {
        return SystemClock.INSTANCE;
    }
}
