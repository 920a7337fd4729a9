package org.bulrushvale.decision.forward;

/**
 * Average in which each new value has the same weight.
 *
 * <p>Thread safety: not safe; used by the event loop.
 */
final class MovingAverage {
    // About the last twenty values count.
    private static final double WEIGHT = 0.05;

    private double mValue;
    private boolean mKnown;

    void add(double value) {
        mValue = mKnown ? mValue + WEIGHT * (value - mValue) : value;
        mKnown = true;
    }

    /** Returns the average, or {@code usual} when there is none yet. */
    double valueOr(double usual) {
        return mKnown ? mValue : usual;
    }
}
