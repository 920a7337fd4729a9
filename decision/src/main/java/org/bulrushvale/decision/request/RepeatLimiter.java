package org.bulrushvale.decision.request;

import org.bulrushvale.decision.config.Stage;

/**
 * Grants retries and hedges, usually from a retry budget.
 *
 * <p>Invariant: a grant is spent when it is given. Thread safety: owned by the event loop.
 */
@FunctionalInterface
public interface RepeatLimiter {
    /** Returns true, and spends the grant, when the stage may be sent once more. */
    boolean tryAcquire(Stage stage);
}
