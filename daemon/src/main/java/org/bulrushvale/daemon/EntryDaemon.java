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
import org.bulrushvale.decision.retry.CrashSuspects;
import org.bulrushvale.decision.retry.HedgePolicy;
import org.bulrushvale.decision.retry.PoisonTable;
import org.bulrushvale.decision.retry.RetryBudget;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.plugin.Plugin;
import org.bulrushvale.kernel.plugin.PluginRegistry;
import org.bulrushvale.kernel.time.Clock;
import org.bulrushvale.kernel.verdict.BulrushvaleException;

/**
 * An entry daemon: owns its event loop, backend client, fleet node and plug-ins.
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
    private static final int EVENT_LOOP_CAPACITY = 4_096;
    private static final Duration LATENCY_WINDOW = Duration.ofMinutes(1);
    private static final Duration QUEUE_CHECK_PERIOD = Duration.ofMillis(20);

    /**
     * Half of the 2 s within which a process must become ready, so silent servers do not delay it.
     */
    private static final Duration FIRST_REPORTS_TIMEOUT = Duration.ofSeconds(1);

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
    private final LoadPoller mLoadPoller;
    private final AttemptQueues mAttemptQueues;
    private long mVmListVersion = -1;
    private boolean mConfigAccepted;
    private boolean mFirstReportsRead;

    private EntryDaemon(EntrySettings settings) throws BulrushvaleException {
        mSettings = settings;
        mLoop = EventLoop.start("core", EVENT_LOOP_CAPACITY);
        Clock clock = Clock.system();
        SplittableRandom random = new SplittableRandom();
        PoisonTable poison = new PoisonTable(clock);
        mRouting = new BackendRouting(settings, poison, clock, random.nextLong());
        mPoison = new PoisonGuard(poison, new CrashSuspects(clock), mRouting);
        mClient = BackendClient.start(settings.backend(), this::onConnectionLost);
        mConfig = ConfigStore.empty(clock);
        KeyedRequests keys =
                new KeyedRequests(new SecureRandom().nextLong(), settings.peer().secret(), clock);
        mFleet = FleetNode.create(settings, mLoop, clock, mConfig, keys.spaces(), poison);
        mFleet.warmth(WarmthExchange.of(mRouting.warmupLimiter(), clock));
        mPoison.spreader(mFleet.poison()::push);
        mPoison.probe(this::isSameProcess);
        ServerPicker picker = new GatedServerPicker(mRouting, mFleet::mayRoute);
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
                        createAttemptQueues(settings, clock, mConfig, attainment, picker),
                        budget,
                        latency,
                        new DeadlineBudget(latency),
                        new HedgePolicy(latency, budget),
                        attainment,
                        new DropCounts(),
                        random.split());
        mAttemptQueues = services.attemptQueues();
        mLoadPoller =
                new LoadPoller(
                        mLoop,
                        clock,
                        mClient,
                        mRouting,
                        settings.backend().loadInterval(),
                        random.split(),
                        this::onReport);
        mDrain = new DrainDriver(settings, clock, mLoop, this::onDrainState);
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
        mAttemptQueues.serve(pool);
        checkFirstReports();
    }

    /**
     * Lets the entry become ready once the first load reports are read; requests that arrive
     * earlier would only fill the queues.
     */
    private void checkFirstReports() {
        if (!mFirstReportsRead && mVmListVersion >= 0 && mLoadPoller.hasPolledAll()) {
            mFirstReportsRead = true;
            mCore.onFirstLoadReports();
        }
    }

    private void onConnectionLost(String server) {
        mLoadPoller.connectionLost(server);
    }

    private void onConfig(PublishedConfig config) {
        mRouting.config(config);
        mLoadPoller.config(config);
        if (!mConfigAccepted) {
            mConfigAccepted = true;
            mLoop.schedule(FIRST_REPORTS_TIMEOUT, mCore::onFirstLoadReports);
        }
        checkFirstReports();
    }

    private void onVmList(ConfirmedValue<VmList> view) {
        long known = mVmListVersion;
        mVmListVersion = view.value().version();
        mRouting.vmList(view);
        if (mVmListVersion != known) {
            mLoadPoller.pollAll();
            checkFirstReports();
        }
    }

    /**
     * Starts a daemon, which is ready once it has read a configuration and the first load reports.
     */
    public static EntryDaemon start(EntrySettings settings) throws BulrushvaleException {
        EntryDaemon daemon = new EntryDaemon(settings);
        try {
            daemon.mPlugins.start(daemon);
            daemon.mFleet.start(daemon.mCore, daemon::onVmList);
            daemon.mFleet.crashNotices(daemon.mPoison.notices());
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

    private AttemptQueues createAttemptQueues(
            EntrySettings settings,
            Clock clock,
            ConfigStore config,
            AttainmentTracker attainment,
            ServerPicker picker) {
        return new AttemptQueues(
                clock,
                settings.caller().queueLength(),
                name -> isBelowTarget(config, attainment, name),
                picker,
                task -> mLoop.schedule(QUEUE_CHECK_PERIOD, task));
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

    /** Returns the fleet node, for tests that inject faults. */
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
            case CLOSING_CONNECTIONS ->
                    mPlugins.finish(() -> mLoop.execute(mDrain.sequence()::onConnectionsClosed));
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
        throw new IllegalArgumentException("no service of type " + type.getName() + " exists");
    }

    @Override
    public void listenerBound(String listener, int port) {
        mPorts.put(listener, port);
    }
}
