package org.bulrushvale.decision.request;

import java.util.List;
import org.bulrushvale.decision.config.Stage;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;

/**
 * What the caller of {@link RequestRun} must do next.
 *
 * <p>Invariant: a run returns exactly one {@link Deliver} or {@link Fail}, as its last decision
 * except for cancellations of attempts that are still open. Thread safety: immutable.
 */
public sealed interface RunDecision {
    /**
     * Send an attempt to a backend server.
     *
     * @param attempt id to send with the request
     * @param stage stage to run
     * @param input input of the stage
     * @param resumeFrom offset in tokens from which a streaming stage continues, 0 for a new answer
     * @param kind why the attempt is started
     * @param earlierAttempts earlier attempts of the stage, whose servers should be avoided
     */
    record StartAttempt(
            AttemptId attempt,
            Stage stage,
            String input,
            long resumeFrom,
            AttemptKind kind,
            List<AttemptId> earlierAttempts)
            implements RunDecision {}

    /**
     * Cancel an open attempt at its backend server; any later answer of the attempt is dropped.
     *
     * @param attempt the attempt to cancel
     */
    record CancelAttempt(AttemptId attempt) implements RunDecision {}

    /**
     * Pass one chunk of a streamed answer on to the caller.
     *
     * @param offset offset of the chunk in tokens
     * @param text text of the chunk
     */
    record DeliverText(long offset, String text) implements RunDecision {}

    /**
     * Deliver the complete answer; the verdict is {@code RAN}.
     *
     * @param output whole output of the last stage
     * @param tokens number of tokens of the last stage
     * @param stages cost of each stage
     */
    record Deliver(String output, long tokens, List<StageSummary> stages) implements RunDecision {}

    /**
     * End the request with an error.
     *
     * @param code error code
     * @param verdict whether the request ran, may have run or did not run
     * @param detail explanation for the caller
     * @param stage index of the stage in which the request ended
     */
    record Fail(ErrorCode code, Verdict verdict, String detail, int stage) implements RunDecision {}

    /**
     * Why an attempt is started.
     *
     * <p>Thread safety: immutable.
     */
    enum AttemptKind {
        /** First attempt of the stage. */
        FIRST,
        /** An earlier attempt failed. */
        RETRY,
        /** An earlier attempt is open but slow. */
        HEDGE
    }
}
