package org.bulrushvale.decision.orders;

import java.util.function.IntSupplier;
import org.bulrushvale.kernel.time.Clock;

/**
 * This entry's static share of the weight store's rate.
 *
 * <p>Invariant: with N entries the shares sum to the rate, also in a partition, because each entry
 * divides by the published number of VMs and not by the reachable ones. Thread safety: not safe;
 * owned by the event loop.
 */
public final class WeightStoreShare {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Clock mClock;
    private final double mLoadsPerSecond;
    private final IntSupplier mEntries;
    private double mTokens;
    private long mUpdated;

    /**
     * Creates a share that starts empty, so that restarts do not exceed the rate.
     *
     * @param clock source of time
     * @param loadsPerSecond weights that the store serves per second to the whole fleet
     * @param entries number of entries on the published VM list
     */
    public WeightStoreShare(Clock clock, double loadsPerSecond, IntSupplier entries) {
        mClock = clock;
        mLoadsPerSecond = loadsPerSecond;
        mEntries = entries;
        mUpdated = clock.monotonicNanos();
    }

    /**
     * Takes the permission for some loads; returns false when they must wait. An order with several
     * loads is permitted when one token is there and is paid off afterwards, since a bucket of one
     * token would otherwise never cover it.
     */
    boolean tryTake(int loads) {
        if (loads == 0) {
            return true;
        }
        long now = mClock.monotonicNanos();
        double rate = mLoadsPerSecond / Math.max(1, mEntries.getAsInt());
        mTokens = Math.min(1, mTokens + (now - mUpdated) / NANOS_PER_SECOND * rate);
        mUpdated = now;
        if (mTokens < 1) {
            return false;
        }
        mTokens -= loads;
        return true;
    }
}
