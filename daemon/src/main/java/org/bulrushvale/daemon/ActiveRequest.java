package org.bulrushvale.daemon;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bulrushvale.adapters.backend.BackendAddress;
import org.bulrushvale.adapters.backend.BackendClient;
import org.bulrushvale.adapters.backend.BackendFailure;
import org.bulrushvale.adapters.backend.StageAttemptRequest;
import org.bulrushvale.adapters.caller.CallerRequest;
import org.bulrushvale.adapters.caller.CallerResponse;
import org.bulrushvale.decision.admission.QueuedRequest;
import org.bulrushvale.decision.attainment.AttainmentOutcome;
import org.bulrushvale.decision.config.BackendServer;
import org.bulrushvale.decision.config.Pipeline;
import org.bulrushvale.decision.config.Stage;
import org.bulrushvale.decision.config.WorkClass;
import org.bulrushvale.decision.outcome.RequestVerdictTracker;
import org.bulrushvale.decision.request.AttemptId;
import org.bulrushvale.decision.request.DeadlineBudget;
import org.bulrushvale.decision.request.RequestRun;
import org.bulrushvale.decision.request.RunDecision;
import org.bulrushvale.decision.request.StageResult;
import org.bulrushvale.decision.request.StageSummary;
import org.bulrushvale.decision.retry.ContentFingerprint;
import org.bulrushvale.decision.warmup.AttemptOutcome;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.id.RequestId;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * One request in progress: executes the decisions of its {@link RequestRun}.
 *
 * <p>Invariant: the listener is told exactly one end. Thread safety: owned by the event loop.
 */
final class ActiveRequest implements AttemptLink.Events {
    private static final Logger LOG = Logger.getLogger(ActiveRequest.class);

    private final CoreServices mCore;
    private final CallerRequest mRequest;
    private final WorkClass mClass;
    private final Pipeline mPipeline;
    private final RequestRun mRun;
    private final RequestVerdictTracker mOutcome;
    private final ContentFingerprint mContent;
    private final Listener mListener;
    private final double mShare;
    private final long mStartNanos;
    private final long mDeadlineNanos;
    private final Map<AttemptId, AttemptLink> mLinks = new HashMap<>();
    private final EventLoop.ScheduledTask mDeadlineTimer;

    ActiveRequest(
            CoreServices core,
            CallerRequest request,
            WorkClass workClass,
            Pipeline pipeline,
            double share,
            Duration deadline,
            ContentFingerprint content,
            Listener listener) {
        mCore = core;
        mRequest = request;
        mClass = workClass;
        mPipeline = pipeline;
        mShare = share;
        mContent = content;
        mListener = listener;
        mStartNanos = core.clock().monotonicNanos();
        mDeadlineNanos = mStartNanos + deadline.toNanos();
        mOutcome = RequestVerdictTracker.of(pipeline);
        mRun =
                RequestRun.builder(RequestId.random(core.random()), pipeline, core.clock())
                        .deadline(deadline)
                        .drops(core.drops())
                        .repeatLimiter(core.budget())
                        .random(core.random().split())
                        .build();
        mDeadlineTimer = core.loop().schedule(deadline, this::onDeadline);
    }

    /**
     * Receives the answer.
     *
     * <p>Thread safety: owned by the event loop.
     */
    interface Listener {
        void text(long offset, String text);

        void delivered(ActiveRequest request, RunDecision.Deliver answer);

        void failed(ActiveRequest request, ErrorCode code, Verdict verdict, String detail);
    }

    RequestId id() {
        return mRun.id();
    }

    CallerRequest request() {
        return mRequest;
    }

    WorkClass workClass() {
        return mClass;
    }

    Duration elapsed() {
        return mCore.clock().elapsedSince(mStartNanos);
    }

    boolean ended() {
        return mRun.isEnded();
    }

    void start() {
        apply(mRun.start(mRequest.input()));
    }

    void cancel() {
        apply(mRun.cancel(this::verdictNow));
    }

    private void onDeadline() {
        apply(mRun.onDeadline(this::verdictNow));
    }

    private void apply(List<RunDecision> decisions) {
        for (RunDecision decision : decisions) {
            if (decision instanceof RunDecision.StartAttempt start) {
                startOrWait(start);
            } else if (decision instanceof RunDecision.CancelAttempt cancel) {
                cancel(cancel.attempt());
            } else if (decision instanceof RunDecision.DeliverText piece) {
                mListener.text(piece.offset(), piece.text());
            } else if (decision instanceof RunDecision.Deliver answer) {
                mDeadlineTimer.cancel();
                mCore.poison().table().onCompleted(mContent);
                count(AttainmentOutcome.MET);
                // Counted first, so that a caller finds its answered request in the metrics.
                mCore.metrics().requestEnded(mClass.name(), "OK", Verdict.RAN.name(), elapsed());
                mListener.delivered(this, answer);
                RequestLog.delivered(this, answer.stages());
            } else if (decision instanceof RunDecision.Fail fail) {
                mDeadlineTimer.cancel();
                Verdict verdict = mOutcome.verdict();
                count(cause(fail));
                mCore.metrics()
                        .requestEnded(mClass.name(), fail.code().name(), verdict.name(), elapsed());
                mListener.failed(this, fail.code(), verdict, fail.detail());
                String stage = mPipeline.stages().get(fail.stage()).name();
                RequestLog.failed(this, stage, fail.code(), verdict, fail.detail());
            }
        }
    }

    private void startOrWait(RunDecision.StartAttempt start) {
        ErrorCode obstacle = obstacle(start);
        if (obstacle != null) {
            apply(mRun.stop(obstacle, obstacle.title(), this::verdictNow));
            return;
        }
        if (start.kind() == RunDecision.AttemptKind.HEDGE) {
            // A hedge that would have to wait cannot help and would take the place of others.
            boolean idle = mCore.waiting().isEmpty(start.stage().pool());
            if (!idle || !launch(start)) {
                String detail = "no server for a second attempt";
                apply(
                        mRun.onFailure(
                                start.attempt(), Verdict.NOT_RUN, ErrorCode.OVERLOADED, detail));
            }
            return;
        }
        Duration work =
                mCore.deadlines().estimate(mClass.name(), mPipeline, start.attempt().stage());
        mCore.waiting()
                .add(
                        start.stage().pool(),
                        new QueuedRequest<>(
                                waiting(start),
                                mClass.name(),
                                mClass.worth(),
                                mRequest.workspace(),
                                mShare,
                                mDeadlineNanos,
                                work));
    }

    /** Returns why an attempt is not worth starting, null when it is. */
    private @Nullable ErrorCode obstacle(RunDecision.StartAttempt start) {
        if (mCore.poison().table().isPoison(mContent)) {
            return ErrorCode.POISON;
        }
        DeadlineBudget.DeadlineDecision outlook =
                mCore.deadlines()
                        .decide(
                                mClass.name(),
                                mPipeline,
                                start.attempt().stage(),
                                mRun.remaining());
        return outlook == DeadlineBudget.DeadlineDecision.PROCEED
                ? null
                : asStarted(ErrorCode.DEADLINE_UNREACHABLE);
    }

    /** A request that has sent something is not refused early; its deadline is exceeded. */
    private ErrorCode asStarted(ErrorCode code) {
        return code == ErrorCode.DEADLINE_UNREACHABLE && !mLinks.isEmpty()
                ? ErrorCode.DEADLINE_EXCEEDED
                : code;
    }

    private WaitingAttempts.Waiting waiting(RunDecision.StartAttempt start) {
        return new WaitingAttempts.Waiting() {
            @Override
            public boolean launch() {
                return ActiveRequest.this.launch(start);
            }

            @Override
            public void refuse(ErrorCode code) {
                if (mRun.openAttempts().contains(start.attempt())) {
                    ErrorCode seen = asStarted(code);
                    apply(mRun.stop(seen, seen.title(), ActiveRequest.this::verdictNow));
                }
            }
        };
    }

    /** Returns true when the attempt was launched or is not wanted any more. */
    private boolean launch(RunDecision.StartAttempt start) {
        if (mRun.isEnded() || !mRun.openAttempts().contains(start.attempt())) {
            return true;
        }
        if (mCore.poison().table().isPoison(mContent)) {
            apply(mRun.stop(ErrorCode.POISON, ErrorCode.POISON.title(), this::verdictNow));
            return true;
        }
        Set<String> avoid = new HashSet<>();
        for (AttemptId earlier : start.earlierAttempts()) {
            AttemptLink link = mLinks.get(earlier);
            if (link != null) {
                avoid.add(link.server().name());
            }
        }
        boolean elsewhere = start.kind() == RunDecision.AttemptKind.HEDGE;
        Optional<BackendServer> server =
                mCore.picker().pick(start.stage(), avoid, elsewhere, mRequest.session(), mContent);
        if (server.isEmpty()) {
            return false;
        }
        send(start, server.get());
        return true;
    }

    private void send(RunDecision.StartAttempt start, BackendServer server) {
        AttemptId id = start.attempt();
        AttemptLink link =
                new AttemptLink(
                        id,
                        server,
                        mCore.picker().epoch(server.name()),
                        mOutcome.newAttempt(id.stage()),
                        mCore.loop(),
                        this,
                        mCore.clock().monotonicNanos());
        mLinks.put(id, link);
        if (start.kind() == RunDecision.AttemptKind.FIRST) {
            mCore.budget().onFirstAttempt(start.stage());
        }
        StageAttemptRequest call =
                new StageAttemptRequest(
                        start.stage().name(),
                        id.toString(),
                        mRun.id().toString(),
                        mRequest.workspace(),
                        start.input(),
                        mRequest.maxTokens(),
                        start.resumeFrom(),
                        start.stage().streams(),
                        mCore.settings().backend().progressTimeout());
        if (start.kind() != RunDecision.AttemptKind.HEDGE) {
            mCore.hedges()
                    .delay(mClass.name(), start.stage())
                    .ifPresent(delay -> mCore.loop().schedule(delay, () -> hedge(link, start)));
        }
        try {
            // Without warm-up limits the choice did not depend on the epoch.
            String epoch = mCore.settings().routing().warmup() ? link.epoch() : "";
            BackendClient.Attempt attempt = mCore.client().run(address(server), call, epoch, link);
            link.attach(attempt);
        } catch (BulrushvaleException e) {
            release(link, AttemptOutcome.NOT_RUN, 0);
            apply(mRun.onFailure(id, e.verdict(), e.code(), e.detail()));
        }
    }

    private void hedge(AttemptLink link, RunDecision.StartAttempt start) {
        Duration elapsed = mCore.clock().elapsedSince(link.startNanos());
        // A hedge that cannot start would still use up a repeat.
        boolean idle = mCore.waiting().isEmpty(start.stage().pool());
        if (idle
                && !link.trace().hasEnded()
                && mCore.hedges().shouldHedge(mClass.name(), start.stage(), elapsed)) {
            apply(mRun.startHedge());
        }
    }

    private void count(AttainmentOutcome cause) {
        mCore.attainment().onRequestEnded(mClass, mRequest.workspace(), cause, elapsed());
    }

    private AttainmentOutcome cause(RunDecision.Fail fail) {
        return switch (fail.code()) {
            case CANCELLED -> AttainmentOutcome.CALLER;
            case DEADLINE_EXCEEDED ->
                    mLinks.keySet().stream().anyMatch(id -> id.stage() == fail.stage())
                            ? AttainmentOutcome.STAGE
                            : AttainmentOutcome.QUEUE;
            case OVERLOADED, DEADLINE_UNREACHABLE, NO_BACKEND, POISON -> AttainmentOutcome.REFUSAL;
            default -> AttainmentOutcome.FAULT;
        };
    }

    private static BackendAddress address(BackendServer server) {
        return new BackendAddress(server.name(), server.address(), server.port());
    }

    private void cancel(AttemptId id) {
        AttemptLink link = mLinks.get(id);
        if (link != null && link.abort()) {
            mCore.client().cancel(address(link.server()), id.toString());
        }
    }

    private Verdict verdictNow(AttemptId id) {
        AttemptLink link = mLinks.get(id);
        return link == null ? Verdict.NOT_RUN : link.verdictNow();
    }

    private void release(AttemptLink link, AttemptOutcome end, long tokens) {
        if (link.release()) {
            boolean ran = end == AttemptOutcome.COMPLETED;
            long nanos = mCore.clock().elapsedSince(link.startNanos()).toNanos();
            double nanosPerToken = tokens > 0 ? (double) nanos / tokens : 0;
            mCore.picker().finished(link.server(), mContent, end, nanosPerToken);
            Stage stage = mPipeline.stages().get(link.id().stage());
            mCore.attainment()
                    .onAttemptEnded(
                            mClass.name(),
                            mRequest.workspace(),
                            stage.name(),
                            mCore.clock().elapsedSince(link.startNanos()),
                            ran);
            mCore.waiting().serve(stage.pool());
        }
    }

    @Override
    public void onText(AttemptLink link, long offset, String text) {
        apply(mRun.onText(link.id(), offset, text));
        abortIfClosed(link);
    }

    @Override
    public void onForeign(AttemptLink link, String attemptId) {
        mCore.metrics().count("bulrushvale.foreign.responses", "kind", "attempt");
        Optional<AttemptId> id = AttemptId.parse(attemptId);
        // The content was dropped by the adapter; the run only counts the foreign id.
        if (id.isPresent() && !mRun.openAttempts().contains(id.get())) {
            apply(mRun.onResult(new StageResult(id.get(), false, "", 0)));
        }
    }

    @Override
    public void onCompleted(AttemptLink link, String output, long tokens) {
        recordLatency(link);
        List<RunDecision> next = mRun.onResult(new StageResult(link.id(), true, output, tokens));
        release(link, AttemptOutcome.COMPLETED, tokens);
        apply(next);
    }

    @Override
    public void onStreamEnded(AttemptLink link, long tokens) {
        recordLatency(link);
        List<RunDecision> next = mRun.onEnd(link.id(), tokens);
        release(link, AttemptOutcome.COMPLETED, tokens);
        apply(next);
    }

    @Override
    public void onRefused(AttemptLink link, int status) {
        release(link, AttemptOutcome.NOT_RUN, 0);
        fail(link, ErrorCode.BACKEND_FAILED, "backend server refused the attempt: " + status);
    }

    @Override
    public void onFailed(AttemptLink link, BackendFailure failure, String detail) {
        AttemptOutcome end = end(link, failure);
        if (isCrash(link, failure)) {
            mCore.poison()
                    .onCrash(
                            link.server().name(),
                            link.epoch(),
                            () -> fail(link, ErrorCode.BACKEND_FAILED, detail));
            release(link, end, 0);
            return;
        }
        release(link, end, 0);
        if (failure != BackendFailure.ABORTED) {
            mCore.metrics().count("bulrushvale.backend.failures", "kind", failure.name());
            LOG.debugf("attempt %s failed: %s, %s", link.id(), failure, detail);
        }
        fail(link, ErrorCode.BACKEND_FAILED, detail);
    }

    /** A stream that breaks off counts as well, because the crash ends the connection. */
    private static boolean isCrash(AttemptLink link, BackendFailure failure) {
        boolean cut = failure == BackendFailure.RESET || failure == BackendFailure.CUT;
        return cut && !link.verdictNow().isSafeToRepeat();
    }

    private static AttemptOutcome end(AttemptLink link, BackendFailure failure) {
        if (link.verdictNow().isSafeToRepeat()) {
            return AttemptOutcome.NOT_RUN;
        }
        return switch (failure) {
            case STATUS -> AttemptOutcome.FAILED;
            case ABORTED -> AttemptOutcome.CANCELLED;
            default -> AttemptOutcome.LOST;
        };
    }

    private void fail(AttemptLink link, ErrorCode code, String detail) {
        apply(mRun.onFailure(link.id(), link.verdictNow(), code, detail));
    }

    private void abortIfClosed(AttemptLink link) {
        boolean open = !mRun.isEnded() && mRun.openAttempts().contains(link.id());
        if (!open && !link.trace().hasEnded()) {
            cancel(link.id());
        }
    }

    private void recordLatency(AttemptLink link) {
        String stage = mPipeline.stages().get(link.id().stage()).name();
        Duration elapsed = mCore.clock().elapsedSince(link.startNanos());
        mCore.latency().record(mClass.name(), stage, elapsed);
    }

    /** Returns the costs of the stages in the form of the caller listener. */
    static List<CallerResponse.StageCost> costs(List<StageSummary> stages) {
        return stages.stream()
                .map(
                        s ->
                                new CallerResponse.StageCost(
                                        s.stage(), s.attempts(), s.elapsed(), s.tokens()))
                .toList();
    }
}
