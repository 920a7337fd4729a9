package org.bulrushvale.standin.stage;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Recent load samples of a server. A load report shows the load at an earlier time, by the lag that
 * the fault settings give.
 *
 * <p>Invariant: samples are ordered by time; older samples are removed except for the newest one at
 * or before the reported time. Thread safety: confined to the endpoint's thread.
 */
final class LoadHistory {
    /**
     * Load at one point in time. Thread safety: immutable.
     *
     * @param nanos monotonic time
     * @param warm true when the server had completed its cold start
     * @param running calls that occupied a slot
     * @param queued calls that waited for a slot
     */
    record Sample(long nanos, boolean warm, int running, int queued) {}

    private final Deque<Sample> mSamples = new ArrayDeque<>();

    void add(Sample sample, long lagNanos) {
        mSamples.addLast(sample);
        prune(sample.nanos() - lagNanos);
    }

    private void prune(long reportNanos) {
        while (mSamples.size() > 1) {
            Sample first = mSamples.removeFirst();
            if (mSamples.getFirst().nanos() - reportNanos > 0) {
                mSamples.addFirst(first);
                return;
            }
        }
    }

    /** Returns the load as it was {@code lagNanos} ago, or the oldest known. */
    Sample delayedSample(long nowNanos, long lagNanos) {
        prune(nowNanos - lagNanos);
        return mSamples.getFirst();
    }

    void clear() {
        mSamples.clear();
    }
}
