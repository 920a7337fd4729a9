package org.bulrushvale.standin.config;

/**
 * Counts calls per second, with each waiting watch as one call.
 *
 * <p>Invariant: in one second at most {@code limit} calls and waiting watches are admitted. Thread
 * safety: confined to the endpoint's thread.
 */
final class RateLimit {
    private static final long WINDOW_NANOS = 1_000_000_000L;

    private long mWindowStart;
    private int mInWindow;
    private int mPeak;

    boolean admit(long nowNanos, int waiting, int limit) {
        if (nowNanos - mWindowStart >= WINDOW_NANOS) {
            mWindowStart = nowNanos;
            mInWindow = 0;
        }
        if (mInWindow + waiting >= limit) {
            return false;
        }
        mInWindow++;
        mPeak = Math.max(mPeak, mInWindow + waiting);
        return true;
    }

    int peak() {
        return mPeak;
    }
}
