package org.bulrushvale.systemtests.harness;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.locks.LockSupport;

/**
 * Polls conditions that depend on other processes.
 *
 * <p>Thread safety: stateless.
 */
public final class Await {
    private static final long POLL_NANOS = Duration.ofMillis(20).toNanos();

    private Await() {}

    /** Polls until the condition holds and returns the time that passed until then. */
    public static Duration until(String what, Duration limit, Callable<Boolean> condition)
            throws Exception {
        long start = System.nanoTime();
        while (!condition.call()) {
            if (System.nanoTime() - start > limit.toNanos()) {
                throw new AssertionError("not within " + limit + ": " + what);
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
        return Duration.ofNanos(System.nanoTime() - start);
    }

    /** Polls for the given time and fails as soon as the condition does not hold. */
    public static void holdsFor(String what, Duration time, Callable<Boolean> condition)
            throws Exception {
        long start = System.nanoTime();
        while (System.nanoTime() - start < time.toNanos()) {
            if (!condition.call()) {
                throw new AssertionError("did not hold: " + what);
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }
}
