package org.bulrushvale.decision.routing;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the server with the lower cost of two random eligible ones, or one that has the prompt
 * prefix cached if its cost is lower still. The cost is the load, adjusted for the failure domain
 * and the cached prefix.
 *
 * <p>Invariant: one seed gives one sequence of choices. Thread safety: single-writer, used by the
 * event loop only.
 */
public final class PowerOfTwoPolicy implements RoutingPolicy {
    /**
     * Random draws of one server before the pool is scanned; enough when most servers are eligible.
     */
    private static final int MAX_DRAWS = 8;

    /**
     * Maximum number of servers with a cached prefix that are compared, so that a popular prefix
     * does not cost a scan.
     */
    private static final int MAX_COMPARED_HOLDERS = 4;

    /** Cost of a hop to another failure domain, as load relative to the slots. */
    private static final double REMOTE_PENALTY = 0.1;

    /** Reduction of the cost by a cached prefix, as load relative to the slots. */
    private static final double PREFIX_BONUS = 0.3;

    private final Random mRandom;

    private PowerOfTwoPolicy(long seed) {
        mRandom = new Random(seed);
    }

    /**
     * Creates a policy; entries use different seeds, so that they do not choose the same servers.
     */
    public static PowerOfTwoPolicy seeded(long seed) {
        return new PowerOfTwoPolicy(seed);
    }

    @Override
    public Optional<BackendState> choose(
            RoutingRequest request, BackendTable table, ConcurrencyLimit limit, long nowNanos) {
        List<BackendState> pool = table.pool(request.pool());
        BackendState first = drawOne(pool, null, request, limit, nowNanos);
        BackendState second = first == null ? null : drawOne(pool, first, request, limit, nowNanos);
        BackendState best =
                second == null
                        ? drawTwoByScan(pool, request, limit, nowNanos)
                        : cheaper(first, second, request);
        return Optional.ofNullable(compareWithHolders(best, table, request, limit, nowNanos));
    }

    private @Nullable BackendState drawOne(
            List<BackendState> pool,
            @Nullable BackendState other,
            RoutingRequest request,
            ConcurrencyLimit limit,
            long nowNanos) {
        for (int i = 0; i < MAX_DRAWS && !pool.isEmpty(); i++) {
            BackendState backend = pool.get(mRandom.nextInt(pool.size()));
            if (backend != other && backend.isEligible(request, limit, nowNanos)) {
                return backend;
            }
        }
        return null;
    }

    /**
     * Draws two eligible servers uniformly in one pass over the pool and returns the cheaper one.
     */
    private @Nullable BackendState drawTwoByScan(
            List<BackendState> pool,
            RoutingRequest request,
            ConcurrencyLimit limit,
            long nowNanos) {
        BackendState first = null;
        BackendState second = null;
        int eligible = 0;
        for (BackendState backend : pool) {
            if (!backend.isEligible(request, limit, nowNanos)) {
                continue;
            }
            eligible++;
            int slot = eligible <= 2 ? eligible - 1 : mRandom.nextInt(eligible);
            if (slot == 0) {
                first = backend;
            } else if (slot == 1) {
                second = backend;
            }
        }
        return cheaper(first, second, request);
    }

    private static @Nullable BackendState compareWithHolders(
            @Nullable BackendState chosen,
            BackendTable table,
            RoutingRequest request,
            ConcurrencyLimit limit,
            long nowNanos) {
        BackendState best = chosen;
        if (best == null || request.prefix().isEmpty()) {
            return best;
        }
        int compared = 0;
        for (BackendState holder : table.holders(request.prefix())) {
            if (holder.isEligible(request, limit, nowNanos)
                    && table.isInPool(holder, request.pool())) {
                best = cheaper(best, holder, request);
                if (++compared == MAX_COMPARED_HOLDERS) {
                    break;
                }
            }
        }
        return best;
    }

    private static @Nullable BackendState cheaper(
            @Nullable BackendState first, @Nullable BackendState second, RoutingRequest request) {
        if (first == null || second == null) {
            return first == null ? second : first;
        }
        return cost(second, request) < cost(first, request) ? second : first;
    }

    private static double cost(BackendState backend, RoutingRequest request) {
        boolean remote = !backend.server().failureDomain().equals(request.failureDomain());
        boolean cached =
                !request.prefix().isEmpty() && backend.mCachedPrefixes.contains(request.prefix());
        return backend.load() + (remote ? REMOTE_PENALTY : 0) - (cached ? PREFIX_BONUS : 0);
    }
}
