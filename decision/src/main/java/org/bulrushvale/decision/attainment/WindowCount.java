package org.bulrushvale.decision.attainment;

/**
 * Requests of one time window.
 *
 * <p>Invariant: {@code 0 <= missed <= total}. Thread safety: immutable.
 *
 * @param total requests that count for the target
 * @param missed those of them that missed it
 */
public record WindowCount(long total, long missed) {
    /** Largest burn rate reported; a target of 1 has no budget, so any miss would be infinite. */
    public static final double MAX_BURN_RATE = 1_000;

    /** Returns the sum of two counts. */
    public WindowCount plus(WindowCount other) {
        return new WindowCount(total + other.total, missed + other.missed);
    }

    /** Returns how many times faster than allowed the error budget is used. */
    public double burnRate(double target) {
        if (missed == 0) {
            return 0;
        }
        double allowed = total * (1 - target);
        return allowed <= 0 ? MAX_BURN_RATE : Math.min(MAX_BURN_RATE, missed / allowed);
    }
}
