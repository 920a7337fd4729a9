package org.bulrushvale.decision.forward;

import java.util.Arrays;

/**
 * Median of the last values of a series.
 *
 * <p>Thread safety: not safe.
 */
final class MovingMedian {
    private final double[] mValues;
    private int mCount;

    /** Creates a median over at most {@code size} values. */
    MovingMedian(int size) {
        mValues = new double[size];
    }

    void add(double value) {
        mValues[mCount++ % mValues.length] = value;
    }

    /** Returns the number of values that the median covers. */
    int size() {
        return Math.min(mCount, mValues.length);
    }

    /** Returns the median; NaN without values. */
    double value() {
        int size = size();
        if (size == 0) {
            return Double.NaN;
        }
        double[] sorted = Arrays.copyOf(mValues, size);
        Arrays.sort(sorted);
        return size % 2 == 1 ? sorted[size / 2] : (sorted[size / 2 - 1] + sorted[size / 2]) / 2;
    }
}
