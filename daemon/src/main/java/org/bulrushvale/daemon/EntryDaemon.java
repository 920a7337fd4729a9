package org.bulrushvale.daemon;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.ServiceLoader;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.bulrushvale.adapters.EntryContext;
import org.bulrushvale.adapters.backend.BackendAddress;
import org.bulrushvale.adapters.backend.BackendClient;
import org.bulrushvale.adapters.caller.CallerRequestHandler;
import org.bulrushvale.adapters.metrics.EntryMetrics;
import org.bulrushvale.adapters.operator.OperatorRequestHandler;
import org.bulrushvale.adapters.settings.EntrySettings;
import org.bulrushvale.daemon.fleet.FleetNode;
import org.bulrushvale.daemon.fleet.WarmthExchange;
import org.bulrushvale.decision.attainment.AttainmentTracker;
import org.bulrushvale.decision.config.BackendServer;
import org.bulrushvale.decision.config.ConfigStore;
import org.bulrushvale.decision.config.PublishedConfig;
import org.bulrushvale.decision.drain.DrainState;
import org.bulrushvale.decision.membership.ConfirmedValue;
import org.bulrushvale.decision.membership.VmList;
import org.bulrushvale.decision.request.DeadlineBudget;
import org.bulrushvale.decision.request.DropCounts;
import org.bulrushvale.decision.request.StageLatency;
import org.bulrushvale.decision.retry.HedgePolicy;
import org.bulrushvale.decision.retry.PoisonTable;
import org.bulrushvale.decision.retry.RetryBudget;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.plugin.Plugin;
import org.bulrushvale.kernel.plugin.PluginRegistry;
import org.bulrushvale.kernel.time.Clock;
import org.bulrushvale.kernel.verdict.BulrushvaleException;

/**
 * One entry daemon: event loop, backend client and plug-ins.
 *
 * <pre>{@code
 * try (EntryDaemon daemon = EntryDaemon.start(settings)) {
 *     daemon.awaitDrained();
 * }
 * }</pre>
 *
 * <p>Invariant: several daemons in one process share no state. Thread safety: {@link #drain} may be
 * called from any thread; {@link #close} is called once.
 */
public final class EntryDaemon implements EntryContext, AutoCloseable {
    private static final int RING_SLOTS = 4_096;
    private static final Duration LATENCY_WINDOW = Duration.ofMinutes(1);
    private static final Duration WAITING_TICK = Duration.ofMillis(20);

    /** Half of the 2 s within which a process becomes ready; silent servers do not delay it. */
    private static final Duration FIRST_REPORTS_LIMIT = Duration.ofSeconds(1);

    private final EntrySettings mSettings;
    private final EntryMetrics mMetrics = new EntryMetrics();
    private final Map<String, Integer> mPorts = new ConcurrentHashMap<>();
    private final EventLoop mLoop;
    private final BackendClient mClient;
    private final EntryCore mCore;
    private final DrainDriver mDrain;
    private final PluginRegistry<EntryContext> mPlugins;
    private final FleetNode mFleet;
    private final BackendRouting mRouting;
    private final PoisonGuard mPoison;
    private final ConfigStore mConfig;
    private final LoadPoller mLoads;
    private final WaitingAttempts mWaiting;
    private long mVmListVersion = -1;
    private boolean mConfigSeen;
    private boolean mReportsKnown;

    private EntryDaemon(EntrySettings settings) throws BulrushvaleException {
        mSettings = settings;
        mLoop = EventLoop.start("core", RING_SLOTS);
        Clock clock = Clock.system();
        SplittableRandom random = new SplittableRandom();
        PoisonTable poison = new PoisonTable(clock);
        mRouting = new BackendRouting(settings, poison, clock, random.nextLong());
        mPoison = new PoisonGuard(poison, mRouting);
        mClient = BackendClient.start(settings.backend(), this::onConnectionLost);
        mConfig = ConfigStore.empty(clock);
        KeyedRequests keys =
                new KeyedRequests(new SecureRandom().nextLong(), settings.peer().secret(), clock);
        mFleet = FleetNode.create(settings, mLoop, clock, mConfig, keys.spaces(), poison);
        mFleet.warmth(WarmthExchange.of(mRouting.warmth(), clock));
        mPoison.spread(mFleet.poison()::push);
        mPoison.probe(this::isSameProcess);
        ServerPicker picker = new GatedPicker(mRouting, mFleet::mayRoute);
        AttainmentTracker attainment = new AttainmentTracker(settings.entry().vm(), clock);
        StageLatency latency = new StageLatency(clock, LATENCY_WINDOW);
        RetryBudget budget = new RetryBudget();
        CoreServices services =
                new CoreServices(
                        settings,
                        mLoop,
                        clock,
                        mClient,
                        mMetrics,
                        picker,
                        mPoison,
                        waiting(settings, clock, mConfig, attainment, picker),
                        budget,
                        latency,
                        new DeadlineBudget(latency),
                        new HedgePolicy(latency, budget),
                        attainment,
                        new DropCounts(),
                        random.split());
        mWaiting = services.waiting();
        mLoads =
                new LoadPoller(
                        mLoop,
                        clock,
                        mClient,
                        mRouting,
                        settings.backend().loadInterval(),
                        random.split(),
                        this::onReport);
        mDrain = new DrainDriver(settings.drain(), clock, mLoop, this::onDrainState);
        mCore =
                new EntryCore(
                        services,
                        mConfig,
                        keys,
                        mDrain.sequence(),
                        mFleet,
                        this::onConfig,
                        this::drain);
        mPlugins = PluginRegistry.of(loadPlugins());
        listenerBound("peer", mFleet.port());
    }

    private void onReport(String pool) {
        mWaiting.serve(pool);
        noteFirstReports();
    }

    /** Requests that arrive before the first reports would only fill the queue. */
    private void noteFirstReports() {
        if (!mReportsKnown && mVmListVersion >= 0 && mLoads.isSettled()) {
            mReportsKnown = true;
            mCore.backendsKnown();
        }
    }

    private void onConnectionLost(String server) {
        mLoads.connectionLost(server);
    }

    private void onConfig(PublishedConfig config) {
        mRouting.config(config);
        mLoads.config(config);
        if (!mConfigSeen) {
            mConfigSeen = true;
            mLoop.schedule(FIRST_REPORTS_LIMIT, mCore::backendsKnown);
        }
        noteFirstReports();
    }

    private void onVmList(ConfirmedValue<VmList> view) {
        long known = mVmListVersion;
        mVmListVersion = view.value().version();
        mRouting.vmList(view);
        if (mVmListVersion != known) {
            mLoads.pollAll();
            noteFirstReports();
        }
    }

    /** Starts a daemon; it is ready once a configuration was read. */
    public static EntryDaemon start(EntrySettings settings) throws BulrushvaleException {
        EntryDaemon daemon = new EntryDaemon(settings);
        try {
            daemon.mPlugins.start(daemon);
            daemon.mFleet.start(daemon.mCore, daemon::onVmList);
        } catch (BulrushvaleException | RuntimeException e) {
            daemon.close();
            throw e;
        }
        return daemon;
    }

    private void isSameProcess(String server, String epoch, Consumer<Boolean> onResult) {
        Optional<BackendServer> known = mConfig.config().flatMap(c -> c.backend(server));
        if (known.isEmpty()) {
            onResult.accept(false);
            return;
        }
        BackendServer backend = known.get();
        mClient.readLoad(
                new BackendAddress(backend.name(), backend.address(), backend.port()),
                report -> mLoop.execute(() -> onResult.accept(report.epoch().equals(epoch))),
                failure -> mLoop.execute(() -> onResult.accept(false)));
    }

    private WaitingAttempts waiting(
            EntrySettings settings,
            Clock clock,
            ConfigStore config,
            AttainmentTracker attainment,
            ServerPicker picker) {
        return new WaitingAttempts(
                clock,
                settings.caller().queueLength(),
                name -> isBelowTarget(config, attainment, name),
                picker,
                task -> mLoop.schedule(WAITING_TICK, task));
    }

    private static boolean isBelowTarget(
            ConfigStore store, AttainmentTracker attainment, String workClass) {
        return store.config()
                .flatMap(config -> config.workClass(workClass))
                .map(attainment::isBelowTarget)
                .orElse(false);
    }

    @SuppressWarnings("unchecked")
    private static List<Plugin<EntryContext>> loadPlugins() {
        List<Plugin<EntryContext>> plugins = new ArrayList<>();
        for (Plugin<?> plugin : ServiceLoader.load(Plugin.class)) {
            plugins.add((Plugin<EntryContext>) plugin);
        }
        return plugins;
    }

    /** Returns the TCP port of a listener. */
    public Optional<Integer> port(String listener) {
        return Optional.ofNullable(mPorts.get(listener));
    }

    /** Returns the link to the fleet, for tests that inject faults. */
    public FleetNode fleet() {
        return mFleet;
    }

    /** Returns true when the daemon accepts requests. */
    public boolean isReady() {
        return mCore.notReadyReason().isEmpty();
    }

    private void onDrainState(DrainState state) {
        switch (state) {
            case UNREADY -> {
                mCore.startDraining();
                mFleet.startDraining();
            }
            case LISTENERS_CLOSED -> mPlugins.drain();
            case HANDING_OVER -> mFleet.handOver(mDrain.sequence()::onHandedOver);
            default -> {}
        }
    }

    /** Starts a graceful shutdown. */
    public void drain() {
        mLoop.execute(mDrain::begin);
    }

    /** Waits until a graceful shutdown has ended. */
    public void awaitDrained() throws InterruptedException {
        mDrain.awaitStopped();
    }

    @Override
    public void close() {
        mFleet.close();
        mPlugins.stop();
        mLoop.close();
        mClient.close();
    }

    @Override
    public EntrySettings settings() {
        return mSettings;
    }

    @Override
    public EntryMetrics metrics() {
        return mMetrics;
    }

    @Override
    public <T> T service(Class<T> type) {
        if (type == CallerRequestHandler.class || type == OperatorRequestHandler.class) {
            return type.cast(mCore);
        }
        throw new IllegalArgumentException("no such service: " + type.getName());
    }

    @Override
    public void listenerBound(String listener, int port) {
        mPorts.put(listener, port);
    }
}
