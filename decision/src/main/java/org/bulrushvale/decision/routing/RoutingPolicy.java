package org.bulrushvale.decision.routing;

import java.util.Optional;

/**
 * Chooses a server for a stage.
 *
 * <p>Invariant: returns a server exactly when one is eligible: in service, not excluded and below
 * its limit. Thread safety: called by the event loop only.
 */
public interface RoutingPolicy {
    /** Returns the chosen server, empty when none is eligible. */
    Optional<BackendState> choose(
            RoutingRequest request, BackendTable table, ConcurrencyLimit limit, long nowNanos);
}
