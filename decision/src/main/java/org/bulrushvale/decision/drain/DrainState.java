package org.bulrushvale.decision.drain;

/**
 * Steps of a graceful shutdown.
 *
 * <p>Invariant: a sequence passes through the constants in this order and skips none. Thread
 * safety: immutable.
 */
public enum DrainState {
    /** Normal operation. */
    SERVING,
    /** {@code /readyz} answers 503 so that the load balancer sends callers elsewhere. */
    UNREADY,
    /** No new connections; requests on open connections are still accepted. */
    LISTENERS_CLOSED,
    /** No new requests; accepted ones run to their end. */
    FINISHING,
    /** Key spaces go to a successor. */
    HANDING_OVER,
    /** The process may exit. */
    STOPPED;

    /** Returns true while requests are accepted. */
    public boolean accepts() {
        return compareTo(LISTENERS_CLOSED) <= 0;
    }
}
