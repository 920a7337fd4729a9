package org.bulrushvale.decision.attainment;

/**
 * Requests that count towards the target, over a period of time.
 *
 * <p>Invariant: {@code 0 <= missed <= total}. Thread safety: immutable.
 *
 * @param total number of requests
 * @param missed number of these requests that missed the target
 */
public record WindowCount(long total, long missed) {
    /**
     * Upper limit of a reported burn rate. A target of 1 leaves no error budget, so any miss would
     * give an infinite burn rate.
     */
    public static final double MAX_BURN_RATE = 1_000;

    /** Returns the sum of two counts. */
    public WindowCount plus(WindowCount other) {
        return new WindowCount(total + other.total, missed + other.missed);
    }

    /**
     * Returns the burn rate: the number of misses divided by the number that the target allows.
     *
     * @param target fraction of requests that must meet the target
     */
    public double burnRate(double target) {
        if (missed == 0) {
            return 0;
        }
        double allowed = total * (1 - target);
        return allowed <= 0 ? MAX_BURN_RATE : Math.min(MAX_BURN_RATE, missed / allowed);
    }
}
