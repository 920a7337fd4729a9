package org.bulrushvale.decision.drain;

import java.time.Duration;

/**
 * Durations of the steps of a graceful shutdown.
 *
 * <p>Thread safety: immutable.
 *
 * @param unready time from failing the readiness check to closing the listeners; must exceed the
 *     check interval of the load balancer times its failure threshold
 * @param settle time after that in which requests on open connections are still accepted
 * @param grace time after the latest deadline of an accepted request for which the entry still
 *     waits for requests to end
 * @param handover maximum time for handing over the key spaces
 * @param closing maximum time after that for reading and answering requests that have begun to
 *     arrive on open connections
 */
public record DrainTimeouts(
        Duration unready, Duration settle, Duration grace, Duration handover, Duration closing) {
    /** For a load balancer that checks every second and needs three failures. */
    public static final DrainTimeouts DEFAULT =
            new DrainTimeouts(
                    Duration.ofSeconds(4),
                    Duration.ofMillis(500),
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(7));
}
