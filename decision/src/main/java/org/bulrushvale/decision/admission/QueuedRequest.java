package org.bulrushvale.decision.admission;

import java.time.Duration;

/**
 * A request that waits for capacity.
 *
 * <p>Invariant: {@code share} and {@code worth} are positive, {@code work} is not negative. Thread
 * safety: immutable when {@code T} is.
 *
 * @param <T> what the caller of the queue wants back
 * @param payload what the caller of the queue wants back
 * @param workClass name of the class
 * @param worth worth of the class
 * @param workspace name of the workspace
 * @param share share of the workspace
 * @param deadlineNanos deadline on the monotonic clock
 * @param work estimated time from the start to the result
 */
public record QueuedRequest<T>(
        T payload,
        String workClass,
        double worth,
        String workspace,
        double share,
        long deadlineNanos,
        Duration work) {
    /** Returns the latest monotonic time at which the request can start and still be in time. */
    public long latestStartNanos() {
        return deadlineNanos - work.toNanos();
    }
}
