package org.bulrushvale.decision.routing;

import java.util.Optional;

/**
 * Chooses a backend server for a stage.
 *
 * <p>Invariant: a server is returned exactly when one is eligible, that is, in service, not
 * excluded and below its limit of concurrent requests. Thread safety: called by the event loop
 * only.
 */
public interface RoutingPolicy {
    /** Returns the chosen server, empty when none is eligible. */
    Optional<BackendState> choose(
            RoutingRequest request, BackendTable table, ConcurrencyLimit limit, long nowNanos);
}
