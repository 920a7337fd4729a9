package org.bulrushvale.decision.attainment;

/**
 * Backend time of the attempts of one stage.
 *
 * <p>Thread safety: immutable.
 *
 * @param attempts number of attempts
 * @param usedMs backend time in milliseconds of attempts whose result was used
 * @param wastedMs backend time in milliseconds of attempts whose result was not used
 */
public record StageCost(long attempts, double usedMs, double wastedMs) {
    /** Returns the sum of two costs. */
    public StageCost plus(StageCost other) {
        return new StageCost(
                attempts + other.attempts, usedMs + other.usedMs, wastedMs + other.wastedMs);
    }
}
