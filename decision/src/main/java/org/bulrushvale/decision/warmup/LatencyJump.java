package org.bulrushvale.decision.warmup;

/**
 * Detects that a server has become much slower than it was.
 *
 * <p>Invariant: slow samples do not raise the baseline. Thread safety: single-writer, used by the
 * event loop only.
 */
final class LatencyJump {
    private static final int MIN_SAMPLES = 16;
    private static final int SLOW_IN_A_ROW = 3;
    private static final double FACTOR = 4.0;
    private static final double WEIGHT = 1.0 / 16;

    private double mBaseline;
    private int mSamples;
    private int mSlow;

    /** Takes a sample; returns true when it completes a run of slow ones. */
    boolean sample(double value) {
        if (mSamples >= MIN_SAMPLES && value > FACTOR * mBaseline) {
            mSlow++;
            return mSlow >= SLOW_IN_A_ROW;
        }
        mSlow = 0;
        mBaseline = mSamples == 0 ? value : mBaseline + WEIGHT * (value - mBaseline);
        mSamples++;
        return false;
    }

    void reset() {
        mBaseline = 0;
        mSamples = 0;
        mSlow = 0;
    }
}
