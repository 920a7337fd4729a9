package org.bulrushvale.decision.forward;

import java.util.concurrent.TimeUnit;

/**
 * Decides what becomes of a request while all servers of its service are paused: it waits when it
 * can still be served after the earliest end, else it is refused with a return time.
 *
 * <p>Requests that wait for the same end continue in steps, so that they do not reach the server at
 * once. Thread safety: immutable.
 *
 * @param waits true when the request waits, false when it is refused
 * @param millis time to wait or, for a refused request, time after which its caller should return
 */
public record PauseWait(boolean waits, long millis) {
    private static final int STEPS = 10;
    private static final long STEP_MILLIS = 20;

    // A server that comes into being meanwhile is noticed within this time.
    private static final long RECHECK_MILLIS = 200;

    // Callers wait for at most a third of their remaining time before they return.
    private static final int RETURN_DIVISOR = 3;

    /**
     * Decides for one request.
     *
     * @param endNanos monotonic time of the earliest end of a pause
     * @param leftMillis time within which the request must reach a server
     * @param deadlineMillis time until the caller leaves
     * @param hash hash of the request's id; selects its step after the end
     */
    public static PauseWait of(
            long endNanos, long nowNanos, long leftMillis, long deadlineMillis, long hash) {
        long pausedMillis = Math.max(0, TimeUnit.NANOSECONDS.toMillis(endNanos - nowNanos) + 1);
        long step = Math.floorMod(hash, STEPS) * STEP_MILLIS;
        if (pausedMillis > leftMillis) {
            long limit = Math.max(0, deadlineMillis / RETURN_DIVISOR);
            return new PauseWait(false, Math.min(pausedMillis + step, limit));
        }
        if (pausedMillis > RECHECK_MILLIS) {
            return new PauseWait(true, RECHECK_MILLIS);
        }
        return new PauseWait(true, Math.min(pausedMillis + step, leftMillis));
    }
}
