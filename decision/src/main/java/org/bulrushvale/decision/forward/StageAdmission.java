package org.bulrushvale.decision.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.bulrushvale.decision.admission.ReturnSchedule;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.decision.forward.ServiceSpec.PieceLimits;
import org.bulrushvale.kernel.time.Clock;

/**
 * Admits groups of pieces to the queue of a stage service, and refuses those that the forecast
 * shows to start after their last start.
 *
 * <p>Invariant: a refused group has no piece in the queue and none that has started. Thread safety:
 * not safe; used by the event loop.
 *
 * @param <P> type of the pieces
 */
public final class StageAdmission<P extends StageQueue.Piece> {
    // The forecast of the waiting groups changes with calls, which last 200 ms and more.
    private static final long RECHECK_NANOS = 50_000_000L;

    // Upper limit of a stated wait, so that it can be converted to a Duration.
    private static final double MAX_WAIT_SECONDS = 3_600;
    // A request needs about the time of its call, and as much again to produce its first event.
    private static final double CALLS_AFTER_RETURN = 2;
    // Servers that are not known are learned within this time. Their number is not known either, so
    // that one caller returns in each step.
    private static final Duration LEARNING_TIME = Duration.ofSeconds(1);
    private static final double RETURNS_PER_SECOND = 10;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Clock mClock;
    private final StageQueue<P> mQueue;
    private final StageForecast mForecast;
    private final ReturnSchedule mReturns;
    private final boolean mAssignsReturns;
    private long mCheckedNanos;

    /**
     * Creates the admission to a queue.
     *
     * @param assignsReturns true to assign return times to the callers of refused groups
     */
    public StageAdmission(Clock clock, StageQueue<P> queue, boolean assignsReturns) {
        mAssignsReturns = assignsReturns;
        mReturns = new ReturnSchedule(clock);
        mClock = clock;
        mQueue = queue;
        mForecast = new StageForecast(clock.monotonicNanos());
        mCheckedNanos = clock.monotonicNanos() - RECHECK_NANOS;
    }

    /**
     * Adds the pieces of one group to the queue unless they cannot start before their last start.
     *
     * @param servers eligible servers; a group is admitted while all of them are suspect, because
     *     it is not known when they recover
     * @return the forecast, which says whether the group was added
     */
    public Forecast offer(List<P> group, List<Server> servers, PieceLimits limits) {
        long now = mClock.monotonicNanos();
        WaitingGroup candidate = WaitingGroup.of(group.get(0), group.size());
        mQueue.assignShare(candidate);
        StageCapacity capacity = mQueue.capacity(servers, limits);
        boolean unknown = capacity.servers() == 0 && !servers.isEmpty();
        StageForecast.Estimate estimate =
                unknown
                        ? new StageForecast.Estimate(0, true, true)
                        : mForecast.estimate(
                                candidate, mQueue.groups(), mQueue.order(now), capacity, now);
        boolean admitted = estimate.beforeLastStart();
        OptionalLong returnMillis = OptionalLong.empty();
        if (!admitted) {
            returnMillis = returnMillis(candidate, estimate.seconds(), capacity, now);
            admitted = returnMillis.isEmpty() && mayStillBeServed(candidate, estimate, now);
        }
        if (admitted) {
            group.forEach(mQueue::add);
        }
        if (estimate.inTime()) {
            mForecast.recordArrival(candidate, now);
        }
        return forecast(admitted, estimate.inTime(), estimate.seconds(), returnMillis);
    }

    /** Returns true when the estimate is too close to the last start to be sure. */
    private boolean mayStillBeServed(
            WaitingGroup group, StageForecast.Estimate estimate, long now) {
        double left = StageForecast.secondsUntil(group.giveUpNanos(), now);
        return mAssignsReturns && left > 0 && !StageForecast.isHopeless(estimate.seconds(), left);
    }

    /**
     * Returns the time after which the caller of a refused group should return; empty when it could
     * not be served then either.
     */
    private OptionalLong returnMillis(
            WaitingGroup group, double seconds, StageCapacity capacity, long now) {
        double remaining = StageForecast.secondsUntil(group.deadlineNanos(), now);
        double needed = CALLS_AFTER_RETURN * capacity.callSeconds();
        if (!mAssignsReturns) {
            return OptionalLong.empty();
        }
        if (capacity.servers() == 0) {
            return mReturns.assign(
                    group.rank(),
                    LEARNING_TIME,
                    RETURNS_PER_SECOND,
                    duration(remaining),
                    duration(needed));
        }
        if (seconds > remaining - needed) {
            return OptionalLong.empty();
        }
        // A caller that returns may wait again for as long as it may wait now.
        double left = Math.max(0, StageForecast.secondsUntil(group.giveUpNanos(), now));
        return mReturns.assign(
                group.rank(),
                duration(seconds - left),
                mForecast.groupsPerSecond(group, capacity),
                duration(remaining),
                duration(needed));
    }

    private static Duration duration(double seconds) {
        double bounded = Math.max(0, Math.min(MAX_WAIT_SECONDS, seconds));
        return Duration.ofMillis((long) (bounded * MILLIS_PER_SECOND));
    }

    /**
     * Removes and returns the waiting groups that cannot be served any more. Does nothing within 50
     * ms after the last check.
     */
    public List<Refusal<P>> refuseHopeless(List<Server> servers, PieceLimits limits) {
        long now = mClock.monotonicNanos();
        if (now - mCheckedNanos < RECHECK_NANOS || mQueue.waitingCount() == 0) {
            return List.of();
        }
        mCheckedNanos = now;
        StageCapacity capacity = mQueue.capacity(servers, limits);
        if (capacity.servers() == 0) {
            return List.of();
        }
        mQueue.assignShares(now);
        Map<String, Double> hopeless =
                mForecast.findHopeless(mQueue.groups(), mQueue.order(now), capacity, now);
        Map<String, List<P>> removed = new LinkedHashMap<>();
        if (!hopeless.isEmpty()) {
            for (P piece : mQueue.remove(piece -> hopeless.containsKey(piece.group()))) {
                removed.computeIfAbsent(piece.group(), name -> new ArrayList<>()).add(piece);
            }
        }
        List<Refusal<P>> refusals = new ArrayList<>();
        removed.forEach(
                (name, pieces) -> {
                    double seconds = hopeless.getOrDefault(name, 0.0);
                    WaitingGroup group = WaitingGroup.of(pieces.get(0), pieces.size());
                    OptionalLong returnMillis = returnMillis(group, seconds, capacity, now);
                    refusals.add(
                            new Refusal<>(pieces, forecast(false, false, seconds, returnMillis)));
                });
        return refusals;
    }

    private Forecast forecast(
            boolean admitted, boolean inTime, double seconds, OptionalLong returnMillis) {
        return new Forecast(
                admitted,
                inTime,
                duration(seconds),
                returnMillis,
                mQueue.groups().size(),
                Duration.ofNanos(mQueue.nanosSinceLastCallEnd()));
    }

    /**
     * What was known when a group was admitted or refused.
     *
     * <p>Thread safety: immutable.
     *
     * @param admitted true when the group can start before its last start
     * @param inTime true when it can start in time for its target
     * @param delay time until it can start, at most an hour
     * @param returnMillis time after which the caller of a refused group should return, in ms;
     *     empty when it could not be served then
     * @param waitingGroups number of groups that wait
     * @param figuresAge time since the last answer of a server
     */
    public record Forecast(
            boolean admitted,
            boolean inTime,
            Duration delay,
            OptionalLong returnMillis,
            int waitingGroups,
            Duration figuresAge) {}

    /**
     * A group that has waited and is not served.
     *
     * <p>Thread safety: immutable.
     */
    public record Refusal<P>(List<P> pieces, Forecast forecast) {
        public Refusal {
            pieces = List.copyOf(pieces);
        }
    }
}
