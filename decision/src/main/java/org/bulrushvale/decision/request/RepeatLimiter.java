package org.bulrushvale.decision.request;

import org.bulrushvale.decision.config.Stage;

/**
 * Limits retries and hedges, usually by a retry budget.
 *
 * <p>Invariant: a permit counts as used as soon as it is granted. Thread safety: owned by the event
 * loop.
 */
@FunctionalInterface
public interface RepeatLimiter {
    /** Takes a permit to send the stage once more; returns false when there is none. */
    boolean tryAcquire(Stage stage);
}
