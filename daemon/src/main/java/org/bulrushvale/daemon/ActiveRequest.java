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
import org.bulrushvale.decision.warmup.AttemptOutcome;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.id.RequestId;
import org.bulrushvale.kernel.time.Clock;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * One request in progress: executes the decisions of its {@link RequestRun}.
 *
 * <p>Invariant: the listener receives exactly one call of {@code delivered} or {@code failed}.
 * Thread safety: owned by the event loop.
 */
final class ActiveRequest implements BackendAttempt.EventHandler {
    private static final Logger LOG = Logger.getLogger(ActiveRequest.class);

    private final CoreServices mCore;
    private final CallerRequest mRequest;
    private final WorkClass mClass;
    private final Pipeline mPipeline;
    private final RequestRun mRun;
    private final RequestVerdictTracker mVerdictTracker;
    private final InputContent mContent;
    private final Listener mListener;
    private final double mWorkspaceShare;
    private final long mStartNanos;
    private final long mDeadlineNanos;
    private final Map<AttemptId, BackendAttempt> mAttempts = new HashMap<>();
    private final Map<AttemptId, Long> mKnownCrashes = new HashMap<>();
    private final EventLoop.ScheduledTask mDeadlineTimer;

    ActiveRequest(
            CoreServices core,
            CallerRequest request,
            WorkClass workClass,
            Pipeline pipeline,
            double workspaceShare,
            Duration deadline,
            InputContent content,
            Listener listener) {
        mCore = core;
        mRequest = request;
        mClass = workClass;
        mPipeline = pipeline;
        mWorkspaceShare = workspaceShare;
        mContent = content;
        mListener = listener;
        mStartNanos = core.clock().monotonicNanos();
        mDeadlineNanos = mStartNanos + Clock.boundedNanos(deadline);
        mVerdictTracker = RequestVerdictTracker.of(pipeline);
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
     * Receives the text and the end of a request.
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
        apply(mRun.cancel(this::verdictAndForbidSending));
    }

    private void onDeadline() {
        apply(mRun.onDeadline(this::verdictAndForbidSending));
    }

    private void apply(List<RunDecision> decisions) {
        for (RunDecision decision : decisions) {
            if (decision instanceof RunDecision.StartAttempt start) {
                startOrQueue(start);
            } else if (decision instanceof RunDecision.CancelAttempt cancel) {
                cancel(cancel.attempt());
            } else if (decision instanceof RunDecision.DeliverText piece) {
                mListener.text(piece.offset(), piece.text());
            } else if (decision instanceof RunDecision.Deliver answer) {
                mDeadlineTimer.cancel();
                mCore.poison().onCompleted(mContent);
                count(AttainmentOutcome.MET);
                // Counted before the answer is sent, so a caller that has its answer finds the
                // request in the metrics.
                mCore.metrics().requestEnded(mClass.name(), "OK", Verdict.RAN.name(), elapsed());
                mListener.delivered(this, answer);
                RequestLog.delivered(this, answer.stages());
            } else if (decision instanceof RunDecision.Fail fail) {
                mDeadlineTimer.cancel();
                Verdict verdict = mVerdictTracker.verdict();
                count(outcome(fail));
                mCore.metrics()
                        .requestEnded(mClass.name(), fail.code().name(), verdict.name(), elapsed());
                mListener.failed(this, fail.code(), verdict, fail.detail());
                String stage = mPipeline.stages().get(fail.stage()).name();
                RequestLog.failed(this, stage, fail.code(), verdict, fail.detail());
            }
        }
    }

    private void startOrQueue(RunDecision.StartAttempt start) {
        ErrorCode refusalReason = refusalReason(start);
        if (refusalReason != null) {
            apply(mRun.stop(refusalReason, refusalReason.title(), this::verdictAndForbidSending));
            return;
        }
        if (start.kind() == RunDecision.AttemptKind.HEDGE) {
            // A hedge that has to wait cannot help and would take a queue slot from other requests.
            boolean idle = mCore.attemptQueues().isEmpty(start.stage().pool());
            if (!idle || mCore.poison().isHeldBack(mContent, this) || !launch(start)) {
                String detail = "no server is free for a second attempt";
                apply(
                        mRun.onFailure(
                                start.attempt(), Verdict.NOT_RUN, ErrorCode.OVERLOADED, detail));
            }
            return;
        }
        Duration work =
                mCore.deadlines().estimate(mClass.name(), mPipeline, start.attempt().stage());
        mCore.attemptQueues()
                .add(
                        start.stage().pool(),
                        new QueuedRequest<>(
                                queuedAttempt(start),
                                mClass.name(),
                                mClass.worth(),
                                mRequest.workspace(),
                                mWorkspaceShare,
                                mDeadlineNanos,
                                work));
    }

    /** Returns the reason not to start an attempt, or null if it may start. */
    private @Nullable ErrorCode refusalReason(RunDecision.StartAttempt start) {
        boolean hedge = start.kind() == RunDecision.AttemptKind.HEDGE;
        if (mCore.poison().isPoison(mContent)
                || !hedge && mCore.poison().isHeldBack(mContent, this)) {
            return ErrorCode.POISON;
        }
        DeadlineBudget.DeadlineDecision decision =
                mCore.deadlines()
                        .decide(
                                mClass.name(),
                                mPipeline,
                                start.attempt().stage(),
                                mRun.remaining());
        return decision == DeadlineBudget.DeadlineDecision.PROCEED
                ? null
                : codeAfterFirstSend(ErrorCode.DEADLINE_UNREACHABLE);
    }

    /**
     * Replaces {@code DEADLINE_UNREACHABLE} by {@code DEADLINE_EXCEEDED} once an attempt exists,
     * because only a request without attempts counts as refused early.
     */
    private ErrorCode codeAfterFirstSend(ErrorCode code) {
        return code == ErrorCode.DEADLINE_UNREACHABLE && !mAttempts.isEmpty()
                ? ErrorCode.DEADLINE_EXCEEDED
                : code;
    }

    private AttemptQueues.QueuedAttempt queuedAttempt(RunDecision.StartAttempt start) {
        return new AttemptQueues.QueuedAttempt() {
            @Override
            public boolean launch() {
                return ActiveRequest.this.launch(start);
            }

            @Override
            public void refuse(ErrorCode code) {
                if (mRun.openAttempts().contains(start.attempt())) {
                    ErrorCode refusalCode = codeAfterFirstSend(code);
                    apply(
                            mRun.stop(
                                    refusalCode,
                                    refusalCode.title(),
                                    ActiveRequest.this::verdictAndForbidSending));
                }
            }
        };
    }

    /**
     * Returns true when the attempt was launched or is no longer needed, false when it must wait.
     */
    private boolean launch(RunDecision.StartAttempt start) {
        if (mRun.isEnded() || !mRun.openAttempts().contains(start.attempt())) {
            return true;
        }
        if (mCore.poison().isPoison(mContent) || mCore.poison().isHeldBack(mContent, this)) {
            apply(
                    mRun.stop(
                            ErrorCode.POISON,
                            ErrorCode.POISON.title(),
                            this::verdictAndForbidSending));
            return true;
        }
        Set<String> avoid = new HashSet<>();
        for (AttemptId earlier : start.earlierAttempts()) {
            BackendAttempt attempt = mAttempts.get(earlier);
            if (attempt != null) {
                avoid.add(attempt.server().name());
            }
        }
        boolean mustAvoid = start.kind() == RunDecision.AttemptKind.HEDGE;
        Optional<BackendServer> server =
                mCore.picker()
                        .pick(
                                start.stage(),
                                avoid,
                                mustAvoid,
                                mRequest.session(),
                                mContent.whole());
        if (server.isEmpty()) {
            return false;
        }
        send(start, server.get());
        return true;
    }

    private void send(RunDecision.StartAttempt start, BackendServer server) {
        AttemptId id = start.attempt();
        BackendAttempt attempt =
                new BackendAttempt(
                        id,
                        server,
                        mCore.picker().epoch(server.name()),
                        mVerdictTracker.newAttempt(id.stage()),
                        mCore.loop(),
                        this,
                        mCore.clock().monotonicNanos());
        mAttempts.put(id, attempt);
        mKnownCrashes.put(id, mCore.poison().onAttemptStarted(mContent, this));
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
                    .ifPresent(delay -> mCore.loop().schedule(delay, () -> hedge(attempt, start)));
        }
        try {
            // Without warm-up limits the choice of the server does not depend on its epoch, so the
            // call does not check the epoch.
            String epoch = mCore.settings().routing().warmup() ? attempt.epoch() : "";
            BackendClient.Attempt clientAttempt =
                    mCore.client().sendAttempt(address(server), call, epoch, attempt);
            attempt.setClientAttempt(clientAttempt);
        } catch (BulrushvaleException e) {
            release(attempt, AttemptOutcome.NOT_RUN, 0);
            apply(mRun.onFailure(id, e.verdict(), e.code(), e.detail()));
        }
    }

    private void hedge(BackendAttempt attempt, RunDecision.StartAttempt start) {
        Duration elapsed = mCore.clock().elapsedSince(attempt.startNanos());
        // A hedge that cannot start would still take from the retry budget.
        boolean idle = mCore.attemptQueues().isEmpty(start.stage().pool());
        if (idle
                && !attempt.stateMachine().hasEnded()
                && mCore.hedges().shouldHedge(mClass.name(), start.stage(), elapsed)) {
            apply(mRun.startHedge());
        }
    }

    private void count(AttainmentOutcome outcome) {
        mCore.attainment().onRequestEnded(mClass, mRequest.workspace(), outcome, elapsed());
    }

    private AttainmentOutcome outcome(RunDecision.Fail fail) {
        return switch (fail.code()) {
            case CANCELLED -> AttainmentOutcome.CALLER;
            case DEADLINE_EXCEEDED ->
                    mAttempts.keySet().stream().anyMatch(id -> id.stage() == fail.stage())
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
        BackendAttempt attempt = mAttempts.get(id);
        if (attempt != null && attempt.abort()) {
            mCore.client().cancel(address(attempt.server()), id.toString());
        }
    }

    private Verdict verdictAndForbidSending(AttemptId id) {
        BackendAttempt attempt = mAttempts.get(id);
        return attempt == null ? Verdict.NOT_RUN : attempt.verdictAndForbidSending();
    }

    private void release(BackendAttempt attempt, AttemptOutcome end, long tokens) {
        if (attempt.markReleased()) {
            boolean ran = end == AttemptOutcome.COMPLETED;
            long nanos = mCore.clock().elapsedSince(attempt.startNanos()).toNanos();
            double nanosPerToken = tokens > 0 ? (double) nanos / tokens : 0;
            mCore.picker().finished(attempt.server(), mContent.whole(), end, nanosPerToken);
            Stage stage = mPipeline.stages().get(attempt.id().stage());
            mCore.attainment()
                    .onAttemptEnded(
                            mClass.name(),
                            mRequest.workspace(),
                            stage.name(),
                            mCore.clock().elapsedSince(attempt.startNanos()),
                            ran);
            mCore.attemptQueues().serve(stage.pool());
        }
    }

    @Override
    public void onText(BackendAttempt attempt, long offset, String text) {
        apply(mRun.onText(attempt.id(), offset, text));
        abortUnlessOpen(attempt);
    }

    @Override
    public void onForeignAnswer(BackendAttempt attempt, String attemptId) {
        mCore.metrics().count("bulrushvale.foreign.responses", "kind", "attempt");
        Optional<AttemptId> id = AttemptId.parse(attemptId);
        // The adapter has dropped the content; the run only counts the foreign id.
        if (id.isPresent() && !mRun.openAttempts().contains(id.get())) {
            apply(mRun.onResult(new StageResult(id.get(), false, "", 0)));
        }
    }

    @Override
    public void onCompleted(BackendAttempt attempt, String output, long tokens) {
        recordLatency(attempt);
        List<RunDecision> next = mRun.onResult(new StageResult(attempt.id(), true, output, tokens));
        release(attempt, AttemptOutcome.COMPLETED, tokens);
        apply(next);
    }

    @Override
    public void onStreamEnded(BackendAttempt attempt, long tokens) {
        recordLatency(attempt);
        List<RunDecision> next = mRun.onEnd(attempt.id(), tokens);
        release(attempt, AttemptOutcome.COMPLETED, tokens);
        apply(next);
    }

    @Override
    public void onRefused(BackendAttempt attempt, int status) {
        release(attempt, AttemptOutcome.NOT_RUN, 0);
        fail(
                attempt,
                ErrorCode.BACKEND_FAILED,
                "backend server refused the attempt with status " + status);
    }

    @Override
    public void onFailed(BackendAttempt attempt, BackendFailure failure, String detail) {
        AttemptOutcome end = end(attempt, failure);
        if (isCrash(attempt, failure)) {
            mCore.poison()
                    .onCrash(
                            attempt.server().name(),
                            attempt.epoch(),
                            mContent,
                            mKnownCrashes.getOrDefault(attempt.id(), 0L),
                            () -> fail(attempt, ErrorCode.BACKEND_FAILED, detail));
            release(attempt, end, 0);
            return;
        }
        release(attempt, end, 0);
        if (failure != BackendFailure.ABORTED) {
            mCore.metrics().count("bulrushvale.backend.failures", "kind", failure.name());
            LOG.debugf("attempt %s failed: %s: %s", attempt.id(), failure, detail);
        }
        fail(attempt, ErrorCode.BACKEND_FAILED, detail);
    }

    /**
     * Returns true when the connection was lost after something was sent. A stream that breaks off
     * counts as well, because the crash of a server ends its connections.
     */
    private static boolean isCrash(BackendAttempt attempt, BackendFailure failure) {
        boolean connectionLost = failure == BackendFailure.RESET || failure == BackendFailure.CUT;
        return connectionLost && !attempt.verdictAndForbidSending().isSafeToRepeat();
    }

    private static AttemptOutcome end(BackendAttempt attempt, BackendFailure failure) {
        if (attempt.verdictAndForbidSending().isSafeToRepeat()) {
            return AttemptOutcome.NOT_RUN;
        }
        return switch (failure) {
            case STATUS -> AttemptOutcome.FAILED;
            case ABORTED -> AttemptOutcome.CANCELLED;
            default -> AttemptOutcome.LOST;
        };
    }

    private void fail(BackendAttempt attempt, ErrorCode code, String detail) {
        apply(mRun.onFailure(attempt.id(), attempt.verdictAndForbidSending(), code, detail));
    }

    private void abortUnlessOpen(BackendAttempt attempt) {
        boolean open = !mRun.isEnded() && mRun.openAttempts().contains(attempt.id());
        if (!open && !attempt.stateMachine().hasEnded()) {
            cancel(attempt.id());
        }
    }

    private void recordLatency(BackendAttempt attempt) {
        String stage = mPipeline.stages().get(attempt.id().stage()).name();
        Duration elapsed = mCore.clock().elapsedSince(attempt.startNanos());
        mCore.latency().record(mClass.name(), stage, elapsed);
    }

    /** Converts the summaries of the stages into the stage costs of a caller answer. */
    static List<CallerResponse.StageCost> costs(List<StageSummary> stages) {
        return stages.stream()
                .map(
                        summary ->
                                new CallerResponse.StageCost(
                                        summary.stage(),
                                        summary.attempts(),
                                        summary.elapsed(),
                                        summary.tokens()))
                .toList();
    }
}
