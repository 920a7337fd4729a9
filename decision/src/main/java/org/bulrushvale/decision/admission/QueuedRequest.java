package org.bulrushvale.decision.admission;

import java.time.Duration;

/**
 * A request that waits for capacity.
 *
 * <p>Invariant: {@code share} and {@code worth} are positive, {@code estimatedDuration} is not
 * negative. Thread safety: immutable when {@code T} is.
 *
 * @param <T> payload type
 * @param payload object that the user of the queue attached to the request
 * @param workClass name of the class of work
 * @param worth value of a request of this class that meets its target; see the order of refusal of
 *     {@link AdmissionQueue}
 * @param workspace name of the workspace
 * @param share weight of the workspace in the division of capacity
 * @param deadlineNanos deadline on the monotonic clock
 * @param estimatedDuration estimated time from the start of the request to its result
 */
public record QueuedRequest<T>(
        T payload,
        String workClass,
        double worth,
        String workspace,
        double share,
        long deadlineNanos,
        Duration estimatedDuration) {
    /** Returns the latest start, on the monotonic clock, that still meets the deadline. */
    public long latestStartNanos() {
        return deadlineNanos - estimatedDuration.toNanos();
    }
}
