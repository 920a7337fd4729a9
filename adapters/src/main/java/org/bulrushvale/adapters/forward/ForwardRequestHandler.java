package org.bulrushvale.adapters.forward;

/**
 * Operations of the daemon that the HTTP listeners call.
 *
 * <p>Thread safety: implementations may be called from any thread and return at once.
 */
public interface ForwardRequestHandler {
    /** Accepts a request; the daemon answers it exactly once. */
    void handle(CallerExchange exchange);

    /** Returns why the daemon is not ready, or an empty text when it is ready. */
    String notReadyReason();
}
