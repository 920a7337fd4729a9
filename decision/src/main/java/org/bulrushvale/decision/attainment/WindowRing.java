package org.bulrushvale.decision.attainment;

import java.util.Arrays;

/**
 * Counts per minute over the longest burn window.
 *
 * <p>Invariant: minutes older than the ring count as zero, also after a pause. Thread safety: not
 * safe; owned by the event loop.
 */
final class WindowRing {
    private static final int MINUTES = (int) BurnWindow.SIX_HOURS.length().toMinutes();

    private final int[] mTotal = new int[MINUTES];
    private final int[] mMissed = new int[MINUTES];
    private long mMinute = Long.MIN_VALUE;

    void add(long minute, boolean missed) {
        advance(minute);
        int index = (int) Math.floorMod(minute, (long) MINUTES);
        mTotal[index]++;
        mMissed[index] += missed ? 1 : 0;
    }

    WindowCount count(long minute, BurnWindow window) {
        advance(minute);
        long total = 0;
        long missed = 0;
        for (long m = minute - window.length().toMinutes() + 1; m <= minute; m++) {
            int index = (int) Math.floorMod(m, (long) MINUTES);
            total += mTotal[index];
            missed += mMissed[index];
        }
        return new WindowCount(total, missed);
    }

    private void advance(long minute) {
        if (mMinute == Long.MIN_VALUE || minute - mMinute >= MINUTES) {
            Arrays.fill(mTotal, 0);
            Arrays.fill(mMissed, 0);
            mMinute = minute;
        }
        while (mMinute < minute) {
            mMinute++;
            int index = (int) Math.floorMod(mMinute, (long) MINUTES);
            mTotal[index] = 0;
            mMissed[index] = 0;
        }
    }
}
