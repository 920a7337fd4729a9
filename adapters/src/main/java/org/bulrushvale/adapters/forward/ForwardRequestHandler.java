package org.bulrushvale.adapters.forward;

/**
 * What the listeners need of the daemon.
 *
 * <p>Thread safety: implementations may be called from any thread and return at once.
 */
public interface ForwardRequestHandler {
    /** Takes over a request; answers it exactly once. */
    void request(CallerExchange exchange);

    /** Returns why the entry takes no new connections; empty when it does. */
    String notReadyReason();
}
