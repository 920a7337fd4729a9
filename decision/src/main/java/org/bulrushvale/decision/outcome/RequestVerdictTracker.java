package org.bulrushvale.decision.outcome;

import java.util.ArrayList;
import java.util.List;
import org.bulrushvale.decision.config.Pipeline;
import org.bulrushvale.kernel.verdict.Verdict;

/**
 * Derives the verdict of a request from all attempts of all its stages.
 *
 * <pre>{@code
 * RequestVerdictTracker tracker = RequestVerdictTracker.of(pipeline);
 * AttemptStateMachine attempt = tracker.newAttempt(0);
 * Verdict verdict = tracker.verdict();
 * }</pre>
 *
 * <p>Invariants: the verdict is {@code NOT_RUN} only when every attempt of every stage is {@code
 * NOT_RUN}; it is {@code RAN} when every stage ran, or when the pipeline has non-repeatable stages
 * and all of those ran.
 *
 * <p>Thread safety: not safe; owned by the event loop.
 */
public final class RequestVerdictTracker {
    private final List<StageAttempts> mStages = new ArrayList<>();

    private RequestVerdictTracker() {}

    /** Returns a tracker for a request that has not started. */
    public static RequestVerdictTracker of(Pipeline pipeline) {
        RequestVerdictTracker tracker = new RequestVerdictTracker();
        pipeline.stages().forEach(s -> tracker.mStages.add(new StageAttempts(s.repeatable())));
        return tracker;
    }

    /** Creates an attempt of a stage; its events affect the verdict of the request. */
    public AttemptStateMachine newAttempt(int stage) {
        AttemptStateMachine attempt = new AttemptStateMachine();
        mStages.get(stage).mAttempts.add(attempt);
        return attempt;
    }

    /** Returns the combined verdict of all attempts of a stage. */
    public Verdict stageVerdict(int stage) {
        return mStages.get(stage).verdict();
    }

    /** Returns the verdict of the request. */
    public Verdict verdict() {
        boolean allRan = true;
        boolean hasNonRepeatable = false;
        boolean allNonRepeatableRan = true;
        Verdict combined = Verdict.NOT_RUN;
        for (StageAttempts stage : mStages) {
            Verdict verdict = stage.verdict();
            boolean ran = verdict == Verdict.RAN;
            combined = combined.combinedWith(verdict);
            allRan &= ran;
            if (!stage.mRepeatable) {
                hasNonRepeatable = true;
                allNonRepeatableRan &= ran;
            }
        }
        if (combined == Verdict.NOT_RUN) {
            return Verdict.NOT_RUN;
        }
        return allRan || (hasNonRepeatable && allNonRepeatableRan)
                ? Verdict.RAN
                : Verdict.MAY_HAVE_RUN;
    }

    /**
     * Attempts of one stage.
     *
     * <p>Thread safety: not safe; owned by the event loop.
     */
    private static final class StageAttempts {
        private final boolean mRepeatable;
        private final List<AttemptStateMachine> mAttempts = new ArrayList<>(1);

        StageAttempts(boolean repeatable) {
            mRepeatable = repeatable;
        }

        Verdict verdict() {
            return mAttempts.stream()
                    .map(AttemptStateMachine::verdict)
                    .reduce(Verdict.NOT_RUN, Verdict::combinedWith);
        }
    }
}
