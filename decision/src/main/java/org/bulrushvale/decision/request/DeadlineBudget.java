package org.bulrushvale.decision.request;

import java.time.Duration;
import java.util.List;
import org.bulrushvale.decision.config.Pipeline;
import org.bulrushvale.decision.config.Stage;

/**
 * Compares the time that a request has left with the sum of the median latencies of its remaining
 * stages.
 *
 * <p>Invariant: stages without enough observations count as zero, so a new stage is never refused
 * for lack of data. Thread safety: not safe; owned by the event loop.
 */
public final class DeadlineBudget {
    private static final double MEDIAN = 0.5;

    private final StageLatency mLatency;

    /** Creates a budget that uses the given latency observations. */
    public DeadlineBudget(StageLatency latency) {
        mLatency = latency;
    }

    /**
     * What to do with a request before it starts a stage.
     *
     * <p>Thread safety: immutable.
     */
    public enum DeadlineDecision {
        /** No stage has started and the deadline cannot be met: refuse the request as not run. */
        REFUSE_EARLY,
        /** Start the next stage. */
        PROCEED,
        /** Earlier stages have run and the deadline cannot be met: cancel the remaining stages. */
        STOP
    }

    /** Returns the estimated time from the start of a stage to the end of the pipeline. */
    public Duration estimate(String workClass, Pipeline pipeline, int nextStage) {
        List<Stage> stages = pipeline.stages();
        Duration sum = Duration.ZERO;
        for (Stage stage : stages.subList(nextStage, stages.size())) {
            sum =
                    sum.plus(
                            mLatency.quantile(workClass, stage.name(), MEDIAN)
                                    .orElse(Duration.ZERO));
        }
        return sum;
    }

    /** Returns what to do with a request that has the given time left before it starts a stage. */
    public DeadlineDecision decide(
            String workClass, Pipeline pipeline, int nextStage, Duration remaining) {
        boolean expired = remaining.isNegative() || remaining.isZero();
        if (!expired && remaining.compareTo(estimate(workClass, pipeline, nextStage)) >= 0) {
            return DeadlineDecision.PROCEED;
        }
        return nextStage == 0 ? DeadlineDecision.REFUSE_EARLY : DeadlineDecision.STOP;
    }
}
