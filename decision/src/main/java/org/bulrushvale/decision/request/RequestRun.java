package org.bulrushvale.decision.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.bulrushvale.decision.config.Pipeline;
import org.bulrushvale.decision.request.RunDecision.AttemptKind;
import org.bulrushvale.kernel.id.RequestId;
import org.bulrushvale.kernel.time.Clock;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * One request on its way through the stages of its pipeline.
 *
 * <pre>{@code
 * RequestRun run = RequestRun.builder(id, pipeline, clock).random(random).gate(budget).build();
 * for (RunDecision next : run.start("input")) { ... }
 * }</pre>
 *
 * <p>Invariants: only the first complete result of an open attempt of the current stage is used;
 * every other result is dropped and counted. A stage that is not repeatable is sent again only when
 * all its attempts are proven not to have run. A run ends exactly once.
 *
 * <p>Thread safety: not safe; owned by the event loop.
 */
public final class RequestRun {
    private final RequestId mId;
    private final Clock mClock;
    private final RepeatLimiter mGate;
    private final SplittableRandom mRandom;
    private final DropCounts mDrops;
    private final long mDeadlineNanos;
    private final int mMaxAttempts;
    private final List<StageState> mStages = new ArrayList<>();
    private final List<StageSummary> mSummaries = new ArrayList<>();
    private StreamAssembler mStream = new StreamAssembler();
    private String mInput = "";
    private int mCurrent;
    private boolean mStarted;
    private boolean mEnded;
    private boolean mCancelled;

    private RequestRun(Builder builder) {
        mId = builder.mId;
        mClock = builder.mClock;
        mGate = builder.mGate;
        mRandom = Objects.requireNonNull(builder.mRandom, "random");
        mDrops = builder.mDrops;
        mDeadlineNanos = mClock.monotonicNanos() + builder.mDeadline.toNanos();
        mMaxAttempts = builder.mMaxAttempts;
        builder.mPipeline.stages().forEach(stage -> mStages.add(new StageState(stage)));
    }

    /** Returns a builder for a request that arrives now. */
    public static Builder builder(RequestId id, Pipeline pipeline, Clock clock) {
        return new Builder(id, pipeline, clock);
    }

    /** Starts the first stage. */
    public List<RunDecision> start(String input) {
        if (mStarted) {
            throw new IllegalStateException("request already started: " + mId);
        }
        mStarted = true;
        mInput = input;
        return mEnded ? List.of() : startCurrent();
    }

    /** Takes a complete answer, or drops it when it does not belong to an open attempt. */
    public List<RunDecision> onResult(StageResult result) {
        AttemptId attempt = result.attempt();
        if (dropped(attempt)) {
            return List.of();
        }
        if (!result.complete()) {
            return failAttempt(
                    attempt, Verdict.MAY_HAVE_RUN, ErrorCode.BACKEND_FAILED, "incomplete answer");
        }
        if (mStream.resumeOffset() > 0) {
            return failAttempt(
                    attempt, Verdict.RAN, ErrorCode.BACKEND_FAILED, "stream ended without its end");
        }
        return accept(attempt, result.output(), result.tokens());
    }

    /**
     * Takes one piece of a streamed answer. The first attempt that delivers a piece becomes the
     * only one: two attempts may generate different texts, which must not be mixed.
     */
    public List<RunDecision> onText(AttemptId attempt, long offset, String text) {
        if (dropped(attempt)) {
            return List.of();
        }
        if (!current().stage().streams()) {
            return failAttempt(
                    attempt,
                    Verdict.MAY_HAVE_RUN,
                    ErrorCode.BACKEND_FAILED,
                    "stage does not stream");
        }
        switch (mStream.accept(offset, text)) {
            case DELIVER:
                List<RunDecision> next = new ArrayList<>();
                cancelOthers(attempt, next);
                next.add(new RunDecision.DeliverText(offset, text));
                return next;
            case SKIP:
                return List.of();
            case REJECT:
            default:
                return failAttempt(
                        attempt,
                        Verdict.MAY_HAVE_RUN,
                        ErrorCode.BACKEND_FAILED,
                        "stream has a gap");
        }
    }

    /** Takes the end of a streamed answer; a wrong token count fails the attempt. */
    public List<RunDecision> onEnd(AttemptId attempt, long tokens) {
        if (dropped(attempt)) {
            return List.of();
        }
        Optional<String> text = mStream.end(tokens);
        if (text.isEmpty()) {
            return failAttempt(
                    attempt, Verdict.MAY_HAVE_RUN, ErrorCode.BACKEND_FAILED, "stream is truncated");
        }
        return accept(attempt, text.get(), tokens);
    }

    /** Takes the failure of an attempt; a failure of an attempt that is not open has no effect. */
    public List<RunDecision> onFailure(
            AttemptId attempt, Verdict verdict, ErrorCode code, String detail) {
        if (mEnded || !current().isOpen(attempt)) {
            return List.of();
        }
        return failAttempt(attempt, verdict, code, detail);
    }

    /** Starts a second attempt of a slow stage when the stage and the budget permit it. */
    public List<RunDecision> startHedge() {
        if (!mStarted || mEnded || mCancelled || mStream.resumeOffset() > 0 || pastDeadline()) {
            return List.of();
        }
        StageState stage = current();
        boolean oneOpen = stage.openAttempts().size() == 1;
        if (!oneOpen || !stage.stage().repeatable() || stage.attempts() >= mMaxAttempts) {
            return List.of();
        }
        return mGate.tryAcquire(stage.stage()) ? List.of(open(AttemptKind.HEDGE)) : List.of();
    }

    /**
     * Cancels the request for its caller. An attempt of a non-repeatable stage that may have been
     * sent is left to finish, because stopping it midway would leave its effect unknown; nothing is
     * started after it.
     *
     * @param verdicts verdict of each open attempt as its connection gives it now
     */
    public List<RunDecision> cancel(Function<AttemptId, Verdict> verdicts) {
        if (mEnded) {
            return List.of();
        }
        StageState stage = current();
        boolean sent =
                !stage.stage().repeatable()
                        && stage.openAttempts().stream()
                                .anyMatch(id -> !verdicts.apply(id).isSafeToRepeat());
        if (sent) {
            mCancelled = true;
            return List.of();
        }
        return stop(ErrorCode.CANCELLED, "cancelled by the caller", verdicts);
    }

    /** Ends the request when its deadline has passed. */
    public List<RunDecision> onDeadline(Function<AttemptId, Verdict> verdicts) {
        if (mEnded || !pastDeadline()) {
            return List.of();
        }
        return stop(ErrorCode.DEADLINE_EXCEEDED, "deadline exceeded", verdicts);
    }

    /** Ends the request with an error; open attempts are cancelled. */
    public List<RunDecision> stop(
            ErrorCode code, String detail, Function<AttemptId, Verdict> verdicts) {
        if (mEnded) {
            return List.of();
        }
        List<RunDecision> next = new ArrayList<>();
        for (AttemptId open : current().closeAll(verdicts)) {
            next.add(new RunDecision.CancelAttempt(open));
        }
        next.add(end(code, detail));
        return next;
    }

    /** Returns the request id. */
    public RequestId id() {
        return mId;
    }

    /** Returns the index of the current stage. */
    public int currentStage() {
        return mCurrent;
    }

    /** Returns the open attempts of the current stage. */
    public List<AttemptId> openAttempts() {
        return mEnded ? List.of() : current().openAttempts();
    }

    /** Returns the time left until the deadline; negative when it has passed. */
    public Duration remaining() {
        return Duration.ofNanos(mDeadlineNanos - mClock.monotonicNanos());
    }

    /** Returns true when the request was delivered or failed. */
    public boolean isEnded() {
        return mEnded;
    }

    /** Returns the verdict over all stages; open attempts count as {@code MAY_HAVE_RUN}. */
    public Verdict verdict() {
        return RequestVerdict.of(mStages);
    }

    private StageState current() {
        return mStages.get(mCurrent);
    }

    private boolean pastDeadline() {
        return mClock.monotonicNanos() - mDeadlineNanos >= 0;
    }

    private List<RunDecision> startCurrent() {
        if (mCancelled) {
            return List.of(end(ErrorCode.CANCELLED, "cancelled by the caller"));
        }
        if (pastDeadline()) {
            return List.of(end(ErrorCode.DEADLINE_EXCEEDED, "deadline exceeded"));
        }
        return List.of(open(AttemptKind.FIRST));
    }

    private RunDecision open(AttemptKind kind) {
        StageState stage = current();
        List<AttemptId> earlier = stage.issued();
        AttemptId attempt = new AttemptId(mId, mCurrent, stage.attempts() + 1, mRandom.nextLong());
        stage.open(attempt, mClock.monotonicNanos());
        return new RunDecision.StartAttempt(
                attempt, stage.stage(), mInput, mStream.resumeOffset(), kind, earlier);
    }

    private boolean dropped(AttemptId attempt) {
        if (!mEnded && current().isOpen(attempt)) {
            return false;
        }
        mDrops.add(dropKind(attempt));
        return true;
    }

    private DropKind dropKind(AttemptId attempt) {
        int stage = attempt.stage();
        if (stage < 0 || stage >= mStages.size() || !mStages.get(stage).knows(attempt)) {
            return DropKind.FOREIGN;
        }
        if (mStages.get(stage).isAccepted(attempt)) {
            return DropKind.DUPLICATE;
        }
        return stage < mCurrent && !mEnded ? DropKind.REORDERED : DropKind.LATE;
    }

    private List<RunDecision> accept(AttemptId attempt, String output, long tokens) {
        List<RunDecision> next = new ArrayList<>();
        StageState stage = current();
        stage.accept(attempt);
        cancelOthers(attempt, next);
        Duration elapsed = mClock.elapsedSince(stage.startNanos());
        mSummaries.add(new StageSummary(stage.stage().name(), stage.attempts(), elapsed, tokens));
        if (mCurrent + 1 == mStages.size()) {
            mEnded = true;
            next.add(new RunDecision.Deliver(output, tokens, List.copyOf(mSummaries)));
            return next;
        }
        mCurrent++;
        mInput = output;
        mStream = new StreamAssembler();
        next.addAll(startCurrent());
        return next;
    }

    private void cancelOthers(AttemptId kept, List<RunDecision> next) {
        for (AttemptId other : current().openAttempts()) {
            if (!other.equals(kept)) {
                current().close(other, Verdict.MAY_HAVE_RUN);
                next.add(new RunDecision.CancelAttempt(other));
            }
        }
    }

    private List<RunDecision> failAttempt(
            AttemptId attempt, Verdict verdict, ErrorCode code, String detail) {
        StageState stage = current();
        stage.close(attempt, verdict);
        if (!stage.openAttempts().isEmpty()) {
            return List.of();
        }
        if (mCancelled) {
            return List.of(end(ErrorCode.CANCELLED, "cancelled by the caller"));
        }
        if (pastDeadline()) {
            return List.of(end(ErrorCode.DEADLINE_EXCEEDED, "deadline exceeded"));
        }
        boolean repeat =
                stage.attempts() < mMaxAttempts
                        && stage.mayRepeat()
                        && mGate.tryAcquire(stage.stage());
        return List.of(repeat ? open(AttemptKind.RETRY) : end(code, detail));
    }

    private RunDecision end(ErrorCode code, String detail) {
        mEnded = true;
        return new RunDecision.Fail(code, verdict(), detail, mCurrent);
    }

    /**
     * Collects the parts of a run.
     *
     * <p>Thread safety: not safe; used by one thread.
     */
    public static final class Builder {
        private final RequestId mId;
        private final Pipeline mPipeline;
        private final Clock mClock;
        private RepeatLimiter mGate = stage -> false;
        private @Nullable SplittableRandom mRandom;
        private DropCounts mDrops = new DropCounts();
        private Duration mDeadline = Duration.ofSeconds(5);
        private int mMaxAttempts = 3;

        private Builder(RequestId id, Pipeline pipeline, Clock clock) {
            mId = id;
            mPipeline = pipeline;
            mClock = clock;
        }

        /** Sets what grants retries and hedges; without it there are none. */
        public Builder repeatLimiter(RepeatLimiter gate) {
            mGate = gate;
            return this;
        }

        /** Sets the source of the attempt nonces; required, as it is the caller's to seed. */
        public Builder random(SplittableRandom random) {
            mRandom = random;
            return this;
        }

        /** Sets the counters of dropped results, shared by all requests of a process. */
        public Builder drops(DropCounts drops) {
            mDrops = drops;
            return this;
        }

        /** Sets the time that the request may take from now. */
        public Builder deadline(Duration deadline) {
            mDeadline = deadline;
            return this;
        }

        /** Sets the upper limit of attempts per stage, hedges included. */
        public Builder maxAttempts(int maxAttempts) {
            mMaxAttempts = maxAttempts;
            return this;
        }

        /** Returns the run. */
        public RequestRun build() {
            return new RequestRun(this);
        }
    }
}
