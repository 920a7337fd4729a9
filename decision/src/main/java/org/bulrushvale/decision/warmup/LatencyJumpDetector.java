package org.bulrushvale.decision.warmup;

/**
 * Detects that the service time of a server has jumped to several times its moving average.
 *
 * <p>Invariant: samples above the threshold do not change the average. Thread safety:
 * single-writer, used by the event loop only.
 */
final class LatencyJumpDetector {
    private static final int MIN_SAMPLES = 16;
    private static final int MIN_CONSECUTIVE_SLOW = 3;
    private static final double SLOW_FACTOR = 4.0;
    private static final double SAMPLE_WEIGHT = 1.0 / 16;

    private double mAverage;
    private int mSamples;
    private int mConsecutiveSlow;

    /**
     * Adds a service time per unit of work; returns true when it is the last of at least {@value
     * #MIN_CONSECUTIVE_SLOW} slow samples in a row.
     */
    boolean addSample(double serviceTime) {
        if (mSamples >= MIN_SAMPLES && serviceTime > SLOW_FACTOR * mAverage) {
            mConsecutiveSlow++;
            return mConsecutiveSlow >= MIN_CONSECUTIVE_SLOW;
        }
        mConsecutiveSlow = 0;
        mAverage =
                mSamples == 0 ? serviceTime : mAverage + SAMPLE_WEIGHT * (serviceTime - mAverage);
        mSamples++;
        return false;
    }

    void reset() {
        mAverage = 0;
        mSamples = 0;
        mConsecutiveSlow = 0;
    }
}
