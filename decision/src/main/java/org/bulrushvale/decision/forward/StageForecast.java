package org.bulrushvale.decision.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates when a group of pieces can start, from the groups that wait, the capacity of the
 * servers and the recent arrivals that come before it.
 *
 * <p>Work is counted in pieces, which need the time of calls, and in bytes, which need result
 * memory; the scarcer of the two decides. Each estimate takes time linear in the number of groups.
 * Thread safety: not safe; used by the event loop.
 */
final class StageForecast {
    // Bursts last 3 to 10 s; the rate of arrivals must follow them within a second.
    private static final double RATE_SECONDS = 1.0;
    private static final int RANKS = 5;
    private static final double NANOS_PER_SECOND = 1e9;

    // A waiting group is refused only when the forecast is clearly beyond its last start, because
    // the estimate on its arrival must not be overturned by small changes.
    private static final double REFUSAL_FACTOR = 1.25;
    private static final double REFUSAL_MARGIN_SECONDS = 0.1;

    private final double[] mPieceRates = new double[RANKS];
    private final double[] mByteRates = new double[RANKS];
    private long mRatesNanos;

    StageForecast(long nowNanos) {
        mRatesNanos = nowNanos;
    }

    /** Records a group that was admitted and can meet its target. */
    void recordArrival(WaitingGroup group, long nowNanos) {
        decayRates(nowNanos);
        int rank = rankIndex(group);
        mPieceRates[rank] += group.pieces() / RATE_SECONDS;
        mByteRates[rank] += group.bytes() / RATE_SECONDS;
    }

    private void decayRates(long nowNanos) {
        double factor = Math.exp(-(nowNanos - mRatesNanos) / NANOS_PER_SECOND / RATE_SECONDS);
        for (int rank = 0; rank < RANKS; rank++) {
            mPieceRates[rank] *= factor;
            mByteRates[rank] *= factor;
        }
        mRatesNanos = nowNanos;
    }

    private static int rankIndex(WaitingGroup group) {
        return Math.max(0, Math.min(RANKS - 1, group.rank()));
    }

    /**
     * Returns, for each rank, the part of the capacity that arrivals of better ranks leave to it;
     * the last value is what all arrivals in time leave to late groups.
     */
    private double[] remainingShares(StageCapacity capacity) {
        double[] shares = new double[RANKS + 1];
        double pieces = 0;
        double bytes = 0;
        for (int rank = 0; rank <= RANKS; rank++) {
            shares[rank] = Math.max(PromotionBudget.SHARE, 1 - capacity.load(pieces, bytes));
            if (rank < RANKS) {
                pieces += mPieceRates[rank];
                bytes += mByteRates[rank];
            }
        }
        return shares;
    }

    /** Returns how many groups like this one can start in a second besides better ranks. */
    double groupsPerSecond(WaitingGroup group, StageCapacity capacity) {
        double perSecond = 1 / capacity.load(group.pieces(), group.bytes());
        return perSecond * remainingShares(capacity)[rankIndex(group)];
    }

    /** Estimates the start of a group that does not wait yet. */
    Estimate estimate(
            WaitingGroup group,
            Collection<WaitingGroup> waiting,
            Comparator<WaitingGroup> order,
            StageCapacity capacity,
            long nowNanos) {
        decayRates(nowNanos);
        Work ahead = new Work();
        Work inTime = new Work();
        Work late = new Work();
        for (WaitingGroup other : waiting) {
            if (other.isExpectedLate(nowNanos)) {
                if (comesBeforeWhenLate(other, group)) {
                    late.add(other);
                }
            } else {
                inTime.add(other);
                if (order.compare(other, group) < 0) {
                    ahead.add(other);
                }
            }
        }
        double[] shares = remainingShares(capacity);
        double seconds = ahead.secondsUntilStart(capacity) / shares[rankIndex(group)];
        boolean isLate = seconds > secondsUntil(group.latestStartNanos(), nowNanos);
        return isLate
                ? lateEstimate(group, inTime, late, shares[RANKS], capacity, nowNanos)
                : new Estimate(seconds, true, true);
    }

    private static boolean comesBeforeWhenLate(WaitingGroup other, WaitingGroup group) {
        int byShare =
                other.rank() == group.rank() && !other.isOfSameWorkspace(group)
                        ? Double.compare(other.virtualStart(), group.virtualStart())
                        : 0;
        return byShare < 0 || byShare == 0 && other.giveUpNanos() - group.giveUpNanos() <= 0;
    }

    private Estimate lateEstimate(
            WaitingGroup group,
            Work inTime,
            Work late,
            double lateShare,
            StageCapacity capacity,
            long nowNanos) {
        double promoted = late.secondsUntilStart(capacity) / PromotionBudget.SHARE;
        double behind = inTime.plus(late).secondsUntilStart(capacity) / lateShare;
        double seconds = Math.min(promoted, behind);
        double left = secondsUntil(group.giveUpNanos(), nowNanos);
        return new Estimate(seconds, false, seconds <= left);
    }

    /**
     * Updates which waiting groups are expected to be late, and returns the names of those that
     * cannot start before their last start, with the estimated time until their start in seconds.
     */
    Map<String, Double> findHopeless(
            Collection<WaitingGroup> waiting,
            Comparator<WaitingGroup> order,
            StageCapacity capacity,
            long nowNanos) {
        decayRates(nowNanos);
        List<WaitingGroup> sorted = new ArrayList<>(waiting);
        sorted.sort(order);
        double[] shares = remainingShares(capacity);
        Work inTime = new Work();
        List<WaitingGroup> lateGroups = new ArrayList<>();
        for (WaitingGroup group : sorted) {
            double seconds = inTime.secondsUntilStart(capacity) / shares[rankIndex(group)];
            boolean late = seconds > secondsUntil(group.latestStartNanos(), nowNanos);
            group.setExpectedLate(late);
            if (late) {
                lateGroups.add(group);
            } else {
                inTime.add(group);
            }
        }
        lateGroups.sort(Comparator.comparingLong(group -> group.giveUpNanos() - nowNanos));
        StageShares.orderWithinRanks(lateGroups);
        Work late = new Work();
        Map<String, Double> hopeless = new HashMap<>();
        for (WaitingGroup group : lateGroups) {
            double seconds =
                    lateEstimate(group, inTime, late, shares[RANKS], capacity, nowNanos).seconds();
            double left = secondsUntil(group.giveUpNanos(), nowNanos);
            if (isHopeless(seconds, left) && !group.isPartlyStarted()) {
                hopeless.put(group.name(), seconds);
            } else {
                late.add(group);
            }
        }
        return hopeless;
    }

    /** Returns true when a start is clearly beyond the time that is left. */
    static boolean isHopeless(double seconds, double left) {
        return seconds > left * REFUSAL_FACTOR + REFUSAL_MARGIN_SECONDS;
    }

    static double secondsUntil(long nanos, long nowNanos) {
        return (nanos - nowNanos) / NANOS_PER_SECOND;
    }

    /**
     * The estimated start of a group.
     *
     * <p>Thread safety: immutable.
     *
     * @param seconds time until the start
     * @param inTime true when the group can still meet its target
     * @param beforeLastStart false when the group cannot be served
     */
    record Estimate(double seconds, boolean inTime, boolean beforeLastStart) {}

    /** A sum of work. */
    private static final class Work {
        private double mPieces;
        private double mBytes;

        void add(WaitingGroup group) {
            mPieces += group.pieces();
            mBytes += group.bytes();
        }

        Work plus(Work other) {
            Work sum = new Work();
            sum.mPieces = mPieces + other.mPieces;
            sum.mBytes = mBytes + other.mBytes;
            return sum;
        }

        double secondsUntilStart(StageCapacity capacity) {
            return capacity.secondsBehind(mPieces, mBytes);
        }
    }
}
