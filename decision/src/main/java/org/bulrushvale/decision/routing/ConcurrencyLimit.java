package org.bulrushvale.decision.routing;

/**
 * Limits the concurrent requests from this entry to each server.
 *
 * <p>Thread safety: called by the event loop only.
 */
@FunctionalInterface
public interface ConcurrencyLimit {
    /** Returns the maximum number of concurrent requests, 0 when nothing may be sent. */
    int limit(String server, long nowNanos);
}
