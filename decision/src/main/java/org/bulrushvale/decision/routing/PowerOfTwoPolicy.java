package org.bulrushvale.decision.routing;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.jspecify.annotations.Nullable;

/**
 * Takes the better of two random eligible servers, or a server that has the prefix cached when it
 * is not much more loaded.
 *
 * <p>Invariant: one seed gives one sequence of choices. Thread safety: single-writer, used by the
 * event loop only.
 */
public final class PowerOfTwoPolicy implements RoutingPolicy {
    /** Random probes before the pool is scanned; enough when most servers are eligible. */
    private static final int PROBES = 8;

    /** Holders of a prefix that are compared, so that a popular prefix does not cost a scan. */
    private static final int MAX_HOLDERS = 4;

    /** Difference in load that outweighs a hop to another failure domain. */
    private static final double REMOTE_PENALTY = 0.1;

    /** Difference in load that outweighs a cached prefix. */
    private static final double PREFIX_BONUS = 0.3;

    private final Random mRandom;

    private PowerOfTwoPolicy(long seed) {
        mRandom = new Random(seed);
    }

    /** Returns a policy; entries use different seeds, so that they do not choose alike. */
    public static PowerOfTwoPolicy seeded(long seed) {
        return new PowerOfTwoPolicy(seed);
    }

    @Override
    public Optional<BackendState> choose(
            RoutingRequest request, BackendTable table, ConcurrencyLimit limit, long nowNanos) {
        List<BackendState> pool = table.pool(request.pool());
        BackendState first = probe(pool, null, request, limit, nowNanos);
        BackendState second = first == null ? null : probe(pool, first, request, limit, nowNanos);
        BackendState best =
                second == null
                        ? scan(pool, request, limit, nowNanos)
                        : better(first, second, request);
        return Optional.ofNullable(withHolders(best, table, request, limit, nowNanos));
    }

    private @Nullable BackendState probe(
            List<BackendState> pool,
            @Nullable BackendState other,
            RoutingRequest request,
            ConcurrencyLimit limit,
            long nowNanos) {
        for (int i = 0; i < PROBES && !pool.isEmpty(); i++) {
            BackendState backend = pool.get(mRandom.nextInt(pool.size()));
            if (backend != other && backend.isEligible(request, limit, nowNanos)) {
                return backend;
            }
        }
        return null;
    }

    /** Draws two eligible servers uniformly in one pass and returns the better one. */
    private @Nullable BackendState scan(
            List<BackendState> pool,
            RoutingRequest request,
            ConcurrencyLimit limit,
            long nowNanos) {
        BackendState first = null;
        BackendState second = null;
        int seen = 0;
        for (BackendState backend : pool) {
            if (!backend.isEligible(request, limit, nowNanos)) {
                continue;
            }
            seen++;
            int slot = seen <= 2 ? seen - 1 : mRandom.nextInt(seen);
            if (slot == 0) {
                first = backend;
            } else if (slot == 1) {
                second = backend;
            }
        }
        return better(first, second, request);
    }

    private static @Nullable BackendState withHolders(
            @Nullable BackendState drawn,
            BackendTable table,
            RoutingRequest request,
            ConcurrencyLimit limit,
            long nowNanos) {
        BackendState best = drawn;
        if (best == null || request.prefix().isEmpty()) {
            return best;
        }
        int compared = 0;
        for (BackendState holder : table.holders(request.prefix())) {
            if (holder.isEligible(request, limit, nowNanos)
                    && table.isInPool(holder, request.pool())) {
                best = better(best, holder, request);
                if (++compared == MAX_HOLDERS) {
                    break;
                }
            }
        }
        return best;
    }

    private static @Nullable BackendState better(
            @Nullable BackendState first, @Nullable BackendState second, RoutingRequest request) {
        if (first == null || second == null) {
            return first == null ? second : first;
        }
        return cost(second, request) < cost(first, request) ? second : first;
    }

    private static double cost(BackendState backend, RoutingRequest request) {
        boolean remote = !backend.server().failureDomain().equals(request.failureDomain());
        boolean cached =
                !request.prefix().isEmpty() && backend.mPrefixes.contains(request.prefix());
        return backend.load() + (remote ? REMOTE_PENALTY : 0) - (cached ? PREFIX_BONUS : 0);
    }
}
