package org.bulrushvale.daemon.forward;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.openhft.hashing.LongHashFunction;
import org.bulrushvale.adapters.backend.BackendFailure;
import org.bulrushvale.adapters.caller.Problem;
import org.bulrushvale.adapters.forward.CallerExchange;
import org.bulrushvale.adapters.forward.CallerRequestMetadata;
import org.bulrushvale.adapters.forward.EndToEndHeaders;
import org.bulrushvale.adapters.forward.PieceResult;
import org.bulrushvale.adapters.forward.UpstreamClient;
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
 * <p>Invariants: at most one attempt is in progress; a request that may have run is sent again only
 * if its route allows that; the caller receives one answer, which says "not run" only when no
 * attempt may have run; no event is delivered twice. Thread safety: used on the event loop.
 */
final class ForwardedRequest implements ForwardAttempt.Handler, StageScheduler.Listener {
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
    private final Set<String> mTriedServers = new HashSet<>();
    private final Set<String> mPausedRefusers = new HashSet<>();
    private StageScheduler mStageScheduler;
    private List<String> mInputs = List.of();
    private @Nullable Server mServer;
    private UpstreamClient.@Nullable Call mCall;
    private EventLoop.@Nullable ScheduledTask mTimer;
    private EventSplitter mSplitter = new EventSplitter();
    private ForwardAttempt.@Nullable Head mStreamHead;
    private Verdict mVerdict = Verdict.NOT_RUN;
    private int mPossibleRuns;
    private int mRefusals;
    private int mSentAttempts;
    private boolean mStagesRepeated;
    private boolean mStreaming;
    private boolean mAnswered;
    private boolean mCallerDisconnected;
    private long mLastEventId;
    private OptionalLong mReturnMillis = OptionalLong.empty();

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
        mService = route.selectService(LongHashFunction.xx().hashChars(metadata.id()));
        mOnEnd = onEnd;
        mTimeLimits =
                new RequestTimeLimits(
                        services.clock(),
                        caller.arrivedNanos(),
                        metadata,
                        route,
                        services.features().admission().patience());
        int rank = workspace.flatMap(Workspace::priority).orElse(route.priority());
        mSchedule =
                new RequestSchedule(
                        services, config, mTimeLimits, rank, mWorkspace, this::readerDomain);
        mStarter = new AttemptStarter(services, caller, metadata, route, mWorkspace);
        mCrashWatch =
                new CrashWatch(
                        services.crashGuard(),
                        services.clock(),
                        new RequestContents(caller, metadata, mService, mWorkspace));
        mPlacement = new ServerPlacement(services, metadata, serviceSpec(config, mService));
        mLastEventId = metadata.resumeAfter();
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
        scheduleTimeLimit();
        mCaller.onClose(() -> mServices.loop().execute(this::onCallerDisconnect));
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
        sendTo(server, remainingMillis);
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
        OptionalLong end = mServices.publishedState().directory().earliestPauseEnd(mService);
        if (end.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                PauseWait.of(
                        end.getAsLong(),
                        mServices.clock().monotonicNanos(),
                        mTimeLimits.millisToLastSend(mRoute.kind()),
                        millisToDeadline(),
                        LongHashFunction.xx().hashChars(mRequestMetadata.id())));
    }

    private boolean refuseIfPaused(PauseWait pause) {
        if (!pause.waits()) {
            mReturnMillis = OptionalLong.of(pause.millis());
            giveUp(ErrorCode.NO_BACKEND, "all backend servers of the service are paused");
        }
        return !pause.waits();
    }

    private void sendTo(Server server, long remainingMillis) {
        String id = server.published().id();
        mServer = server;
        mSchedule.endAdmission();
        mTriedServers.add(id);
        mSentAttempts++;
        server.recordStart(mRequestMetadata.promptTokens());
        if (server.isCold(mServices.clock().monotonicNanos())) {
            mServices.coldLimit().recordSent(server);
        }
        mServices.statedLimits().limits().recordSent(server.published().processName());
        OptionalInt urgency = mSchedule.urgency(mService);
        if (!mStreaming) {
            // The first event of a resumed stream says nothing about the speed of the server.
            mPlacement.onSent(server);
        }
        mPlacement
                .describe(server, mServices.log().line("send"))
                .with("request", mRequestMetadata.id())
                .with("route", mRoute.name())
                .with("server", id)
                .with("attempt", mSentAttempts)
                .with("left_ms", remainingMillis)
                .with("outstanding", server.outstanding())
                .with("urgency", urgency.orElse(-1))
                .with("parts", String.join(",", mRequestMetadata.promptParts()))
                .write();
        mSplitter = new EventSplitter();
        mStreamHead = null;
        mCrashWatch.onAttemptStarted();
        int attempt = mSentAttempts;
        mCall =
                mStarter.start(
                        server,
                        Duration.ofMillis(remainingMillis),
                        mInputs,
                        mLastEventId,
                        urgency,
                        new ConditionalAttemptHandler(this, () -> isCurrent(attempt)));
    }

    /** Returns false when the attempt was given up, so its late events must be dropped. */
    private boolean isCurrent(int attempt) {
        return attempt == mSentAttempts && !mAnswered && mServer != null;
    }

    @Override
    public void onAnswer(ForwardAttempt.Head head, byte[] body) {
        Server server = clearAttempt();
        mServices.statedLimits().onAnswer(server.published(), head.metadata());
        int status = head.status();
        if (head.metadata().notRun() || status == 421) {
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
                mPlacement.onFirstEvent();
                mCrashWatch.onAnswered();
            }
        }
        if ((status >= 500 || resumed) && mayRepeat()) {
            send();
        } else if (resumed) {
            // The caller has the head of a stream, so this answer cannot be passed on.
            giveUp(ErrorCode.BACKEND_FAILED, "a resumed stream was answered with " + status);
        } else {
            deliver(head, body);
        }
    }

    private void onRefusal(ForwardAttempt.Head head, byte[] body, Server server) {
        mRefusals++;
        if (head.status() == 409 && repeatStages()) {
            mTriedServers.remove(server.published().id());
            return;
        }
        if (head.status() == 503 || head.status() == 429) {
            server.avoidFor(
                    mServices.clock().monotonicNanos(),
                    TimeUnit.MILLISECONDS.toNanos(BUSY_PAUSE_MILLIS));
        }
        if (server.facts().isPaused(mServices.clock().monotonicNanos())) {
            mPausedRefusers.add(server.published().id());
        }
        boolean permanent = head.status() == 400 || head.status() == 413;
        if (permanent && mVerdict == Verdict.NOT_RUN) {
            deliver(head, body);
        } else if (mRefusals < MAX_REFUSALS) {
            send();
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
    public void onStreamBegin(ForwardAttempt.Head head) {
        mStreamHead = head;
        Server server = mServer;
        if (server != null) {
            mServices.statedLimits().onAnswer(server.published(), head.metadata());
        }
    }

    @Override
    public void onStreamBytes(byte[] bytes) {
        ByteArrayOutputStream newEvents = new ByteArrayOutputStream();
        for (EventSplitter.Event event : mSplitter.add(bytes)) {
            mCrashWatch.onEvent();
            mPlacement.onFirstEvent();
            if (isNew(event)) {
                newEvents.writeBytes(event.bytes());
            }
        }
        if (newEvents.size() > 0) {
            forwardEvents(newEvents.toByteArray());
        }
        if (mSplitter.isTooLong()) {
            UpstreamClient.Call call = mCall;
            if (call != null) {
                call.cancel();
            }
            onFailure(true, BackendFailure.MALFORMED, "stream has an event without an end");
        }
    }

    /** Returns false for an event that the caller already has, and remembers its id otherwise. */
    private boolean isNew(EventSplitter.Event event) {
        if (event.id() == EventSplitter.Event.NO_ID) {
            return true;
        }
        if (event.id() <= mLastEventId) {
            return false;
        }
        mLastEventId = event.id();
        return true;
    }

    private void forwardEvents(byte[] events) {
        Server server = mServer;
        if (server != null) {
            server.recordSuccess();
        }
        if (!mStreaming && mStreamHead != null) {
            mStreaming = true;
            mTimeLimits.recordFirstEvent();
            mVerdict = Verdict.RAN;
            mStageScheduler.release();
            mCaller.startStream(
                    mStreamHead.status(),
                    EndToEndHeaders.copyEndToEnd(mStreamHead.headers(), name -> false));
        }
        mCaller.sendChunk(events);
    }

    @Override
    public void onStreamEnd() {
        if (mSplitter.isInsideEvent() || !mStreaming) {
            onFailure(true, BackendFailure.TRUNCATED, "stream ended inside an event");
            return;
        }
        clearAttempt();
        mCrashWatch.onAnswered();
        if (finish("streamed", 200)) {
            mCaller.endStream();
        }
    }

    @Override
    public void onFailure(boolean sent, BackendFailure failure, String detail) {
        Server server = clearAttempt();
        server.recordFailure(mServices.clock().monotonicNanos());
        mServices
                .log()
                .line("attempt_lost")
                .with("request", mRequestMetadata.id())
                .with("server", server.published().id())
                .with("sent", String.valueOf(sent))
                .with("head_received", String.valueOf(mStreamHead != null))
                .with("events_received", mCrashWatch.eventsReceived())
                .with("failure", failure.name())
                .with("detail", detail)
                .write();
        if (sent) {
            mPossibleRuns++;
            mVerdict = mVerdict.combinedWith(Verdict.MAY_HAVE_RUN);
        } else {
            mSentAttempts--;
        }
        boolean repeat = !sent || mayRepeat();
        Runnable next = repeat ? this::send : () -> giveUp(ErrorCode.BACKEND_FAILED, detail);
        // The check opens a connection, and a paused server wants nothing.
        boolean mayCheck = !server.facts().isPaused(mServices.clock().monotonicNanos());
        if (!sent || !mayCheck || !mCrashWatch.mayBeCrash(failure)) {
            next.run();
        } else if (repeat) {
            // A repeat must know of the crash, so it waits for the check; a failure does not.
            mCrashWatch.onConnectionLost(server.published(), next);
        } else {
            mCrashWatch.onConnectionLost(server.published(), () -> {});
            next.run();
        }
    }

    private boolean mayRepeat() {
        return mRoute.mayRepeat() && mPossibleRuns < mRoute.maxAttempts() && !mCallerDisconnected;
    }

    private Server clearAttempt() {
        Server server = mServer;
        if (server == null) {
            throw new IllegalStateException("no attempt in progress");
        }
        mServer = null;
        mCall = null;
        server.recordEnd(mRequestMetadata.promptTokens());
        return server;
    }

    private void onCallerDisconnect() {
        if (mAnswered) {
            return;
        }
        mCallerDisconnected = true;
        boolean cancel = mRoute.kind() != RequestKind.UNSAFE || mServer == null;
        if (cancel) {
            abortAttempt();
            finish("caller_left", 499);
        }
    }

    private void onDeadline() {
        if (mAnswered) {
            return;
        }
        if (mServer != null) {
            mVerdict = mVerdict.combinedWith(Verdict.MAY_HAVE_RUN);
        }
        abortAttempt();
        giveUp(
                ErrorCode.DEADLINE_EXCEEDED,
                millisToDeadline() < MIN_REMAINING_MILLIS
                        ? "the deadline of the request has passed"
                        : "the patience of the caller has ended before the first event");
    }

    /** Ends the request with a final answer, whatever is in progress. */
    void endAtOnce(ErrorCode code, String detail) {
        if (mServer != null) {
            mVerdict = mVerdict.combinedWith(Verdict.MAY_HAVE_RUN);
        }
        abortAttempt();
        giveUp(code, detail);
    }

    private void abortAttempt() {
        UpstreamClient.Call call = mCall;
        if (mServer != null) {
            clearAttempt();
        }
        if (call != null) {
            call.cancel();
        }
    }

    /** Sets when the caller should return: after the pause of all servers, or by the schedule. */
    private Problem withReturnTime(Problem problem) {
        return mReturnMillis.isPresent() && problem.retryAfterMs().isPresent()
                ? problem.withRetryAfter(mReturnMillis)
                : mSchedule.withReturnTime(problem, mService);
    }

    /** Ends the request without an answer of a server. */
    private void giveUp(ErrorCode proposed, String detail) {
        boolean streaming = mStreaming;
        ErrorCode code = codeForVerdict(proposed);
        if (!finish(code.name() + ": " + detail, code.httpStatus())) {
            return;
        }
        if (streaming) {
            mCaller.abort();
        } else if (!mCallerDisconnected) {
            Problem problem = Problem.failure(code, mVerdict, code.defaultAdvice(), detail);
            ProblemResponse.send(
                    mCaller, mServices.protocol(), mRequestMetadata.id(), withReturnTime(problem));
        }
    }

    /**
     * Returns the proposed code if it agrees with the verdict, else one that does: a status that
     * states "not run" is reserved for requests that did not run.
     */
    private ErrorCode codeForVerdict(ErrorCode proposed) {
        if (mVerdict == Verdict.NOT_RUN) {
            return proposed == ErrorCode.DEADLINE_EXCEEDED || proposed == ErrorCode.BACKEND_FAILED
                    ? ErrorCode.OVERLOADED
                    : proposed;
        }
        return proposed == ErrorCode.DEADLINE_EXCEEDED ? proposed : ErrorCode.BACKEND_FAILED;
    }

    private boolean finish(String outcome, int status) {
        if (mAnswered) {
            return false;
        }
        mAnswered = true;
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
