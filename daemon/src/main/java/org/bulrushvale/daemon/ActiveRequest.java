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
import org.bulrushvale.adapters.backend.StageCall;
import org.bulrushvale.adapters.caller.CallerRequest;
import org.bulrushvale.decision.admission.QueuedRequest;
import org.bulrushvale.decision.attainment.Cause;
import org.bulrushvale.decision.config.BackendServer;
import org.bulrushvale.decision.config.Pipeline;
import org.bulrushvale.decision.config.Stage;
import org.bulrushvale.decision.config.WorkClass;
import org.bulrushvale.decision.outcome.RequestOutcome;
import org.bulrushvale.decision.request.AttemptId;
import org.bulrushvale.decision.request.RequestRun;
import org.bulrushvale.decision.request.RunDecision;
import org.bulrushvale.decision.request.StageResult;
import org.bulrushvale.decision.request.StageSummary;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.id.RequestId;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;
import org.jboss.logging.Logger;

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
    private final RequestOutcome mOutcome;
    private final Listener mListener;
    private final double mShare;
    private final long mStartNanos;
    private final long mDeadlineNanos;
    private final Map<AttemptId, AttemptLink> mLinks = new HashMap<>();
    private final EventLoop.Timer mDeadlineTimer;

    ActiveRequest(
            CoreServices core,
            CallerRequest request,
            WorkClass workClass,
            Pipeline pipeline,
            double share,
            Duration deadline,
            Listener listener) {
        mCore = core;
        mRequest = request;
        mClass = workClass;
        mPipeline = pipeline;
        mShare = share;
        mListener = listener;
        mStartNanos = core.clock().monotonicNanos();
        mDeadlineNanos = mStartNanos + deadline.toNanos();
        mOutcome = RequestOutcome.of(pipeline);
        mRun =
                RequestRun.builder(RequestId.random(core.random()), pipeline, core.clock())
                        .deadline(deadline)
                        .drops(core.drops())
                        .gate(core.budget())
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
        return mRun.ended();
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
                count(Cause.MET);
                mListener.delivered(this, answer);
                mCore.metrics().requestEnded(mClass.name(), "OK", Verdict.RAN.name(), elapsed());
                RequestLog.delivered(this, answer.stages());
            } else if (decision instanceof RunDecision.Fail fail) {
                mDeadlineTimer.cancel();
                Verdict verdict = mOutcome.verdict();
                count(cause(fail));
                mListener.failed(this, fail.code(), verdict, fail.detail());
                mCore.metrics()
                        .requestEnded(mClass.name(), fail.code().name(), verdict.name(), elapsed());
                String stage = mPipeline.stages().get(fail.stage()).name();
                RequestLog.failed(this, stage, fail.code(), verdict, fail.detail());
            }
        }
    }

    private void startOrWait(RunDecision.StartAttempt start) {
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

    private WaitingAttempts.Waiting waiting(RunDecision.StartAttempt start) {
        return new WaitingAttempts.Waiting() {
            @Override
            public boolean launch() {
                return ActiveRequest.this.launch(start);
            }

            @Override
            public void refuse(ErrorCode code) {
                if (mRun.openAttempts().contains(start.attempt())) {
                    apply(mRun.stop(code, code.title(), ActiveRequest.this::verdictNow));
                }
            }
        };
    }

    /** Returns true when the attempt was launched or is not wanted any more. */
    private boolean launch(RunDecision.StartAttempt start) {
        if (mRun.ended() || !mRun.openAttempts().contains(start.attempt())) {
            return true;
        }
        Set<String> avoid = new HashSet<>();
        for (AttemptId earlier : start.earlier()) {
            AttemptLink link = mLinks.get(earlier);
            if (link != null) {
                avoid.add(link.server().name());
            }
        }
        Optional<BackendServer> server =
                mCore.picker().pick(start.stage(), avoid, mRequest.session());
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
                        mOutcome.newAttempt(id.stage()),
                        mCore.loop(),
                        this,
                        mCore.clock().monotonicNanos());
        mLinks.put(id, link);
        if (start.kind() == RunDecision.AttemptKind.FIRST) {
            mCore.budget().onFirstAttempt(start.stage());
        }
        StageCall call =
                new StageCall(
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
            BackendClient.Attempt attempt = mCore.client().run(address(server), call, link);
            link.attach(attempt);
        } catch (BulrushvaleException e) {
            release(link, false);
            apply(mRun.onFailure(id, e.verdict(), e.code(), e.detail()));
        }
    }

    private void hedge(AttemptLink link, RunDecision.StartAttempt start) {
        Duration elapsed = mCore.clock().elapsedSince(link.startNanos());
        if (!link.trace().hasEnded()
                && mCore.hedges().shouldHedge(mClass.name(), start.stage(), elapsed)) {
            apply(mRun.hedge());
        }
    }

    private void count(Cause cause) {
        mCore.attainment().onEnd(mClass, mRequest.workspace(), cause, elapsed());
    }

    private Cause cause(RunDecision.Fail fail) {
        return switch (fail.code()) {
            case CANCELLED -> Cause.CALLER;
            case DEADLINE_EXCEEDED ->
                    mLinks.keySet().stream().anyMatch(id -> id.stage() == fail.stage())
                            ? Cause.STAGE
                            : Cause.QUEUE;
            case OVERLOADED, DEADLINE_UNREACHABLE, NO_BACKEND, POISON -> Cause.REFUSAL;
            default -> Cause.FAULT;
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

    private void release(AttemptLink link, boolean ran) {
        if (link.release()) {
            mCore.picker().finished(link.server(), ran);
            Stage stage = mPipeline.stages().get(link.id().stage());
            mCore.attainment()
                    .onAttempt(
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
        release(link, true);
        apply(next);
    }

    @Override
    public void onStreamEnded(AttemptLink link, long tokens) {
        recordLatency(link);
        List<RunDecision> next = mRun.onEnd(link.id(), tokens);
        release(link, true);
        apply(next);
    }

    @Override
    public void onRefused(AttemptLink link, int status) {
        release(link, false);
        fail(link, ErrorCode.BACKEND_FAILED, "backend server refused the attempt: " + status);
    }

    @Override
    public void onFailed(AttemptLink link, BackendFailure failure, String detail) {
        release(link, false);
        if (failure != BackendFailure.ABORTED) {
            mCore.metrics().count("bulrushvale.backend.failures", "kind", failure.name());
            LOG.debugf("attempt %s failed: %s, %s", link.id(), failure, detail);
        }
        fail(link, ErrorCode.BACKEND_FAILED, detail);
    }

    private void fail(AttemptLink link, ErrorCode code, String detail) {
        apply(mRun.onFailure(link.id(), link.verdictNow(), code, detail));
    }

    private void abortIfClosed(AttemptLink link) {
        boolean open = !mRun.ended() && mRun.openAttempts().contains(link.id());
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
    static List<org.bulrushvale.adapters.caller.CallerAnswer.StageCost> costs(
            List<StageSummary> stages) {
        return stages.stream()
                .map(
                        s ->
                                new org.bulrushvale.adapters.caller.CallerAnswer.StageCost(
                                        s.stage(), s.attempts(), s.elapsed(), s.tokens()))
                .toList();
    }
}
