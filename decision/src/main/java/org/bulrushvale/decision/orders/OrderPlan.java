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
 * Decides which orders this entry sends to engines.
 *
 * <p>Every entry derives the same desired state from the published configuration; the owner of a
 * server sends it and repeats it until the load report agrees. Two entries that both believe to be
 * the owner send the same state or are told apart by the fence.
 *
 * <p>Invariants: no order is computed from a revision below the highest known one, nor from a view
 * older than {@link #MAX_VIEW_AGE}; only the owner sends. Loads of weights are paid for from this
 * entry's share of the weight store once per target, not per repetition.
 *
 * <p>Thread safety: not safe; owned by the event loop.
 */
public final class OrderPlan {
    /** Oldest view from which an order may be computed (design limit for configuration). */
    public static final Duration MAX_VIEW_AGE = Duration.ofSeconds(4);

    /** Load reports are up to a second old, so a faster repetition would only repeat itself. */
    public static final Duration REPEAT = Duration.ofSeconds(2);

    private static final EngineState EMPTY = new EngineState("", Set.of(), Set.of());

    private final Clock mClock;
    private final DesiredStates mDesired;
    private final Predicate<BackendServer> mOwner;
    private final WeightStoreShare mWeights;
    private final Map<String, Server> mServers = new HashMap<>();
    private @Nullable PublishedConfig mConfig;
    private long mHighestRevision = Long.MIN_VALUE;

    /**
     * Creates a plan without configuration; it sends nothing.
     *
     * @param clock source of time
     * @param desired derives the desired state
     * @param owner tells whether this entry owns a server, by the published VM list
     * @param weights this entry's share of the weight store
     */
    public OrderPlan(
            Clock clock,
            DesiredStates desired,
            Predicate<BackendServer> owner,
            WeightStoreShare weights) {
        mClock = clock;
        mDesired = desired;
        mOwner = owner;
        mWeights = weights;
    }

    /** Takes over an accepted revision; a lower one is ignored. */
    public void onConfig(PublishedConfig config) {
        if (mConfig != null && config.revision() < mConfig.revision()) {
            return;
        }
        mConfig = config;
        onRevisionSeen(config.revision());
        mServers.keySet().removeIf(name -> config.backend(name).isEmpty());
    }

    /** Records that a revision exists, although its values may not have arrived yet. */
    public void onRevisionSeen(long revision) {
        mHighestRevision = Math.max(mHighestRevision, revision);
    }

    /** Takes the state that a server's load report gives. */
    public void onReport(String server, EngineState actual) {
        if (mConfig != null && mConfig.backend(server).isPresent()) {
            mServers.computeIfAbsent(server, name -> new Server()).mActual = actual;
        }
    }

    /**
     * Returns the orders to send now.
     *
     * @param viewAge time since a source last confirmed the configuration
     */
    public List<Order> due(Duration viewAge) {
        PublishedConfig config = mConfig;
        if (config == null
                || config.revision() < mHighestRevision
                || viewAge.compareTo(MAX_VIEW_AGE) > 0) {
            return List.of();
        }
        List<Order> orders = new ArrayList<>();
        for (BackendServer backend : config.backends()) {
            Optional<EngineState> desired = mDesired.of(backend, config);
            if (desired.isPresent() && mOwner.test(backend)) {
                Server server = mServers.computeIfAbsent(backend.name(), name -> new Server());
                if (isDue(server, desired.get())) {
                    server.mSent = desired.get();
                    server.mSentAt = mClock.monotonicNanos();
                    orders.add(new Order(backend.name(), desired.get(), config.revision()));
                }
            } else {
                forgetSent(backend.name());
            }
        }
        return orders;
    }

    private boolean isDue(Server server, EngineState desired) {
        if (desired.equals(server.mActual)) {
            server.mSent = null;
            return false;
        }
        if (desired.equals(server.mSent)) {
            return mClock.elapsedSince(server.mSentAt).compareTo(REPEAT) >= 0;
        }
        EngineState actual = server.mActual == null ? EMPTY : server.mActual;
        return mWeights.tryTake(desired.loadsBeyond(actual));
    }

    private void forgetSent(String name) {
        Server server = mServers.get(name);
        if (server != null) {
            server.mSent = null;
        }
    }

    private static final class Server {
        private @Nullable EngineState mActual;
        private @Nullable EngineState mSent;
        private long mSentAt;
    }
}
