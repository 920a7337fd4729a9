package org.bulrushvale.decision.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Baseline policy that chooses the eligible servers of a pool in turn.
 *
 * <p>Thread safety: single-writer, used by the event loop only.
 */
public final class RoundRobinPolicy implements RoutingPolicy {
    private final Map<String, Integer> mNextIndex = new HashMap<>();

    @Override
    public Optional<BackendState> choose(
            RoutingRequest request, BackendTable table, ConcurrencyLimit limit, long nowNanos) {
        List<BackendState> pool = table.pool(request.pool());
        int start = mNextIndex.getOrDefault(request.pool(), 0);
        for (int i = 0; i < pool.size(); i++) {
            int index = Math.floorMod(start + i, pool.size());
            if (pool.get(index).isEligible(request, limit, nowNanos)) {
                mNextIndex.put(request.pool(), index + 1);
                return Optional.of(pool.get(index));
            }
        }
        return Optional.empty();
    }
}
