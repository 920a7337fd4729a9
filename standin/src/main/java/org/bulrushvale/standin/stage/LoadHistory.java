package org.bulrushvale.standin.stage;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Past load of a server, from which a delayed report is read.
 *
 * <p>Invariant: samples are ordered by time; one sample at or before the report time is kept.
 * Thread safety: confined to the endpoint's thread.
 */
final class LoadHistory {
    /**
     * Load at one moment. Thread safety: immutable.
     *
     * @param nanos monotonic time
     * @param warm whether the server was warm
     * @param running calls in a slot
     * @param queued calls that waited
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
    Sample report(long nowNanos, long lagNanos) {
        prune(nowNanos - lagNanos);
        return mSamples.getFirst();
    }

    void clear() {
        mSamples.clear();
    }
}
