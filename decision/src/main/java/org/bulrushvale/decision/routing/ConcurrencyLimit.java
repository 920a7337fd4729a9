package org.bulrushvale.decision.routing;

/**
 * Limit of concurrent requests from this entry to a server.
 *
 * <p>Thread safety: called by the event loop only.
 */
@FunctionalInterface
public interface ConcurrencyLimit {
    /** Returns the limit, 0 when nothing may be sent. */
    int limit(String server, long nowNanos);
}
