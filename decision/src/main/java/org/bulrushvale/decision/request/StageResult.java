package org.bulrushvale.decision.request;

/**
 * The answer of a backend server to one attempt.
 *
 * <p>Invariant: {@code tokens} is not negative. Thread safety: immutable.
 *
 * @param attempt the attempt id that the server echoed
 * @param complete false when the server did not mark the answer as complete
 * @param output output of the stage, the input of the next stage
 * @param tokens number of generated tokens
 */
public record StageResult(AttemptId attempt, boolean complete, String output, long tokens) {}
