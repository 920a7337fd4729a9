package org.bulrushvale.decision.forward;

import org.bulrushvale.decision.forward.ServiceSpec.PieceLimits;
import org.bulrushvale.kernel.time.Clock;

/**
 * What the servers of a stage service can start now and how much they start in a second.
 *
 * <p>Thread safety: immutable.
 *
 * @param servers number of servers that can be used
 * @param piecesPerSecond pieces that can start in a second as far as the time of calls limits them
 * @param bytesPerSecond result memory that becomes free in a second when all of it is used
 * @param freePieces pieces that can start now
 * @param freeBytes result memory that is free now at servers with a free slot
 * @param callSeconds time of a call whose batch is half full
 */
record StageCapacity(
        int servers,
        double piecesPerSecond,
        double bytesPerSecond,
        long freePieces,
        long freeBytes,
        double callSeconds) {
    private static final double NANOS_PER_SECOND = 1e9;

    static Builder builder(PieceLimits limits, double meanHeldNanos) {
        return new Builder(limits, meanHeldNanos);
    }

    /** Returns the time after which work can start behind other work, in seconds. */
    double secondsBehind(double pieces, double bytes) {
        if (servers == 0) {
            return Double.POSITIVE_INFINITY;
        }
        double byCalls = ratio(Math.max(0, pieces - freePieces), piecesPerSecond);
        double byMemory = ratio(Math.max(0, bytes - freeBytes), bytesPerSecond);
        double untilFree = freePieces > 0 ? 0 : callSeconds / (servers + 1);
        return untilFree + Math.max(byCalls, byMemory);
    }

    /** No work takes no time, also where nothing is provided for it. */
    private static double ratio(double work, double perSecond) {
        return work == 0 ? 0 : work / perSecond;
    }

    /** Returns the part of the capacity that a rate of work needs; more than 1 in an overload. */
    double load(double pieceRate, double byteRate) {
        return servers == 0
                ? Double.POSITIVE_INFINITY
                : Math.max(ratio(pieceRate, piecesPerSecond), ratio(byteRate, bytesPerSecond));
    }

    /**
     * Sums the servers up.
     *
     * <p>Thread safety: not safe.
     */
    static final class Builder {
        private final PieceLimits mLimits;
        private final double mHeldSeconds;
        private final double mFullCallSeconds;
        private final double mCallSeconds;
        private int mServers;
        private double mPiecesPerSecond;
        private double mBytesPerSecond;
        private long mFreePieces;
        private long mFreeBytes;

        private Builder(PieceLimits limits, double meanHeldNanos) {
            mLimits = limits;
            mFullCallSeconds = seconds(Clock.boundedNanos(limits.callTime(limits.maxBatch())));
            mCallSeconds = seconds(Clock.boundedNanos(limits.typicalCallTime()));
            mHeldSeconds = Math.max(mCallSeconds, seconds(meanHeldNanos));
        }

        private static double seconds(double nanos) {
            return Math.max(1, nanos) / NANOS_PER_SECOND;
        }

        /**
         * Adds a server.
         *
         * @param slowdown actual time of its calls divided by the expected time
         */
        void add(double slowdown, boolean hasFreeSlot, long freeBytes) {
            double slower = Math.max(1, slowdown);
            mServers++;
            mPiecesPerSecond += mLimits.slots() * mLimits.maxBatch() / (mFullCallSeconds * slower);
            mBytesPerSecond +=
                    mLimits.resultMemoryBytes() / (mHeldSeconds + mCallSeconds * (slower - 1));
            if (hasFreeSlot) {
                mFreePieces += mLimits.maxBatch();
                mFreeBytes += freeBytes;
            }
        }

        StageCapacity build() {
            return new StageCapacity(
                    mServers,
                    mPiecesPerSecond,
                    mBytesPerSecond,
                    mFreePieces,
                    mFreeBytes,
                    mCallSeconds);
        }
    }
}
