package org.bulrushvale.decision.attainment;

import java.util.Arrays;

/**
 * Ring buffer of request counts per minute, as long as the longest burn window.
 *
 * <p>Invariant: a minute that has left the ring is not counted, even when no call was made since.
 * Thread safety: not safe; owned by the event loop.
 */
final class MinuteCounts {
    private static final int RING_MINUTES = (int) BurnWindow.SIX_HOURS.length().toMinutes();

    private final int[] mTotal = new int[RING_MINUTES];
    private final int[] mMissed = new int[RING_MINUTES];
    private long mNewestMinute = Long.MIN_VALUE;

    /** Counts a request that ended in a minute. */
    void add(long minute, boolean missed) {
        advance(minute);
        int index = (int) Math.floorMod(minute, (long) RING_MINUTES);
        mTotal[index]++;
        mMissed[index] += missed ? 1 : 0;
    }

    /** Returns the counts of the window that ends with a minute. */
    WindowCount count(long minute, BurnWindow window) {
        advance(minute);
        long total = 0;
        long missed = 0;
        for (long m = minute - window.length().toMinutes() + 1; m <= minute; m++) {
            int index = (int) Math.floorMod(m, (long) RING_MINUTES);
            total += mTotal[index];
            missed += mMissed[index];
        }
        return new WindowCount(total, missed);
    }

    /** Makes a minute the newest of the ring and clears the minutes after the previous newest. */
    private void advance(long minute) {
        if (mNewestMinute == Long.MIN_VALUE || minute - mNewestMinute >= RING_MINUTES) {
            Arrays.fill(mTotal, 0);
            Arrays.fill(mMissed, 0);
            mNewestMinute = minute;
        }
        while (mNewestMinute < minute) {
            mNewestMinute++;
            int index = (int) Math.floorMod(mNewestMinute, (long) RING_MINUTES);
            mTotal[index] = 0;
            mMissed[index] = 0;
        }
    }
}
