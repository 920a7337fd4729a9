package org.bulrushvale.decision.routing;

import java.util.Comparator;
import java.util.Optional;

/**
 * Baseline policy that chooses the eligible server with the fewest outstanding requests of this
 * entry.
 *
 * <p>Thread safety: stateless.
 */
public final class LeastOutstandingPolicy implements RoutingPolicy {
    @Override
    public Optional<BackendState> choose(
            RoutingRequest request, BackendTable table, ConcurrencyLimit limit, long nowNanos) {
        return table.pool(request.pool()).stream()
                .filter(backend -> backend.isEligible(request, limit, nowNanos))
                .min(
                        Comparator.comparingInt(BackendState::outstanding)
                                .thenComparing(backend -> backend.server().name()));
    }
}
