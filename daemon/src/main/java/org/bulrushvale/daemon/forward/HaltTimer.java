package org.bulrushvale.daemon.forward;

import java.util.concurrent.TimeUnit;
import org.bulrushvale.kernel.time.Clock;

/**
 * Ends the process at a fixed monotonic time, whatever its other threads and timers do.
 *
 * <p>Thread safety: safe for use by any thread.
 */
final class HaltTimer {
    private HaltTimer() {}

    /** Runs {@code halt} at the time on a thread of its own. */
    static void start(Clock clock, long atNanos, Runnable halt) {
        Thread thread =
                new Thread(
                        () -> {
                            if (awaitUntil(clock, atNanos)) {
                                halt.run();
                            }
                        },
                        "halt-timer");
        thread.setDaemon(true);
        thread.start();
    }

    private static boolean awaitUntil(Clock clock, long atNanos) {
        try {
            for (long left = atNanos - clock.monotonicNanos();
                    left > 0;
                    left = atNanos - clock.monotonicNanos()) {
                TimeUnit.NANOSECONDS.sleep(left);
            }
            return true;
        } catch (InterruptedException e) {
            return false;
        }
    }
}
