package org.bulrushvale.kernel.time;

import java.time.Instant;

/**
 * The clock of the operating system.
 *
 * <p>Invariant: stateless. Thread safety: safe for use by any thread.
 */
enum SystemClock implements Clock {
    INSTANCE;

    @Override
    public long monotonicNanos() {
        return System.nanoTime();
    }

    @Override
    public Instant now() {
        return Instant.now();
    }
}
