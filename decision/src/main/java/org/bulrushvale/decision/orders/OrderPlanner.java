package org.bulrushvale.decision.orders;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.bulrushvale.decision.config.BackendServer;
import org.bulrushvale.decision.config.PublishedConfig;
import org.bulrushvale.kernel.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Decides which orders this entry sends to the engines of backend servers.
 *
 * <p>Every entry derives the same desired state from the published configuration; the owner of a
 * server sends it and repeats it until the load report shows that state. When two entries both act
 * as the owner, they either send the same state or engines can distinguish their orders by the
 * fencing token.
 *
 * <p>Invariants: no order is computed from a revision below the highest known one, or from a
 * configuration that was last confirmed more than {@link #MAX_VIEW_AGE} ago; only the owner sends.
 * The loads of weights that an order causes count against this entry's share of the weight store
 * once per target state, not for each repetition.
 *
 * <p>Thread safety: not safe; owned by the event loop.
 */
public final class OrderPlanner {
    /**
     * Maximum time since the last confirmation of the configuration that orders are computed from.
     * This is the design limit for the age of configuration.
     */
    public static final Duration MAX_VIEW_AGE = Duration.ofSeconds(4);

    /**
     * Time between repetitions of an order. Load reports are up to one second old, so an order
     * repeated sooner could be one that the engine has already carried out.
     */
    public static final Duration REPEAT_INTERVAL = Duration.ofSeconds(2);

    private static final EngineState EMPTY = new EngineState("", Set.of(), Set.of());

    private final Clock mClock;
    private final DesiredStateRule mDesiredStateRule;
    private final Predicate<BackendServer> mIsOwner;
    private final WeightLoadRateLimiter mWeightLoads;
    private final Map<String, ServerState> mServers = new HashMap<>();
    private @Nullable PublishedConfig mConfig;
    private long mHighestRevision = Long.MIN_VALUE;

    /**
     * Creates a planner without configuration; it has no orders to send.
     *
     * @param clock source of time
     * @param desired rule that derives the desired state
     * @param owner returns true when this entry owns the server by the published VM list
     * @param weights rate limiter for this entry's share of the weight store
     */
    public OrderPlanner(
            Clock clock,
            DesiredStateRule desired,
            Predicate<BackendServer> owner,
            WeightLoadRateLimiter weights) {
        mClock = clock;
        mDesiredStateRule = desired;
        mIsOwner = owner;
        mWeightLoads = weights;
    }

    /** Sets an accepted revision of the configuration; ignores one below the current revision. */
    public void onConfig(PublishedConfig config) {
        if (mConfig != null && config.revision() < mConfig.revision()) {
            return;
        }
        mConfig = config;
        onRevisionSeen(config.revision());
        mServers.keySet().removeIf(name -> config.backend(name).isEmpty());
    }

    /** Records that a revision exists, even when its values have not arrived yet. */
    public void onRevisionSeen(long revision) {
        mHighestRevision = Math.max(mHighestRevision, revision);
    }

    /** Records the state of an engine, as given in the load report of its server. */
    public void onReport(String server, EngineState actual) {
        if (mConfig != null && mConfig.backend(server).isPresent()) {
            mServers.computeIfAbsent(server, name -> new ServerState()).mActualState = actual;
        }
    }

    /**
     * Returns the orders to send now.
     *
     * @param viewAge time since a source last confirmed the configuration
     */
    public List<EngineOrder> dueOrders(Duration viewAge) {
        PublishedConfig config = mConfig;
        if (config == null
                || config.revision() < mHighestRevision
                || viewAge.compareTo(MAX_VIEW_AGE) > 0) {
            return List.of();
        }
        List<EngineOrder> orders = new ArrayList<>();
        for (BackendServer backend : config.backends()) {
            Optional<EngineState> desired = mDesiredStateRule.of(backend, config);
            if (desired.isPresent() && mIsOwner.test(backend)) {
                ServerState server =
                        mServers.computeIfAbsent(backend.name(), name -> new ServerState());
                if (isDue(server, desired.get())) {
                    server.mSentState = desired.get();
                    server.mSentNanos = mClock.monotonicNanos();
                    orders.add(new EngineOrder(backend.name(), desired.get(), config.revision()));
                }
            } else {
                clearSentState(backend.name());
            }
        }
        return orders;
    }

    private boolean isDue(ServerState server, EngineState desired) {
        if (desired.equals(server.mActualState)) {
            server.mSentState = null;
            return false;
        }
        if (desired.equals(server.mSentState)) {
            return mClock.elapsedSince(server.mSentNanos).compareTo(REPEAT_INTERVAL) >= 0;
        }
        EngineState actual = server.mActualState == null ? EMPTY : server.mActualState;
        return mWeightLoads.tryAcquire(desired.countMissingFrom(actual));
    }

    private void clearSentState(String name) {
        ServerState server = mServers.get(name);
        if (server != null) {
            server.mSentState = null;
        }
    }

    /** Reported state of one engine, and the order last sent to it. */
    private static final class ServerState {
        private @Nullable EngineState mActualState;
        private @Nullable EngineState mSentState;
        private long mSentNanos;
    }
}
