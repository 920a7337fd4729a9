package org.bulrushvale.daemon.forward;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.openhft.hashing.LongHashFunction;
import org.bulrushvale.adapters.backend.BackendFailure;
import org.bulrushvale.adapters.caller.Problem;
import org.bulrushvale.adapters.forward.CallerExchange;
import org.bulrushvale.adapters.forward.CallerRequestMetadata;
import org.bulrushvale.adapters.forward.EndToEndHeaders;
import org.bulrushvale.adapters.forward.PieceResult;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.decision.forward.EventSplitter;
import org.bulrushvale.decision.forward.ForwardConfig;
import org.bulrushvale.decision.forward.ForwardConfig.Workspace;
import org.bulrushvale.decision.forward.PauseWait;
import org.bulrushvale.decision.forward.RequestKind;
import org.bulrushvale.decision.forward.Route;
import org.bulrushvale.decision.forward.ServiceSpec;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * One admitted request: runs its stages, sends it to backend servers and answers the caller.
 *
 * <p>Invariants: at most two attempts are in progress, of which one may answer; a request that may
 * have run is sent again only if its route allows that; the caller receives one answer, which says
 * "not run" only when no attempt may have run; no event is delivered twice, and all events come
 * from one attempt unless the stream was resumed, which happens at the software version that began
 * it. Thread safety: used on the event loop.
 */
final class ForwardedRequest
        implements RunningAttempt.Listener, RequestDuplicator.Sender, StageScheduler.Listener {
    // With less time than this a server cannot do anything useful.
    private static final long MIN_REMAINING_MILLIS = 5;

    // Refused attempts are cheap, but each repeat takes from the repeat budget.
    private static final int MAX_REFUSALS = 3;

    // How long a server that refused a request as overloaded is not chosen again.
    private static final long BUSY_PAUSE_MILLIS = 100;

    private static final Duration SERVER_RECHECK_PERIOD = Duration.ofMillis(20);

    private final ForwardServices mServices;
    private final StageExecutor mStageExecutor;
    private final CallerExchange mCaller;
    private final CallerRequestMetadata mRequestMetadata;
    private final Route mRoute;
    private final String mWorkspace;
    private final String mService;
    private final ServerPlacement mPlacement;
    private final EndListener mOnEnd;
    private final RequestTimeLimits mTimeLimits;
    private final RequestSchedule mSchedule;
    private final AttemptStarter mStarter;
    private final CrashWatch mCrashWatch;
    private final DeliveredEvents mDelivered;
    private final RequestDuplicator mDuplicator;
    private final StreamResumption mResumption;
    private final RunningAttempts mAttempts = new RunningAttempts();
    private final Set<String> mTriedServers = new HashSet<>();
    private final Set<String> mPausedRefusers = new HashSet<>();
    private StageScheduler mStageScheduler;
    private List<String> mInputs = List.of();
    private EventLoop.@Nullable ScheduledTask mTimer;
    private Verdict mVerdict = Verdict.NOT_RUN;
    private int mPossibleRuns;
    private int mRefusals;
    private int mSentAttempts;
    private boolean mStagesRepeated;
    private boolean mStreaming;
    private boolean mAnswered;
    private boolean mCallerDisconnected;

    ForwardedRequest(
            ForwardServices services,
            StageExecutor stageExecutor,
            CallerExchange caller,
            CallerRequestMetadata metadata,
            Route route,
            Optional<Workspace> workspace,
            ForwardConfig config,
            EndListener onEnd) {
        mServices = services;
        mStageExecutor = stageExecutor;
        mCaller = caller;
        mRequestMetadata = metadata;
        mRoute = route;
        mWorkspace = workspace.map(Workspace::name).orElse("");
        mService =
                route.selectService(
                        LongHashFunction.xx().hashChars(StreamResumption.firstAttempt(metadata)));
        mOnEnd = onEnd;
        mTimeLimits =
                new RequestTimeLimits(
                        services.clock(),
                        caller.arrivedNanos(),
                        metadata,
                        route,
                        services.activeFeatures().admission().patience());
        int rank = workspace.flatMap(Workspace::priority).orElse(route.priority());
        mSchedule =
                new RequestSchedule(
                        services, config, mTimeLimits, rank, mWorkspace, this::readerDomain);
        mPlacement = new ServerPlacement(services, metadata, serviceSpec(config, mService));
        mStarter = new AttemptStarter(services, caller, metadata, route, mWorkspace, mPlacement);
        mCrashWatch =
                new CrashWatch(
                        services.crashGuard(),
                        services.clock(),
                        new RequestContents(caller, metadata, mService, mWorkspace));
        mDuplicator = new RequestDuplicator(services, metadata, route, mService, mTimeLimits, this);
        mResumption =
                new StreamResumption(services, metadata, route, mWorkspace, mService, mPlacement);
        mDelivered = new DeliveredEvents(metadata.resumeAfter());
        mStageScheduler = newScheduler();
    }

    private static ServiceSpec serviceSpec(ForwardConfig config, String service) {
        return config.service(service)
                .orElseGet(
                        () -> new ServiceSpec(service, 0, 0, Optional.empty(), Optional.empty()));
    }

    /** Receives the end of a request. */
    interface EndListener {
        /** Called once, after the request has ended. */
        void onEnd(ForwardedRequest request);
    }

    private StageScheduler newScheduler() {
        return new StageScheduler(
                mStageExecutor,
                mRoute,
                mRequestMetadata.id(),
                mRequestMetadata.pieceKey(),
                mRequestMetadata.pieces(),
                mSchedule,
                this);
    }

    void start() {
        mServices.repeatBudget().recordRequest(mService);
        mDuplicator.onRequest();
        scheduleTimeLimit();
        mCaller.onClose(() -> mServices.loop().execute(this::onCallerDisconnect));
        if (mResumption.isTakeUp()) {
            mResumption.bind(this::onBound);
        } else {
            startStages();
        }
    }

    private void onBound(Optional<String> obstacle) {
        if (mAnswered) {
            return;
        }
        if (obstacle.isPresent()) {
            giveUp(ErrorCode.STREAM_NOT_RESUMABLE, obstacle.get());
        } else {
            startStages();
        }
    }

    private void startStages() {
        Optional<PauseWait> pause = pauseWait();
        if (refuseIfHeldBack() || pause.filter(this::refuseIfPaused).isPresent()) {
            return;
        }
        // Paused servers are not eligible, but can receive the request after their pause.
        if (mStageScheduler.hasPieces() && pause.isEmpty() && !mSchedule.admitTo(mService)) {
            giveUp(ErrorCode.NO_BACKEND, "no server of the service can receive the request");
            return;
        }
        mStageScheduler.startReadyStages();
    }

    private void scheduleTimeLimit() {
        Duration limit = Duration.ofMillis(mTimeLimits.millisToLimit());
        mTimer = mServices.loop().schedule(limit, this::onTimeLimit);
    }

    private void onTimeLimit() {
        if (mTimeLimits.millisToLimit() > 0) {
            // An event has arrived since, so that now the deadline applies.
            scheduleTimeLimit();
        } else {
            onDeadline();
        }
    }

    private String readerDomain() {
        Server server = chooseServer();
        return server == null ? "" : server.published().domain();
    }

    private long millisToDeadline() {
        return mTimeLimits.millisToDeadline();
    }

    @Override
    public void stagesDone(List<String> inputs) {
        mInputs = inputs;
        send();
    }

    @Override
    public void stagesFailed(PieceResult.Outcome outcome, long returnMillis) {
        if (outcome == PieceResult.Outcome.INPUT_GONE && repeatStages()) {
            return;
        }
        if (outcome == PieceResult.Outcome.LATE) {
            mSchedule.setStageReturnMillis(returnMillis);
        }
        giveUp(
                outcome == PieceResult.Outcome.LATE ? ErrorCode.OVERLOADED : ErrorCode.NO_BACKEND,
                "a stage of the request failed: " + outcome);
    }

    private boolean repeatStages() {
        if (mStagesRepeated || mAnswered) {
            return false;
        }
        mStagesRepeated = true;
        mStageScheduler.release();
        mStageScheduler = newScheduler();
        mStageScheduler.startReadyStages();
        return true;
    }

    private void send() {
        if (mAnswered) {
            return;
        }
        if (mCallerDisconnected) {
            finish("caller_left", 499);
            return;
        }
        long remainingMillis = millisToDeadline();
        if (remainingMillis < MIN_REMAINING_MILLIS) {
            onDeadline();
            return;
        }
        if (refuseIfHeldBack()) {
            return;
        }
        if (mPlacement.probeFirst(
                mTriedServers, useAffinity(), mSchedule.domainOf(mInputs), this::send)) {
            return;
        }
        Server server = chooseServer();
        if (server == null) {
            waitForServer();
            return;
        }
        if (mSentAttempts > 0 && !mServices.repeatBudget().tryRepeat(mService)) {
            giveUp(ErrorCode.NO_BACKEND, "the repeat budget of the service is exhausted");
            return;
        }
        sendTo(server, remainingMillis, false);
    }

    private boolean refuseIfHeldBack() {
        Optional<String> content = mCrashWatch.findHeldBack();
        content.ifPresent(
                name -> giveUp(ErrorCode.QUARANTINED, "backend servers crash on content " + name));
        return content.isPresent();
    }

    private @Nullable Server chooseServer() {
        return mPlacement.choose(mTriedServers, useAffinity(), mSchedule.domainOf(mInputs));
    }

    /** A request that may have crashed a server keeps away from those that others prefer. */
    private boolean useAffinity() {
        return !mCrashWatch.hasLostConnection();
    }

    private void waitForServer() {
        Optional<String> obstacle = mResumption.findObstacle();
        if (obstacle.isPresent()) {
            giveUp(ErrorCode.STREAM_NOT_RESUMABLE, obstacle.get());
            return;
        }
        Optional<PauseWait> pause = pauseWait();
        if (pause.isPresent()) {
            if (refuseIfPaused(pause.get())) {
                return;
            }
            // A server that refused the request because of its pause can take it after that.
            mTriedServers.removeAll(mPausedRefusers);
            mPausedRefusers.clear();
            mServices.loop().schedule(Duration.ofMillis(pause.get().millis()), this::send);
        } else if (mTriedServers.isEmpty() && mSchedule.mayWaitForServer()) {
            mServices.loop().schedule(SERVER_RECHECK_PERIOD, this::send);
        } else {
            giveUp(
                    ErrorCode.NO_BACKEND,
                    "no backend server of the service can receive the request");
        }
    }

    /** Returns what to do while all servers of the service are paused; empty when one is not. */
    private Optional<PauseWait> pauseWait() {
        return mSchedule.pauseWait(mService, mRoute.kind(), mRequestMetadata.id());
    }

    private boolean refuseIfPaused(PauseWait pause) {
        if (!pause.waits()) {
            mSchedule.setPauseReturnMillis(pause.millis());
            giveUp(ErrorCode.NO_BACKEND, "all backend servers of the service are paused");
        }
        return !pause.waits();
    }

    @Override
    public boolean mayDuplicate(RunningAttempt attempt) {
        return !mAnswered
                && !mStreaming
                && mayRepeat()
                && mAttempts.isOnly(attempt)
                && mSentAttempts < mRoute.maxAttempts()
                && millisToDeadline() >= MIN_REMAINING_MILLIS
                && !mCrashWatch.mayCrashServers();
    }

    @Override
    public @Nullable Server choose(List<Server> candidates) {
        return mPlacement.chooseAmong(candidates, mTriedServers, mSchedule.domainOf(mInputs));
    }

    @Override
    public void sendDuplicate(Server server) {
        sendTo(server, millisToDeadline(), true);
    }

    private void sendTo(Server server, long remainingMillis, boolean duplicate) {
        mSchedule.endAdmission();
        mTriedServers.add(server.published().id());
        mSentAttempts++;
        RunningAttempt attempt =
                new RunningAttempt(
                        mServices,
                        server,
                        mStreaming ? mPlacement.onResumed(server) : mPlacement.onSent(server),
                        mCrashWatch.onAttemptStarted(),
                        mRequestMetadata,
                        duplicate,
                        this);
        mAttempts.add(attempt);
        mStarter.start(
                attempt,
                mSentAttempts,
                Duration.ofMillis(remainingMillis),
                mInputs,
                mDelivered.lastId(),
                mSchedule.urgency(mService));
        mDuplicator.onSent(attempt);
    }

    @Override
    public void onAnswer(RunningAttempt attempt, ForwardAttempt.Head head, byte[] body) {
        mAttempts.remove(attempt);
        Server server = attempt.server();
        int status = head.status();
        if (head.metadata().notRun() || status == 421) {
            mDuplicator.onFailed(attempt);
            onRefusal(head, body, server);
            return;
        }
        mPossibleRuns++;
        mVerdict = Verdict.RAN;
        boolean resumed = mStreaming;
        boolean callerError = status / 100 == 4;
        if (status >= 500 || resumed && !callerError) {
            server.recordFailure(mServices.clock().monotonicNanos());
        } else {
            server.recordSuccess();
            if (status / 100 == 2) {
                attempt.recordGoodAnswer();
            }
        }
        if (callerError && !mAttempts.isEmpty()) {
            // It may concern only this server, so the other attempt may still succeed.
            mAttempts.hold(head, body);
            mDuplicator.onFailed(attempt);
        } else if (status >= 500 || resumed) {
            mDuplicator.onFailed(attempt);
            onBadAnswer(head, body, resumed);
        } else {
            mDuplicator.onAnswered(attempt, mAttempts.cancelOthers(attempt));
            deliver(head, body);
        }
    }

    private void onBadAnswer(ForwardAttempt.Head head, byte[] body, boolean resumed) {
        if (waitsForOther() || deliverHeld()) {
            return;
        }
        if (mayRepeat()) {
            mCrashWatch.afterChecks(this::send);
        } else if (resumed) {
            // The caller has the head of a stream, so this answer cannot be passed on.
            giveUp(ErrorCode.BACKEND_FAILED, "a resumed stream was answered with " + head.status());
        } else {
            deliver(head, body);
        }
    }

    /** Returns true while the other attempt may still answer. */
    private boolean waitsForOther() {
        return !mAttempts.isEmpty();
    }

    /** Passes on the error response of a server after the other attempt had no better one. */
    private boolean deliverHeld() {
        RunningAttempts.HeldAnswer held = mAttempts.heldAnswer();
        if (held != null) {
            deliver(held.head(), held.body());
        }
        return held != null;
    }

    private void onRefusal(ForwardAttempt.Head head, byte[] body, Server server) {
        mRefusals++;
        long now = mServices.clock().monotonicNanos();
        if (head.status() == 503 || head.status() == 429) {
            mServices.duplicates().onOverloaded(mService);
            server.avoidFor(now, TimeUnit.MILLISECONDS.toNanos(BUSY_PAUSE_MILLIS));
        }
        if (server.facts().isPaused(now)) {
            mPausedRefusers.add(server.published().id());
        }
        if (waitsForOther() || deliverHeld()) {
            return;
        }
        if (head.status() == 409 && repeatStages()) {
            mTriedServers.remove(server.published().id());
            return;
        }
        boolean permanent = head.status() == 400 || head.status() == 413;
        if (permanent && mVerdict == Verdict.NOT_RUN) {
            deliver(head, body);
        } else if (mRefusals < MAX_REFUSALS) {
            mCrashWatch.afterChecks(this::send);
        } else {
            giveUp(ErrorCode.OVERLOADED, "backend servers refused the request");
        }
    }

    private void deliver(ForwardAttempt.Head head, byte[] body) {
        if (!finish("answered", head.status())) {
            return;
        }
        mCaller.sendResponse(
                head.status(), EndToEndHeaders.copyEndToEnd(head.headers(), name -> false), body);
    }

    @Override
    public void onEvents(RunningAttempt attempt, List<EventSplitter.Event> events) {
        byte[] newEvents = mDelivered.addNew(events);
        if (newEvents.length > 0) {
            forwardEvents(attempt, newEvents);
        }
    }

    private void forwardEvents(RunningAttempt attempt, byte[] events) {
        attempt.server().recordSuccess();
        ForwardAttempt.Head head = attempt.streamHead();
        if (!mStreaming && head != null) {
            mStreaming = true;
            mResumption.onFirstEvent(attempt.server().published().version());
            mTimeLimits.recordFirstEvent();
            mVerdict = Verdict.RAN;
            mDuplicator.onAnswered(attempt, mAttempts.cancelOthers(attempt));
            mStageScheduler.release();
            mCaller.startStream(
                    head.status(), EndToEndHeaders.copyEndToEnd(head.headers(), name -> false));
        }
        mCaller.sendChunk(events);
    }

    @Override
    public void onStreamEnd(RunningAttempt attempt) {
        if (!mStreaming) {
            attempt.failWithoutEvent();
            return;
        }
        mAttempts.remove(attempt);
        attempt.crashWatch().onAnswered();
        mResumption.onComplete();
        if (finish("streamed", 200)) {
            mCaller.endStream();
        }
    }

    @Override
    public void onFailure(
            RunningAttempt attempt, boolean sent, BackendFailure failure, String detail) {
        mAttempts.remove(attempt);
        Server server = attempt.server();
        server.recordFailure(mServices.clock().monotonicNanos());
        if (sent) {
            mPossibleRuns++;
            mVerdict = mVerdict.combinedWith(Verdict.MAY_HAVE_RUN);
        } else {
            mSentAttempts--;
        }
        // The check opens a connection, and a paused server wants nothing.
        boolean mayCheck = !server.facts().isPaused(mServices.clock().monotonicNanos());
        if (sent && mayCheck && attempt.crashWatch().mayBeCrash(failure)) {
            attempt.crashWatch().onConnectionLost(server.published());
        }
        mDuplicator.onFailed(attempt);
        if (waitsForOther() || deliverHeld()) {
            return;
        }
        if (!sent || mayRepeat()) {
            // A repeat must know of a crash, so it waits for the check; a failure does not.
            mCrashWatch.afterChecks(this::send);
        } else {
            giveUp(ErrorCode.BACKEND_FAILED, detail);
        }
    }

    private boolean mayRepeat() {
        return mRoute.mayRepeat() && mPossibleRuns < mRoute.maxAttempts() && !mCallerDisconnected;
    }

    private void onCallerDisconnect() {
        if (mAnswered) {
            return;
        }
        mCallerDisconnected = true;
        boolean cancel = mRoute.kind() != RequestKind.UNSAFE || mAttempts.isEmpty();
        if (cancel) {
            abortAttempts();
            finish("caller_left", 499);
        }
    }

    private void onDeadline() {
        if (mAnswered) {
            return;
        }
        if (!mAttempts.isEmpty()) {
            mVerdict = mVerdict.combinedWith(Verdict.MAY_HAVE_RUN);
        }
        abortAttempts();
        giveUp(
                ErrorCode.DEADLINE_EXCEEDED,
                millisToDeadline() < MIN_REMAINING_MILLIS
                        ? "the deadline of the request has passed"
                        : "the patience of the caller has ended before the first event");
    }

    /** Ends the request with a final answer, whatever is in progress. */
    void endAtOnce(ErrorCode code, String detail) {
        if (!mAttempts.isEmpty()) {
            mVerdict = mVerdict.combinedWith(Verdict.MAY_HAVE_RUN);
        }
        abortAttempts();
        giveUp(code, detail);
    }

    private void abortAttempts() {
        mDuplicator.onEnd(mAttempts.cancelOthers(null));
    }

    /** Ends the request without an answer of a server. */
    private void giveUp(ErrorCode proposed, String detail) {
        boolean streaming = mStreaming;
        ErrorCode code = ProblemResponse.codeFor(proposed, mVerdict);
        if (!finish(code.name() + ": " + detail, code.httpStatus())) {
            return;
        }
        if (streaming) {
            mCaller.abort();
        } else if (!mCallerDisconnected) {
            Problem problem = Problem.failure(code, mVerdict, code.defaultAdvice(), detail);
            ProblemResponse.send(
                    mCaller,
                    mServices.protocol(),
                    mRequestMetadata.id(),
                    mSchedule.withReturnTime(problem, mService));
        }
    }

    private boolean finish(String outcome, int status) {
        if (mAnswered) {
            return false;
        }
        mAnswered = true;
        mDuplicator.onEnd(List.of());
        EventLoop.ScheduledTask timer = mTimer;
        if (timer != null) {
            timer.cancel();
        }
        mStageScheduler.release();
        mSchedule.endAdmission();
        Duration elapsed = mTimeLimits.elapsed();
        mServices
                .log()
                .line("request")
                .with("request", mRequestMetadata.id())
                .with("route", mRoute.name())
                .with("service", mService)
                .with("workspace", mWorkspace)
                .with("resumes", mRequestMetadata.resumes())
                .with("status", status)
                .with("attempts", mSentAttempts)
                .with("verdict", mVerdict.name())
                .with("ms", elapsed.toMillis())
                .with("outcome", outcome)
                .write();
        mServices
                .metrics()
                .requestEnded(mRoute.name(), String.valueOf(status), mVerdict.name(), elapsed);
        mOnEnd.onEnd(this);
        return true;
    }
}
