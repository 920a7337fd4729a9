package org.bulrushvale.decision.orders;

import java.util.function.IntSupplier;
import org.bulrushvale.kernel.time.Clock;

/**
 * Token bucket that limits how often this entry makes engines load weights, to its static share of
 * the rate of the weight store.
 *
 * <p>Invariant: the shares of all entries sum to the rate, even in a network partition, because
 * each entry divides the rate by the published number of VMs, not by the number of reachable ones.
 * Thread safety: not safe; owned by the event loop.
 */
public final class WeightLoadRateLimiter {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Clock mClock;
    private final double mLoadsPerSecond;
    private final IntSupplier mEntryCount;
    private double mTokens;
    private long mUpdatedNanos;

    /**
     * Creates an empty bucket; it does not start full, so that restarts do not exceed the rate.
     *
     * @param clock source of time
     * @param loadsPerSecond loads of weights that the store serves per second to the whole fleet
     * @param entries number of entries on the published VM list
     */
    public WeightLoadRateLimiter(Clock clock, double loadsPerSecond, IntSupplier entries) {
        mClock = clock;
        mLoadsPerSecond = loadsPerSecond;
        mEntryCount = entries;
        mUpdatedNanos = clock.monotonicNanos();
    }

    /**
     * Takes tokens for a number of loads; returns false when the loads must wait. The bucket holds
     * at most one token, so several loads are permitted as soon as it is full, and the deficit
     * delays later loads.
     */
    boolean tryAcquire(int loads) {
        if (loads == 0) {
            return true;
        }
        long now = mClock.monotonicNanos();
        double rate = mLoadsPerSecond / Math.max(1, mEntryCount.getAsInt());
        mTokens = Math.min(1, mTokens + (now - mUpdatedNanos) / NANOS_PER_SECOND * rate);
        mUpdatedNanos = now;
        if (mTokens < 1) {
            return false;
        }
        mTokens -= loads;
        return true;
    }
}
