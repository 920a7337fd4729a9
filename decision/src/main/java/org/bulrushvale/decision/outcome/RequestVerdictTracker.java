package org.bulrushvale.decision.outcome;

import java.util.ArrayList;
import java.util.List;
import org.bulrushvale.decision.config.Pipeline;
import org.bulrushvale.kernel.verdict.Verdict;

/**
 * Verdict of a request over all attempts of all its stages.
 *
 * <pre>{@code
 * RequestVerdictTracker outcome = RequestVerdictTracker.of(pipeline);
 * AttemptStateMachine attempt = outcome.newAttempt(0);
 * Verdict verdict = outcome.verdict();
 * }</pre>
 *
 * <p>Invariants: {@code NOT_RUN} only when no attempt of any stage is above it; {@code RAN} when
 * every stage ran, or when the pipeline has non-repeatable stages and all of those ran.
 *
 * <p>Thread safety: not safe; owned by the event loop.
 */
public final class RequestVerdictTracker {
    private final List<StageOutcome> mStages = new ArrayList<>();

    private RequestVerdictTracker() {}

    /** Returns the outcome of a request that has not started. */
    public static RequestVerdictTracker of(Pipeline pipeline) {
        RequestVerdictTracker outcome = new RequestVerdictTracker();
        pipeline.stages().forEach(s -> outcome.mStages.add(new StageOutcome(s.repeatable())));
        return outcome;
    }

    /** Opens an attempt of a stage; its later events count towards this outcome. */
    public AttemptStateMachine newAttempt(int stage) {
        AttemptStateMachine trace = new AttemptStateMachine();
        mStages.get(stage).mAttempts.add(trace);
        return trace;
    }

    /** Returns the joint verdict of all attempts of a stage. */
    public Verdict stageVerdict(int stage) {
        return mStages.get(stage).verdict();
    }

    /** Returns the verdict of the request. */
    public Verdict verdict() {
        boolean allRan = true;
        boolean anyOnce = false;
        boolean allOnceRan = true;
        Verdict joint = Verdict.NOT_RUN;
        for (StageOutcome stage : mStages) {
            Verdict verdict = stage.verdict();
            boolean ran = verdict == Verdict.RAN;
            joint = joint.combinedWith(verdict);
            allRan &= ran;
            if (!stage.mRepeatable) {
                anyOnce = true;
                allOnceRan &= ran;
            }
        }
        if (joint == Verdict.NOT_RUN) {
            return Verdict.NOT_RUN;
        }
        return allRan || (anyOnce && allOnceRan) ? Verdict.RAN : Verdict.MAY_HAVE_RUN;
    }

    /**
     * Attempts of one stage.
     *
     * <p>Thread safety: not safe; owned by the event loop.
     */
    private static final class StageOutcome {
        private final boolean mRepeatable;
        private final List<AttemptStateMachine> mAttempts = new ArrayList<>(1);

        StageOutcome(boolean repeatable) {
            mRepeatable = repeatable;
        }

        Verdict verdict() {
            return mAttempts.stream()
                    .map(AttemptStateMachine::verdict)
                    .reduce(Verdict.NOT_RUN, Verdict::combinedWith);
        }
    }
}
