package org.bulrushvale.decision.drain;

import java.time.Duration;

/**
 * Times of a graceful shutdown.
 *
 * <p>Thread safety: immutable.
 *
 * @param unready time from failing readiness to closing the listeners; must exceed the load
 *     balancer's check interval times its failure threshold
 * @param settle time in which requests on open connections are still accepted after that
 * @param grace time after the last accepted deadline in which a request must have ended
 * @param handover longest time for handing over key spaces
 */
public record DrainTimeouts(Duration unready, Duration settle, Duration grace, Duration handover) {
    /** Limits for a load balancer that checks every second and needs three failures. */
    public static final DrainTimeouts DEFAULT =
            new DrainTimeouts(
                    Duration.ofSeconds(4),
                    Duration.ofMillis(500),
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(5));
}
