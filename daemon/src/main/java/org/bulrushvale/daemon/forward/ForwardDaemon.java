package org.bulrushvale.daemon.forward;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.ServiceLoader;
import org.bulrushvale.adapters.forward.ForwardProtocol;
import org.bulrushvale.adapters.forward.ForwardServer;
import org.bulrushvale.adapters.forward.PublishedStateWatcher;
import org.bulrushvale.adapters.forward.UndertowUpstreamClient;
import org.bulrushvale.adapters.metrics.EntryMetrics;
import org.bulrushvale.adapters.settings.ForwardSettings;
import org.bulrushvale.adapters.settings.ForwardSettings.PlacementPolicy;
import org.bulrushvale.daemon.forward.ForwardServices.ForwardTelemetry;
import org.bulrushvale.decision.admission.ReturnSchedule;
import org.bulrushvale.decision.drain.GracePeriod;
import org.bulrushvale.decision.forward.AffinityChoice;
import org.bulrushvale.decision.forward.ColdServerRateLimit;
import org.bulrushvale.decision.forward.ExpectedCompletion;
import org.bulrushvale.decision.forward.MemberTable;
import org.bulrushvale.decision.forward.RepeatBudget;
import org.bulrushvale.decision.forward.SendLimits;
import org.bulrushvale.decision.forward.ServerChoice;
import org.bulrushvale.decision.forward.ServerSpeed;
import org.bulrushvale.decision.forward.ServiceAdmission;
import org.bulrushvale.decision.forward.StatedRateLimits;
import org.bulrushvale.decision.retry.CrashSuspects;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.time.Clock;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * A forwarding entry: owns its event loop, sockets, published state and requests.
 *
 * <p>Invariant: several daemons in one process share no state. Thread safety: {@link #drain} may be
 * called from any thread; {@link #close} is called once.
 */
public final class ForwardDaemon implements AutoCloseable {
    /** Index of the caller listener in the result of {@link #listenerAddresses}. */
    static final int CALLER_LISTENER_INDEX = 2;

    private static final int EVENT_LOOP_CAPACITY = 8_192;

    // How often the queues are checked for calls that waited for the memory of a server or for a
    // server that was busy.
    private static final Duration DISPATCH_PERIOD = Duration.ofMillis(50);

    // Each check wakes two threads, so an entry without waiting pieces makes no more than these.
    private static final Duration CHECK_PERIOD = DISPATCH_PERIOD.multipliedBy(2);

    // A loop that runs no task for this long delays every request of the entry. Every stop of
    // this length shows between two checks.
    private static final Duration LOOP_STOP_LIMIT = Duration.ofMillis(300);

    private final ForwardSettings mSettings;
    private final Clock mClock = Clock.system();
    private final EventLoop mLoop = EventLoop.start("forward", EVENT_LOOP_CAPACITY);
    private final DecisionLog mLog;
    private final XnioWorker mWorker;
    private final ForwardProtocol mProtocol;
    private final UndertowUpstreamClient mUpstreamClient;
    private final PublishedState mPublishedState;
    private final PublishedStateWatcher mPublishedStateWatcher;
    private final ServerReports mServerReports;
    private final ForwardCore mCore;
    private final LocalStageExecutor mLocalExecutor;
    private final FleetStageExecutor mFleet;
    private final ForwardServer mServer;
    private final ForwardStop mStop;
    private final StreamOriginExchange mStreamOrigins;
    private final Optional<LoadShedding> mLoadShedding;
    private long mLastCheckNanos;

    private ForwardDaemon(ForwardSettings settings) throws BulrushvaleException {
        mSettings = settings;
        mLog =
                new DecisionLog(
                        mClock, System.out, settings.entry().vm(), settings.log().linesPerSecond());
        mWorker = createIoWorker();
        EntryMetrics metrics = new EntryMetrics();
        mProtocol = loadOnlyProvider(ForwardProtocol.class);
        mPublishedStateWatcher = loadOnlyProvider(PublishedStateWatcher.class);
        mUpstreamClient = UndertowUpstreamClient.on(mWorker, settings.limits().connectTimeout());
        mPublishedState =
                new PublishedState(
                        mLoop,
                        mClock,
                        settings.fleet().vanishedServerRetention(),
                        settings.fleet().freshness(),
                        mLog,
                        this::onPublished);
        MemberTable members = FleetStageExecutor.createMemberTable(settings, mClock);
        ForwardServices services = newServices(members, new ForwardTelemetry(mLog, metrics));
        mServerReports = services.serverReports();
        mLocalExecutor = new LocalStageExecutor(services);
        mFleet = FleetStageExecutor.start(settings, mLoop, mClock, mLog, members, mLocalExecutor);
        mFleet.exchangeNotices(services.crashGuard().notices(), services.statedLimits().notices());
        exchangeServerFacts(services.serverSpeed());
        mStreamOrigins = services.streamOrigins();
        ForwardSettings.Drain drain = settings.drain();
        GracePeriod grace = new GracePeriod(mClock, drain.unreadyDelay(), drain.grace());
        mCore = new ForwardCore(services, mFleet, grace);
        mServer = ForwardServer.start(settings, mWorker, mCore, metrics::scrape, mClock);
        mStop = new ForwardStop(mLoop, mClock, grace, mLog, mCore, mFleet, mServer);
        mLoadShedding =
                settings.features().vm().shedLoad()
                        ? Optional.of(new LoadShedding(services, mFleet, mServer))
                        : Optional.empty();
        mLoadShedding.ifPresent(shedding -> mCore.onLoad(shedding::isNotReady));
        mLastCheckNanos = mClock.monotonicNanos();
        mLoop.scheduleWithFixedDelay(CHECK_PERIOD, this::checkLoop);
        startRelay(members);
    }

    private ForwardServices newServices(MemberTable members, ForwardTelemetry telemetry) {
        ColdServerRateLimit coldLimit = new ColdServerRateLimit(mClock, members);
        CrashGuard crashGuard = newCrashGuard(telemetry);
        StatedLimits statedLimits =
                new StatedLimits(new StatedRateLimits(mClock, members), telemetry);
        ServerSpeed speed = new ServerSpeed(mClock);
        RepeatBudget repeatBudget = newRepeatBudget(members);
        return new ForwardServices(
                mLoop,
                mClock,
                mUpstreamClient,
                mProtocol,
                mPublishedState,
                newServerChoice(
                        new SendLimits(mClock, coldLimit, statedLimits.limits()), speed, members),
                speed,
                new LoadProbes(mLoop, mClock, mUpstreamClient, mProtocol, telemetry.metrics()),
                coldLimit,
                new ServiceAdmission(mClock, coldLimit),
                new ReturnSchedule(mClock),
                repeatBudget,
                new Duplicates(mClock, mSettings.features().duplicates(), repeatBudget, telemetry),
                crashGuard,
                new StreamOriginExchange(mLoop, mClock, members, mPublishedState.directory()),
                statedLimits,
                new ServerReports(mClock, mPublishedState.directory(), telemetry),
                members,
                mSettings.features(),
                telemetry);
    }

    private void checkLoop() {
        Duration elapsed = mClock.elapsedSince(mLastCheckNanos);
        if (elapsed.compareTo(LOOP_STOP_LIMIT) > 0) {
            mLog.line("loop_delayed")
                    .with("delay_ms", elapsed.minus(CHECK_PERIOD).toMillis())
                    .with("waiting_pieces", mLocalExecutor.waitingPieces())
                    .with("running", mCore.requestsInProgress())
                    .write();
        }
        mLoadShedding.ifPresent(shedding -> shedding.recordPeriod(elapsed.minus(CHECK_PERIOD)));
        mLastCheckNanos = mClock.monotonicNanos();
        mLocalExecutor.dispatch();
        if (mLocalExecutor.waitingPieces() > 0) {
            mLoop.schedule(DISPATCH_PERIOD, mLocalExecutor::dispatch);
        }
        mServerReports.updateMetrics();
    }

    private void startRelay(MemberTable members) {
        PublishedStateRelay relay =
                new PublishedStateRelay(
                        mSettings,
                        mLoop,
                        mClock,
                        mLog,
                        members,
                        mFleet,
                        mPublishedStateWatcher,
                        mPublishedState);
        mFleet.onPublishedFetch(relay::answer);
        mFleet.exchangeOrigins(mStreamOrigins, relay::isFresh);
        relay.start(mSettings, mUpstreamClient);
    }

    private void exchangeServerFacts(ServerSpeed speed) {
        mFleet.exchangeLeavingNotices(mServerReports.leavingNotices());
        if (mSettings.features().placement().policy() == PlacementPolicy.EXPECTED_COMPLETION) {
            mFleet.shareSpeeds(speed);
        }
    }

    private RepeatBudget newRepeatBudget(MemberTable members) {
        ForwardSettings.Limits limits = mSettings.limits();
        return new RepeatBudget(
                mClock,
                limits.repeatRatio(),
                limits.repeatSlack(),
                limits.repeatWindow(),
                members::entryCount);
    }

    private ServerChoice newServerChoice(
            SendLimits limits, ServerSpeed speed, MemberTable members) {
        return switch (mSettings.features().placement().policy()) {
            case AFFINITY -> new AffinityChoice(mClock, limits);
            case EXPECTED_COMPLETION ->
                    new SwitchedChoice(
                            this::isExpectedCompletionActive,
                            new ExpectedCompletion(mClock, limits, speed, members::entryCount),
                            new AffinityChoice(mClock, limits));
        };
    }

    private boolean isExpectedCompletionActive() {
        int servers = mPublishedState.directory().largestCount();
        return mSettings.features().forServers(servers).placement().policy()
                == PlacementPolicy.EXPECTED_COMPLETION;
    }

    private CrashGuard newCrashGuard(ForwardTelemetry telemetry) {
        ServerLivenessCheck livenessCheck =
                new ServerLivenessCheck(mLoop, mUpstreamClient, telemetry);
        return new CrashGuard(new CrashSuspects(mClock), livenessCheck, telemetry);
    }

    /** Starts a daemon, which reports ready once it has read the published state. */
    public static ForwardDaemon start(ForwardSettings settings) throws BulrushvaleException {
        ForwardDaemon daemon = new ForwardDaemon(settings);
        daemon.mLog
                .line("start")
                .with("failure_domain", settings.entry().failureDomain())
                .with("callers", settings.listeners().callers().toString())
                .with("features", settings.features().toString())
                .writeAlways();
        return daemon;
    }

    private void onPublished() {
        mCore.onPublishedStateChange();
        mLocalExecutor.dispatch();
    }

    static <T> T loadOnlyProvider(Class<T> type) throws BulrushvaleException {
        List<ServiceLoader.Provider<T>> providers = ServiceLoader.load(type).stream().toList();
        if (providers.size() != 1) {
            throw new BulrushvaleException(
                    ErrorCode.INTERNAL,
                    Verdict.NOT_RUN,
                    "expected one implementation of "
                            + type.getSimpleName()
                            + " on the class path, found "
                            + providers.size());
        }
        return providers.get(0).get();
    }

    private static XnioWorker createIoWorker() throws BulrushvaleException {
        OptionMap threads =
                OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .set(Options.WORKER_NAME, "forward")
                        .getMap();
        try {
            return Xnio.getInstance(ForwardDaemon.class.getClassLoader()).createWorker(threads);
        } catch (IOException e) {
            throw new BulrushvaleException(
                    ErrorCode.INTERNAL,
                    Verdict.NOT_RUN,
                    "cannot start the I/O thread: " + e.getMessage());
        }
    }

    /** Returns the addresses of the listeners: readiness, metrics, callers. */
    public List<InetSocketAddress> listenerAddresses() {
        return mServer.addresses();
    }

    ForwardProtocol protocol() {
        return mProtocol;
    }

    UndertowUpstreamClient upstreamClient() {
        return mUpstreamClient;
    }

    /**
     * Starts a graceful shutdown: reports not ready, lets the requests in progress end, closes the
     * connections of callers, then completes {@link #awaitDrained}.
     */
    public void drain() {
        drain(mClock.monotonicNanos());
    }

    /**
     * Starts a graceful shutdown.
     *
     * @param requestedNanos monotonic time of the request to stop, from which the grace time counts
     */
    void drain(long requestedNanos) {
        mStop.begin(requestedNanos);
    }

    /** Waits for the end of a graceful shutdown; returns false when the limit elapsed first. */
    public boolean awaitDrained(Duration limit) throws InterruptedException {
        return mStop.await(limit);
    }

    /** Waits until a graceful shutdown has ended, at most for the grace time. */
    void awaitDrainedWithinGrace() throws InterruptedException {
        boolean drained = awaitDrained(mSettings.drain().grace());
        mLog.line("stopped").with("drained", String.valueOf(drained)).writeAlways();
    }

    /** Applies changed settings; of a running process only the seeds can change. */
    void reload(ForwardSettings.Result result) {
        String outcome = result.settings().isPresent() ? "ok" : result.faults().toString();
        result.settings().ifPresent(mFleet::updateSeeds);
        mLog.line("reload").with("outcome", outcome).writeAlways();
    }

    /** Logs that the settings could not be read; the present settings stay in force. */
    void reloadFailed(String detail) {
        mLog.line("reload").with("outcome", detail).writeAlways();
    }

    @Override
    public void close() {
        mStop.close();
        mServer.close();
        mPublishedStateWatcher.close();
        mFleet.close();
        mLoop.close();
        mWorker.shutdownNow();
        mLog.close();
    }
}
