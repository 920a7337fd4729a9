package org.bulrushvale.kernel.time;

import java.time.Duration;
import java.time.Instant;

/**
 * Source of time for all decisions. Ages and timeouts use the monotonic reading; the wall clock is
 * used only for timestamps in logs and reports, and to compare with the start times that backend
 * servers state.
 *
 * <p>Invariant: {@link #monotonicNanos()} never decreases within one process.
 *
 * <p>Thread safety: implementations are safe for use by any thread.
 */
public interface Clock {
    /**
     * Longest span that is added to a reading or subtracted from it, about 73 years. The difference
     * of two such readings always fits into a long.
     */
    Duration MAX_SPAN = Duration.ofNanos(Long.MAX_VALUE / 4);

    /** Returns a monotonic reading in nanoseconds with an arbitrary origin. */
    long monotonicNanos();

    /** Returns the wall-clock time. */
    Instant now();

    /** Returns the time since an earlier monotonic reading. */
    default Duration elapsedSince(long startNanos) {
        return Duration.ofNanos(monotonicNanos() - startNanos);
    }

    /** Returns the reading at the end of a span that begins now. */
    default long nanosAfter(Duration span) {
        return monotonicNanos() + boundedNanos(span);
    }

    /** Returns the reading of {@code age} ago. */
    default long nanosBefore(Duration age) {
        return monotonicNanos() - boundedNanos(age);
    }

    /**
     * Returns the length of a span in nanoseconds, at most {@link #MAX_SPAN} in either direction.
     * Spans that other processes state may be longer than {@link Duration#toNanos} accepts.
     */
    static long boundedNanos(Duration span) {
        // Runs for every timer, so it does without Duration's arithmetic, which uses BigDecimal.
        long maxSeconds = MAX_SPAN.getSeconds();
        if (span.getSeconds() > -maxSeconds && span.getSeconds() < maxSeconds) {
            return span.toNanos();
        }
        return span.isNegative() ? -MAX_SPAN.toNanos() : MAX_SPAN.toNanos();
    }

    /** Returns the clock of the operating system. */
    static Clock system() {
        return SystemClock.INSTANCE;
    }
}
