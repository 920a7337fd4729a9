package org.bulrushvale.daemon.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.openhft.hashing.LongHashFunction;
import org.bulrushvale.adapters.backend.BackendFailure;
import org.bulrushvale.adapters.forward.CallerExchange;
import org.bulrushvale.adapters.forward.CallerRequestMetadata;
import org.bulrushvale.adapters.forward.EndToEndHeaders;
import org.bulrushvale.adapters.forward.PieceResult;
import org.bulrushvale.adapters.forward.UpstreamClient;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.decision.forward.EventSplitter;
import org.bulrushvale.decision.forward.ForwardConfig;
import org.bulrushvale.decision.forward.ForwardConfig.Workspace;
import org.bulrushvale.decision.forward.RequestKind;
import org.bulrushvale.decision.forward.Route;
import org.bulrushvale.decision.forward.ServiceSpec;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * One admitted request: its stages, its attempts at backend servers and its answer.
 *
 * <p>Invariants: one attempt at a time; a request that may have run is sent again only if its route
 * allows it; the caller gets one answer, and a refusal that says "not run" only when no attempt may
 * have run; no event is delivered twice. Thread safety: used on the event loop.
 */
final class ForwardedRequest implements Attempt.Handler, StagePlan.Listener, StagePlan.RequestView {
    // Below this a server cannot do anything useful any more.
    private static final long MIN_SEND_MILLIS = 5;

    // Refused attempts are cheap, but each one counts against the budget of repeats.
    private static final int MAX_REFUSALS = 3;

    // A piece waits about a third of a call for a server at half load.
    private static final double WAIT_FACTOR = 1.3;

    private static final Duration NO_SERVER_RECHECK = Duration.ofMillis(20);

    private final ForwardServices mServices;
    private final StageWork mStages;
    private final CallerExchange mCaller;
    private final CallerRequestMetadata mFacts;
    private final Route mRoute;
    private final String mWorkspace;
    private final int mRank;
    private final String mService;
    private final double mColdPerSecond;
    private final ForwardConfig mConfig;
    private final Consumption mOnEnd;
    private final RequestTimes mTimes;
    private final AttemptStarter mStarter;
    private final Set<String> mTried = new HashSet<>();
    private StagePlan mPlan;
    private List<String> mInputs = List.of();
    private @Nullable Server mServer;
    private UpstreamClient.@Nullable Call mCall;
    private EventLoop.@Nullable ScheduledTask mTimer;
    private EventSplitter mSplitter = new EventSplitter();
    private Attempt.@Nullable Head mStreamHead;
    private Verdict mVerdict = Verdict.NOT_RUN;
    private int mMayHaveRun;
    private int mRefusals;
    private int mArrivals;
    private boolean mStagesRepeated;
    private boolean mDelivering;
    private boolean mAnswered;
    private boolean mCallerGone;
    private long mLastEvent;

    ForwardedRequest(
            ForwardServices services,
            StageWork stages,
            CallerExchange caller,
            CallerRequestMetadata facts,
            Route route,
            Optional<Workspace> workspace,
            ForwardConfig config,
            Consumption onEnd) {
        mServices = services;
        mStages = stages;
        mCaller = caller;
        mFacts = facts;
        mRoute = route;
        mWorkspace = workspace.map(Workspace::name).orElse("");
        mRank = workspace.flatMap(Workspace::priority).orElse(route.priority());
        mService = route.selectService(LongHashFunction.xx().hashChars(facts.id()));
        mColdPerSecond =
                config.service(mService).map(ServiceSpec::coldRequestsPerSecond).orElse(0.0);
        mConfig = config;
        mOnEnd = onEnd;
        mTimes = new RequestTimes(services.clock(), caller.arrivedNanos(), facts, route);
        mStarter = new AttemptStarter(services, caller, facts, route, mWorkspace);
        mLastEvent = facts.resumeAfter();
        mPlan = newPlan();
    }

    /** Counts a request that ended. */
    interface Consumption {
        /** Called once. */
        void ended(ForwardedRequest request);
    }

    private StagePlan newPlan() {
        return new StagePlan(
                mStages, mRoute, mFacts.id(), mFacts.pieceKey(), mFacts.pieces(), this, this);
    }

    void start() {
        mServices.budget().recordRequest(mService);
        mTimer = mServices.loop().schedule(Duration.ofMillis(deadlineMillis()), this::timeIsOver);
        mCaller.onClose(() -> mServices.loop().execute(this::callerLeft));
        mPlan.advance();
    }

    @Override
    public long targetMillis() {
        return mTimes.targetMillis();
    }

    @Override
    public int rank() {
        return mRank;
    }

    @Override
    public String domainOf(List<String> handles) {
        Map<String, Integer> counts = new HashMap<>();
        handles.forEach(handle -> counts.merge(mServices.domainOf(handle), 1, Integer::sum));
        return counts.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .orElse("");
    }

    @Override
    public String readerDomain() {
        Server server = choose();
        return server == null ? "" : server.published().domain();
    }

    @Override
    public long deadlineMillis() {
        return mTimes.deadlineMillis();
    }

    @Override
    public long giveUpMillis() {
        return mTimes.giveUpMillis();
    }

    @Override
    public long stageMillis(String service) {
        return mConfig.service(service)
                .flatMap(ServiceSpec::pieces)
                .map(pieces -> (long) (pieces.typicalCallTime().toMillis() * WAIT_FACTOR))
                .orElse(0L);
    }

    @Override
    public void stagesDone(List<String> inputs) {
        mInputs = inputs;
        send();
    }

    @Override
    public void stagesFailed(PieceResult.Outcome outcome) {
        if (outcome == PieceResult.Outcome.INPUT_GONE && repeatStages()) {
            return;
        }
        giveUp(
                outcome == PieceResult.Outcome.LATE ? ErrorCode.OVERLOADED : ErrorCode.NO_BACKEND,
                "a stage failed: " + outcome);
    }

    private boolean repeatStages() {
        if (mStagesRepeated || mAnswered) {
            return false;
        }
        mStagesRepeated = true;
        mPlan.release();
        mPlan = newPlan();
        mPlan.advance();
        return true;
    }

    private void send() {
        if (mAnswered || mCallerGone) {
            return;
        }
        long left = deadlineMillis();
        if (left < MIN_SEND_MILLIS) {
            timeIsOver();
            return;
        }
        Server server = choose();
        if (server == null) {
            awaitServer();
            return;
        }
        if (mArrivals > 0 && !mServices.budget().tryRepeat(mService)) {
            giveUp(ErrorCode.NO_BACKEND, "no repeat left in the budget");
            return;
        }
        sendTo(server, left);
    }

    private @Nullable Server choose() {
        return mServices
                .choice()
                .choose(
                        mServices.published().directory().eligibleOf(mService),
                        mTried,
                        mColdPerSecond,
                        mFacts.affinity(),
                        LongHashFunction.xx().hashChars(mFacts.id()));
    }

    private void awaitServer() {
        if (mTried.isEmpty() && mTimes.mayHold()) {
            mServices.loop().schedule(NO_SERVER_RECHECK, this::send);
        } else {
            giveUp(ErrorCode.NO_BACKEND, "no backend server may receive the request");
        }
    }

    private void sendTo(Server server, long leftMillis) {
        String id = server.published().id();
        mServer = server;
        mTried.add(id);
        mArrivals++;
        server.recordStart(mFacts.promptTokens());
        if (server.isCold(mServices.clock().monotonicNanos())) {
            mServices.cold().recordSent(server);
        }
        mServices
                .log()
                .line("send")
                .with("request", mFacts.id())
                .with("route", mRoute.name())
                .with("server", id)
                .with("attempt", mArrivals)
                .with("left_ms", leftMillis)
                .with("outstanding", server.outstanding())
                .write();
        mSplitter = new EventSplitter();
        mStreamHead = null;
        int attempt = mArrivals;
        mCall =
                mStarter.start(
                        server.published(),
                        Duration.ofMillis(leftMillis),
                        mInputs,
                        mLastEvent,
                        new GuardedHandler(this, () -> isCurrent(attempt)));
    }

    /** Events of an attempt that was given up are dropped. */
    private boolean isCurrent(int attempt) {
        return attempt == mArrivals && !mAnswered && mServer != null;
    }

    @Override
    public void answered(Attempt.Head head, byte[] body) {
        Server server = attemptEnded();
        int status = head.status();
        if (head.facts().notRun() || status == 421) {
            refused(head, body, server);
            return;
        }
        mMayHaveRun++;
        mVerdict = Verdict.RAN;
        if (status >= 500) {
            server.recordFailure(mServices.clock().monotonicNanos());
            if (mayRepeat()) {
                send();
                return;
            }
        } else {
            server.recordSuccess();
        }
        deliver(head, body);
    }

    private void refused(Attempt.Head head, byte[] body, Server server) {
        mRefusals++;
        if (head.status() == 409 && repeatStages()) {
            mTried.remove(server.published().id());
            return;
        }
        if (head.status() == 503 || head.status() == 429) {
            server.pauseFor(mServices.clock().monotonicNanos(), TimeUnit.MILLISECONDS.toNanos(100));
        }
        boolean permanent = head.status() == 400 || head.status() == 413;
        if (permanent && mVerdict == Verdict.NOT_RUN) {
            deliver(head, body);
        } else if (mRefusals < MAX_REFUSALS) {
            send();
        } else {
            giveUp(ErrorCode.OVERLOADED, "backend servers refuse the request");
        }
    }

    private void deliver(Attempt.Head head, byte[] body) {
        if (!finish("answered", head.status())) {
            return;
        }
        mCaller.sendResponse(
                head.status(), EndToEndHeaders.copyEndToEnd(head.headers(), name -> false), body);
    }

    @Override
    public void streamBegins(Attempt.Head head) {
        mStreamHead = head;
    }

    @Override
    public void streamBytes(byte[] bytes) {
        for (EventSplitter.Event event : mSplitter.add(bytes)) {
            event(event);
        }
    }

    private void event(EventSplitter.Event event) {
        Server server = mServer;
        if (event.id() != EventSplitter.Event.NO_ID) {
            if (event.id() <= mLastEvent) {
                return;
            }
            mLastEvent = event.id();
        }
        if (server != null) {
            server.recordSuccess();
        }
        if (!mDelivering && mStreamHead != null) {
            mDelivering = true;
            mVerdict = Verdict.RAN;
            mPlan.release();
            mCaller.startStream(
                    mStreamHead.status(),
                    EndToEndHeaders.copyEndToEnd(mStreamHead.headers(), name -> false));
        }
        mCaller.sendChunk(event.bytes());
    }

    @Override
    public void streamEnds() {
        if (mSplitter.isInsideEvent() || !mDelivering) {
            lost(true, BackendFailure.TRUNCATED, "stream ended inside an event");
            return;
        }
        attemptEnded();
        if (finish("streamed", 200)) {
            mCaller.endStream();
        }
    }

    @Override
    public void lost(boolean sent, BackendFailure failure, String detail) {
        Server server = attemptEnded();
        server.recordFailure(mServices.clock().monotonicNanos());
        mServices
                .log()
                .line("attempt_lost")
                .with("request", mFacts.id())
                .with("server", server.published().id())
                .with("sent", String.valueOf(sent))
                .with("failure", failure.name())
                .with("detail", detail)
                .write();
        if (sent) {
            mMayHaveRun++;
            mVerdict = mVerdict.combinedWith(Verdict.MAY_HAVE_RUN);
        } else {
            mArrivals--;
        }
        if (!sent || mayRepeat()) {
            send();
        } else {
            giveUp(ErrorCode.BACKEND_FAILED, detail);
        }
    }

    private boolean mayRepeat() {
        return mRoute.mayRepeat() && mMayHaveRun < mRoute.maxAttempts() && !mCallerGone;
    }

    private Server attemptEnded() {
        Server server = mServer;
        if (server == null) {
            throw new IllegalStateException("no attempt in progress");
        }
        mServer = null;
        mCall = null;
        server.recordEnd(mFacts.promptTokens());
        return server;
    }

    private void callerLeft() {
        if (mAnswered) {
            return;
        }
        mCallerGone = true;
        boolean cancel = mRoute.kind() != RequestKind.UNSAFE || mServer == null;
        if (cancel) {
            abortAttempt();
            finish("caller_left", 499);
        }
    }

    private void timeIsOver() {
        if (mAnswered) {
            return;
        }
        if (mServer != null) {
            mVerdict = mVerdict.combinedWith(Verdict.MAY_HAVE_RUN);
        }
        abortAttempt();
        giveUp(ErrorCode.DEADLINE_EXCEEDED, "the time of the request is over");
    }

    /** Ends the request because the process stops. */
    void shutDown() {
        if (mServer != null) {
            mVerdict = mVerdict.combinedWith(Verdict.MAY_HAVE_RUN);
        }
        abortAttempt();
        giveUp(ErrorCode.DRAINING, "the entry shuts down");
    }

    private void abortAttempt() {
        UpstreamClient.Call call = mCall;
        if (mServer != null) {
            attemptEnded();
        }
        if (call != null) {
            call.cancel();
        }
    }

    /** Ends the request without a server's answer. */
    private void giveUp(ErrorCode wanted, String detail) {
        boolean delivering = mDelivering;
        ErrorCode code = truthful(wanted);
        if (!finish(code.name() + ": " + detail, code.httpStatus())) {
            return;
        }
        if (delivering) {
            mCaller.abort();
        } else if (!mCallerGone) {
            Answers.problem(mCaller, mServices.protocol(), mFacts.id(), code, mVerdict, detail);
        }
    }

    /** A status that promises "not run" is kept for requests that did not run. */
    private ErrorCode truthful(ErrorCode wanted) {
        if (mVerdict == Verdict.NOT_RUN) {
            return wanted == ErrorCode.DEADLINE_EXCEEDED || wanted == ErrorCode.BACKEND_FAILED
                    ? ErrorCode.OVERLOADED
                    : wanted;
        }
        return wanted == ErrorCode.DEADLINE_EXCEEDED ? wanted : ErrorCode.BACKEND_FAILED;
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
        mPlan.release();
        Duration elapsed = mTimes.elapsed();
        mServices
                .log()
                .line("request")
                .with("request", mFacts.id())
                .with("route", mRoute.name())
                .with("service", mService)
                .with("workspace", mWorkspace)
                .with("status", status)
                .with("attempts", mArrivals)
                .with("verdict", mVerdict.name())
                .with("ms", elapsed.toMillis())
                .with("outcome", outcome)
                .write();
        mServices
                .metrics()
                .requestEnded(mRoute.name(), String.valueOf(status), mVerdict.name(), elapsed);
        mOnEnd.ended(this);
        return true;
    }
}
