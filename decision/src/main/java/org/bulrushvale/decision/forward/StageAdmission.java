package org.bulrushvale.decision.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Clock mClock;
    private final StageQueue<P> mQueue;
    private final StageForecast mForecast;
    private long mCheckedNanos;

    /** Creates the admission to a queue. */
    public StageAdmission(Clock clock, StageQueue<P> queue) {
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
        StageCapacity capacity = mQueue.capacity(servers, limits);
        boolean unknown = capacity.servers() == 0 && !servers.isEmpty();
        StageForecast.Estimate estimate =
                unknown
                        ? new StageForecast.Estimate(0, true, true)
                        : mForecast.estimate(
                                candidate, mQueue.groups(), mQueue.order(now), capacity, now);
        if (estimate.beforeLastStart()) {
            group.forEach(mQueue::add);
        }
        if (estimate.inTime()) {
            mForecast.recordArrival(candidate, now);
        }
        return forecast(estimate.beforeLastStart(), estimate.inTime(), estimate.seconds());
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
        Map<String, Double> hopeless =
                mForecast.findHopeless(mQueue.groups(), mQueue.order(now), capacity, now);
        if (hopeless.isEmpty()) {
            return List.of();
        }
        Map<String, List<P>> removed = new LinkedHashMap<>();
        for (P piece : mQueue.remove(piece -> hopeless.containsKey(piece.group()))) {
            removed.computeIfAbsent(piece.group(), name -> new ArrayList<>()).add(piece);
        }
        return removed.entrySet().stream()
                .map(
                        entry -> {
                            double seconds = hopeless.getOrDefault(entry.getKey(), 0.0);
                            return new Refusal<>(entry.getValue(), forecast(false, false, seconds));
                        })
                .toList();
    }

    private Forecast forecast(boolean admitted, boolean inTime, double seconds) {
        double wait = Math.min(MAX_WAIT_SECONDS, seconds);
        return new Forecast(
                admitted,
                inTime,
                Duration.ofMillis((long) (wait * MILLIS_PER_SECOND)),
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
     * @param waitingGroups number of groups that wait
     * @param figuresAge time since the last answer of a server
     */
    public record Forecast(
            boolean admitted,
            boolean inTime,
            Duration delay,
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
