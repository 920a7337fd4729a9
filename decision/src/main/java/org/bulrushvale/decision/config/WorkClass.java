package org.bulrushvale.decision.config;

import java.time.Duration;

/**
 * A class of work and the service level that operators want for it.
 *
 * <p>Invariant: {@code target} is in (0, 1], {@code deadline} and {@code worth} are positive.
 * Thread safety: immutable.
 *
 * @param name unique name
 * @param target fraction of requests that must finish within the deadline
 * @param deadline longest time from the arrival of a request to the end of its answer
 * @param worth value of one completed request, relative to other classes
 * @param pipeline name of the pipeline that serves the class
 * @param idempotent false when a request must run at most once
 */
public record WorkClass(
        String name,
        double target,
        Duration deadline,
        double worth,
        String pipeline,
        boolean idempotent) {}
