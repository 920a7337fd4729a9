package org.bulrushvale.daemon.forward;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.ServiceLoader;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.adapters.forward.ForwardProtocol;
import org.bulrushvale.adapters.forward.ForwardServer;
import org.bulrushvale.adapters.forward.PublishedStateWatcher;
import org.bulrushvale.adapters.forward.UndertowUpstreamClient;
import org.bulrushvale.adapters.metrics.EntryMetrics;
import org.bulrushvale.adapters.settings.ForwardSettings;
import org.bulrushvale.daemon.forward.ForwardServices.ForwardReports;
import org.bulrushvale.decision.forward.ColdServerRateLimit;
import org.bulrushvale.decision.forward.MemberTable;
import org.bulrushvale.decision.forward.RepeatBudget;
import org.bulrushvale.decision.forward.ServerChoice;
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
 * One forwarding entry: event loop, sockets, published state and requests.
 *
 * <p>Invariant: several daemons in one process share no state. Thread safety: {@link #drain} may be
 * called from any thread; {@link #close} is called once.
 */
public final class ForwardDaemon implements AutoCloseable {
    /** Index of the caller listener in {@link #listenerAddresses}. */
    static final int CALLERS = 2;

    private static final int RING_SLOTS = 8_192;

    // Calls that wait for memory or for a server that was busy are looked at again this often.
    private static final Duration STAGE_TICK = Duration.ofMillis(50);
    private static final Duration DRAIN_TICK = Duration.ofMillis(50);

    // Requests that have not ended get their answer before the process closes down.
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(800);

    // A stream that begins in the first quarter of the grace time mostly ends within it.
    private static final int STREAM_SHARE = 4;

    // The last part of the grace time is left for closing down.
    private static final Duration DRAIN_MARGIN = Duration.ofMillis(500);

    private final ForwardSettings mSettings;
    private final Clock mClock = Clock.system();
    private final EventLoop mLoop = EventLoop.start("forward", RING_SLOTS);
    private final DecisionLog mLog;
    private final XnioWorker mWorker;
    private final ForwardProtocol mProtocol;
    private final UndertowUpstreamClient mCalls;
    private final Published mPublished;
    private final PublishedStateWatcher mSource;
    private final ForwardCore mCore;
    private final StageDesks mDesks;
    private final FleetLink mFleet;
    private final ForwardServer mServer;
    private final CountDownLatch mDrained = new CountDownLatch(1);
    private long mDrainStarted;

    private ForwardDaemon(ForwardSettings settings) throws BulrushvaleException {
        mSettings = settings;
        mLog =
                new DecisionLog(
                        mClock, System.out, settings.entry().vm(), settings.log().linesPerSecond());
        mWorker = worker();
        EntryMetrics metrics = new EntryMetrics();
        mProtocol = only(ForwardProtocol.class);
        mSource = only(PublishedStateWatcher.class);
        mCalls = UndertowUpstreamClient.on(mWorker, settings.limits().connectTimeout());
        mPublished =
                new Published(
                        mLoop,
                        mClock,
                        settings.fleet().vanishedServerRetention(),
                        mLog,
                        this::onPublished);
        MemberTable members = FleetLink.members(settings, mClock);
        ColdServerRateLimit cold = new ColdServerRateLimit(mClock, members);
        ForwardServices services =
                new ForwardServices(
                        mLoop,
                        mClock,
                        mCalls,
                        mProtocol,
                        mPublished,
                        new ServerChoice(mClock, cold),
                        cold,
                        new RepeatBudget(
                                mClock,
                                settings.limits().repeatRatio(),
                                settings.limits().repeatSlack(),
                                settings.limits().repeatWindow(),
                                members::entryCount),
                        new ForwardReports(mLog, metrics));
        mDesks = new StageDesks(services);
        mFleet = FleetLink.start(settings, mLoop, mClock, mLog, members, mDesks);
        mCore = new ForwardCore(services, mFleet);
        mServer = ForwardServer.start(settings, mWorker, mCore, metrics::scrape, mClock);
        mLoop.scheduleWithFixedDelay(STAGE_TICK, mDesks::dispatch);
        mSource.start(settings.fleet().store(), mCalls, mPublished);
    }

    /** Starts a daemon; it reports ready once the published state was read. */
    public static ForwardDaemon start(ForwardSettings settings) throws BulrushvaleException {
        ForwardDaemon daemon = new ForwardDaemon(settings);
        daemon.mLog
                .line("start")
                .with("failure_domain", settings.entry().failureDomain())
                .with("callers", settings.listeners().callers().toString())
                .writeAlways();
        return daemon;
    }

    private void onPublished() {
        mCore.publishedChanged();
        mDesks.dispatch();
    }

    private static <T> T only(Class<T> type) throws BulrushvaleException {
        List<ServiceLoader.Provider<T>> found = ServiceLoader.load(type).stream().toList();
        if (found.size() != 1) {
            throw new BulrushvaleException(
                    ErrorCode.INTERNAL,
                    Verdict.NOT_RUN,
                    "expected one platform adapter for "
                            + type.getSimpleName()
                            + ", found "
                            + found.size());
        }
        return found.get(0).get();
    }

    private static XnioWorker worker() throws BulrushvaleException {
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
                    ErrorCode.INTERNAL, Verdict.NOT_RUN, "no I/O thread: " + e.getMessage());
        }
    }

    /** Returns the addresses of the listeners: readiness, metrics, callers. */
    public List<InetSocketAddress> listenerAddresses() {
        return mServer.addresses();
    }

    ForwardProtocol protocol() {
        return mProtocol;
    }

    UndertowUpstreamClient calls() {
        return mCalls;
    }

    /** Starts a graceful shutdown: not ready, then the requests in progress, then the end. */
    public void drain() {
        mLoop.execute(
                () -> {
                    mLog.line("stop").with("running", mCore.running()).writeAlways();
                    mDrainStarted = mClock.monotonicNanos();
                    mCore.drain();
                    mFleet.drain();
                    mServer.drain();
                    mLoop.scheduleWithFixedDelay(DRAIN_TICK, this::checkDrained);
                });
    }

    private void checkDrained() {
        Duration elapsed = mClock.elapsedSince(mDrainStarted);
        ForwardSettings.Drain limits = mSettings.drain();
        boolean idle =
                elapsed.compareTo(limits.unready()) >= 0
                        && mCore.running() == 0
                        && mFleet.makingForOthers() == 0
                        && mServer.running() == 0;
        if (elapsed.compareTo(limits.grace().dividedBy(STREAM_SHARE)) >= 0) {
            mCore.refuseStreams();
        }
        if (elapsed.compareTo(limits.grace().minus(ANSWER_MARGIN)) >= 0) {
            mCore.endAll();
        }
        if (idle || elapsed.compareTo(limits.grace().minus(DRAIN_MARGIN)) >= 0) {
            mDrained.countDown();
        }
    }

    /** Waits for the end of a graceful shutdown; returns false when the time is over. */
    public boolean awaitDrained(Duration limit) throws InterruptedException {
        return mDrained.await(limit.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Waits until a graceful shutdown has ended, at most for the grace time. */
    void awaitDrainedWithinGrace() throws InterruptedException {
        boolean drained = awaitDrained(mSettings.drain().grace());
        mLog.line("stopped").with("drained", String.valueOf(drained)).writeAlways();
    }

    /** Takes over what may change in the settings of a running process: the seeds. */
    void reload(ForwardSettings.Result result) {
        String outcome = result.settings().isPresent() ? "ok" : result.faults().toString();
        result.settings().ifPresent(mFleet::reloaded);
        mLog.line("reload").with("outcome", outcome).writeAlways();
    }

    /** Notes settings that could not be read; the ones in force stay. */
    void reloadFailed(String detail) {
        mLog.line("reload").with("outcome", detail).writeAlways();
    }

    @Override
    public void close() {
        mServer.close();
        mSource.close();
        mFleet.close();
        mLoop.close();
        mWorker.shutdownNow();
        mLog.close();
    }
}
