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
 * The run of one request through the stages of its pipeline. It starts no work itself: each method
 * takes an event and returns what the caller must do next.
 *
 * <pre>{@code
 * RequestRun run =
 *         RequestRun.builder(id, pipeline, clock)
 *                 .random(random)
 *                 .repeatLimiter(budget)
 *                 .build();
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
    private final RepeatLimiter mRepeatLimiter;
    private final SplittableRandom mRandom;
    private final DropCounts mDropCounts;
    private final long mDeadlineNanos;
    private final int mMaxAttempts;
    private final List<StageState> mStages = new ArrayList<>();
    private final List<StageSummary> mSummaries = new ArrayList<>();
    private StreamAssembler mStream = new StreamAssembler();
    private String mInput = "";
    private int mCurrentStage;
    private boolean mStarted;
    private boolean mEnded;
    private boolean mCancelled;

    private RequestRun(Builder builder) {
        mId = builder.mId;
        mClock = builder.mClock;
        mRepeatLimiter = builder.mRepeatLimiter;
        mRandom = Objects.requireNonNull(builder.mRandom, "random");
        mDropCounts = builder.mDropCounts;
        mDeadlineNanos = mClock.nanosAfter(builder.mDeadline);
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
        return mEnded ? List.of() : startCurrentStage();
    }

    /** Handles an answer that arrived as a whole; drops it when its attempt is not open. */
    public List<RunDecision> onResult(StageResult result) {
        AttemptId attempt = result.attempt();
        if (dropUnlessOpen(attempt)) {
            return List.of();
        }
        if (!result.complete()) {
            return failAttempt(
                    attempt, Verdict.MAY_HAVE_RUN, ErrorCode.BACKEND_FAILED, "incomplete answer");
        }
        if (mStream.resumeOffset() > 0) {
            return failAttempt(
                    attempt,
                    Verdict.RAN,
                    ErrorCode.BACKEND_FAILED,
                    "stream ended without an end event");
        }
        return acceptResult(attempt, result.output(), result.tokens());
    }

    /**
     * Handles one chunk of a streamed answer. The first attempt that delivers a chunk becomes the
     * only one, because two attempts may generate different texts, which must not be mixed.
     */
    public List<RunDecision> onText(AttemptId attempt, long offset, String text) {
        if (dropUnlessOpen(attempt)) {
            return List.of();
        }
        if (!currentState().stage().streams()) {
            return failAttempt(
                    attempt,
                    Verdict.MAY_HAVE_RUN,
                    ErrorCode.BACKEND_FAILED,
                    "stage does not stream");
        }
        switch (mStream.accept(offset, text)) {
            case DELIVER:
                List<RunDecision> decisions = new ArrayList<>();
                cancelOthers(attempt, decisions);
                decisions.add(new RunDecision.DeliverText(offset, text));
                return decisions;
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

    /** Handles the end of a streamed answer; a wrong token count fails the attempt. */
    public List<RunDecision> onEnd(AttemptId attempt, long tokens) {
        if (dropUnlessOpen(attempt)) {
            return List.of();
        }
        Optional<String> text = mStream.end(tokens);
        if (text.isEmpty()) {
            return failAttempt(
                    attempt, Verdict.MAY_HAVE_RUN, ErrorCode.BACKEND_FAILED, "stream is truncated");
        }
        return acceptResult(attempt, text.get(), tokens);
    }

    /** Handles the failure of an attempt; has no effect when the attempt is not open. */
    public List<RunDecision> onFailure(
            AttemptId attempt, Verdict verdict, ErrorCode code, String detail) {
        if (mEnded || !currentState().isOpen(attempt)) {
            return List.of();
        }
        return failAttempt(attempt, verdict, code, detail);
    }

    /**
     * Starts a second attempt of a slow stage, when the stage is repeatable and the limits of
     * attempts and repeats permit it. A stream that has delivered text gets none.
     */
    public List<RunDecision> startHedge() {
        if (!mStarted || mEnded || mCancelled || mStream.resumeOffset() > 0 || isPastDeadline()) {
            return List.of();
        }
        StageState stage = currentState();
        boolean oneOpen = stage.openAttempts().size() == 1;
        if (!oneOpen || !stage.stage().repeatable() || stage.attempts() >= mMaxAttempts) {
            return List.of();
        }
        return mRepeatLimiter.tryAcquire(stage.stage())
                ? List.of(openAttempt(AttemptKind.HEDGE))
                : List.of();
    }

    /**
     * Cancels the request on behalf of its caller. If the current stage is not repeatable and an
     * open attempt may have run, the attempt is left to finish, because stopping it midway would
     * leave its effect unknown; nothing is started after it.
     *
     * @param verdicts returns the present verdict of an open attempt, as known from its connection
     */
    public List<RunDecision> cancel(Function<AttemptId, Verdict> verdicts) {
        if (mEnded) {
            return List.of();
        }
        StageState stage = currentState();
        boolean mayHaveRun =
                !stage.stage().repeatable()
                        && stage.openAttempts().stream()
                                .anyMatch(id -> !verdicts.apply(id).isSafeToRepeat());
        if (mayHaveRun) {
            mCancelled = true;
            return List.of();
        }
        return stop(ErrorCode.CANCELLED, "cancelled by the caller", verdicts);
    }

    /** Ends the request when its deadline has passed. */
    public List<RunDecision> onDeadline(Function<AttemptId, Verdict> verdicts) {
        if (mEnded || !isPastDeadline()) {
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
        List<RunDecision> decisions = new ArrayList<>();
        for (AttemptId open : currentState().closeAll(verdicts)) {
            decisions.add(new RunDecision.CancelAttempt(open));
        }
        decisions.add(endWithError(code, detail));
        return decisions;
    }

    /** Returns the request id. */
    public RequestId id() {
        return mId;
    }

    /** Returns the index of the current stage. */
    public int currentStage() {
        return mCurrentStage;
    }

    /** Returns the open attempts of the current stage. */
    public List<AttemptId> openAttempts() {
        return mEnded ? List.of() : currentState().openAttempts();
    }

    /** Returns the time left until the deadline; negative when it has passed. */
    public Duration remaining() {
        return Duration.ofNanos(mDeadlineNanos - mClock.monotonicNanos());
    }

    /** Returns true when the answer was delivered or the request has failed. */
    public boolean isEnded() {
        return mEnded;
    }

    /** Returns the verdict over all stages; open attempts count as {@code MAY_HAVE_RUN}. */
    public Verdict verdict() {
        return RequestVerdict.of(mStages);
    }

    private StageState currentState() {
        return mStages.get(mCurrentStage);
    }

    private boolean isPastDeadline() {
        return mClock.monotonicNanos() - mDeadlineNanos >= 0;
    }

    private List<RunDecision> startCurrentStage() {
        if (mCancelled) {
            return List.of(endWithError(ErrorCode.CANCELLED, "cancelled by the caller"));
        }
        if (isPastDeadline()) {
            return List.of(endWithError(ErrorCode.DEADLINE_EXCEEDED, "deadline exceeded"));
        }
        return List.of(openAttempt(AttemptKind.FIRST));
    }

    private RunDecision openAttempt(AttemptKind kind) {
        StageState stage = currentState();
        List<AttemptId> earlier = stage.issuedAttempts();
        AttemptId attempt =
                new AttemptId(mId, mCurrentStage, stage.attempts() + 1, mRandom.nextLong());
        stage.open(attempt, mClock.monotonicNanos());
        return new RunDecision.StartAttempt(
                attempt, stage.stage(), mInput, mStream.resumeOffset(), kind, earlier);
    }

    private boolean dropUnlessOpen(AttemptId attempt) {
        if (!mEnded && currentState().isOpen(attempt)) {
            return false;
        }
        mDropCounts.add(classifyDrop(attempt));
        return true;
    }

    private DropKind classifyDrop(AttemptId attempt) {
        int stage = attempt.stage();
        if (stage < 0 || stage >= mStages.size() || !mStages.get(stage).isIssued(attempt)) {
            return DropKind.FOREIGN;
        }
        if (mStages.get(stage).isAccepted(attempt)) {
            return DropKind.DUPLICATE;
        }
        return stage < mCurrentStage && !mEnded ? DropKind.REORDERED : DropKind.LATE;
    }

    private List<RunDecision> acceptResult(AttemptId attempt, String output, long tokens) {
        List<RunDecision> decisions = new ArrayList<>();
        StageState stage = currentState();
        stage.accept(attempt);
        cancelOthers(attempt, decisions);
        Duration elapsed = mClock.elapsedSince(stage.startNanos());
        mSummaries.add(new StageSummary(stage.stage().name(), stage.attempts(), elapsed, tokens));
        if (mCurrentStage + 1 == mStages.size()) {
            mEnded = true;
            decisions.add(new RunDecision.Deliver(output, tokens, List.copyOf(mSummaries)));
            return decisions;
        }
        mCurrentStage++;
        mInput = output;
        mStream = new StreamAssembler();
        decisions.addAll(startCurrentStage());
        return decisions;
    }

    private void cancelOthers(AttemptId kept, List<RunDecision> decisions) {
        for (AttemptId other : currentState().openAttempts()) {
            if (!other.equals(kept)) {
                currentState().close(other, Verdict.MAY_HAVE_RUN);
                decisions.add(new RunDecision.CancelAttempt(other));
            }
        }
    }

    private List<RunDecision> failAttempt(
            AttemptId attempt, Verdict verdict, ErrorCode code, String detail) {
        StageState stage = currentState();
        stage.close(attempt, verdict);
        if (!stage.openAttempts().isEmpty()) {
            return List.of();
        }
        if (mCancelled) {
            return List.of(endWithError(ErrorCode.CANCELLED, "cancelled by the caller"));
        }
        if (isPastDeadline()) {
            return List.of(endWithError(ErrorCode.DEADLINE_EXCEEDED, "deadline exceeded"));
        }
        boolean repeat =
                stage.attempts() < mMaxAttempts
                        && stage.mayRepeat()
                        && mRepeatLimiter.tryAcquire(stage.stage());
        return List.of(repeat ? openAttempt(AttemptKind.RETRY) : endWithError(code, detail));
    }

    private RunDecision endWithError(ErrorCode code, String detail) {
        mEnded = true;
        return new RunDecision.Fail(code, verdict(), detail, mCurrentStage);
    }

    /**
     * Builds a run.
     *
     * <p>Thread safety: not safe; used by one thread.
     */
    public static final class Builder {
        private final RequestId mId;
        private final Pipeline mPipeline;
        private final Clock mClock;
        private RepeatLimiter mRepeatLimiter = stage -> false;
        private @Nullable SplittableRandom mRandom;
        private DropCounts mDropCounts = new DropCounts();
        private Duration mDeadline = Duration.ofSeconds(5);
        private int mMaxAttempts = 3;

        private Builder(RequestId id, Pipeline pipeline, Clock clock) {
            mId = id;
            mPipeline = pipeline;
            mClock = clock;
        }

        /** Sets the limiter of retries and hedges; without one there are none. */
        public Builder repeatLimiter(RepeatLimiter repeatLimiter) {
            mRepeatLimiter = repeatLimiter;
            return this;
        }

        /**
         * Sets the random source of the attempt nonces; required, so that the caller chooses the
         * seed.
         */
        public Builder random(SplittableRandom random) {
            mRandom = random;
            return this;
        }

        /** Sets the counters of dropped results, shared by all requests of a process. */
        public Builder drops(DropCounts drops) {
            mDropCounts = drops;
            return this;
        }

        /** Sets the time that the request may take, counted from {@link #build}. */
        public Builder deadline(Duration deadline) {
            mDeadline = deadline;
            return this;
        }

        /** Sets the maximum number of attempts per stage, hedges included. */
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
