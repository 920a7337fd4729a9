package org.bulrushvale.decision.request;

import java.time.Duration;

/**
 * The cost of one finished stage of a request.
 *
 * <p>Thread safety: immutable.
 *
 * @param stage name of the stage
 * @param attempts number of attempts started, retries and hedges included
 * @param elapsed time from the first attempt to the accepted result
 * @param tokens number of tokens of the accepted result
 */
public record StageSummary(String stage, int attempts, Duration elapsed, long tokens) {}
