package org.bulrushvale.standin.config;

/**
 * Limits the calls per second with a fixed window of one second. Each waiting watch (long poll)
 * counts as one call in every window.
 *
 * <p>Invariant: at most {@code limit} admitted calls and waiting watches count in one window.
 * Thread safety: confined to the endpoint's thread.
 */
final class RateLimiter {
    private static final long WINDOW_NANOS = 1_000_000_000L;

    private long mWindowStart;
    private int mCallsInWindow;
    private int mPeakPerSecond;

    boolean admit(long nowNanos, int waitingWatches, int limit) {
        if (nowNanos - mWindowStart >= WINDOW_NANOS) {
            mWindowStart = nowNanos;
            mCallsInWindow = 0;
        }
        if (mCallsInWindow + waitingWatches >= limit) {
            return false;
        }
        mCallsInWindow++;
        mPeakPerSecond = Math.max(mPeakPerSecond, mCallsInWindow + waitingWatches);
        return true;
    }

    int peakPerSecond() {
        return mPeakPerSecond;
    }
}
