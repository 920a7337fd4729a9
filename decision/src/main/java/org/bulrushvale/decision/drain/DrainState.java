package org.bulrushvale.decision.drain;

/**
 * States of a graceful shutdown.
 *
 * <p>Invariant: a {@link DrainSequence} enters the states in this order and skips none. Thread
 * safety: immutable.
 */
public enum DrainState {
    /** Normal operation. */
    SERVING,
    /** {@code /readyz} answers 503, so that the load balancer sends callers to other entries. */
    UNREADY,
    /** New connections are refused; requests on open connections are still accepted. */
    LISTENERS_CLOSED,
    /** New requests are refused; accepted ones run to their end. */
    FINISHING,
    /** Key spaces are handed over to a successor. */
    HANDING_OVER,
    /** Requests that were read are answered; connections close as they become idle. */
    CLOSING_CONNECTIONS,
    /** The process may exit. */
    STOPPED;

    /** Returns true while requests are accepted. */
    public boolean accepts() {
        return compareTo(LISTENERS_CLOSED) <= 0;
    }
}
