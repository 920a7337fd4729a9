package org.bulrushvale.decision.admission;

import java.time.Duration;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.bulrushvale.kernel.time.Clock;

/**
 * Assigns the times at which refused callers should return.
 *
 * <p>Time is divided into steps of 100 ms. A step is assigned to as many callers as can be served
 * in it, so that callers that were refused together do not return together. Worse ranks may use
 * only a part of a step, which leaves the earlier steps to better ranks that are refused later. A
 * caller that returns earlier gains nothing, because no place is kept for it.
 *
 * <p>Invariant: no time exceeds a third of the caller's remaining time, nor lies where the request
 * could not be served any more. Thread safety: not safe; used by the event loop.
 */
public final class ReturnSchedule {
    /** Callers honour a return time up to their remaining time divided by this. */
    public static final int REMAINING_DIVISOR = 3;

    private static final long STEP_NANOS = 100_000_000L;
    private static final double STEPS_PER_SECOND = 10;
    private static final double NANOS_PER_MILLI = 1e6;

    // Parts of a step that the ranks 0, 1, 2 and the worse ones may use.
    private static final double[] RANK_PARTS = {1.0, 0.8, 0.6, 0.4};

    // A drain rate of less than a caller in this number of steps counts as that rate.
    private static final int MAX_STEPS_PER_CALLER = 20;

    private final Clock mClock;
    private final TreeMap<Long, Integer> mAssigned = new TreeMap<>();

    /** Creates an empty schedule. */
    public ReturnSchedule(Clock clock) {
        mClock = clock;
    }

    /**
     * Assigns a return time.
     *
     * @param rank rank of the request; 0 is the most important
     * @param untilCapacity expected time until a returning request can be admitted
     * @param callersPerSecond callers that can be served in a second from then on
     * @param remaining remaining time of the caller
     * @param needed time that the request needs once it has been admitted
     * @return time in ms, or empty when no step is left at which the request could be served
     */
    public OptionalLong assign(
            int rank,
            Duration untilCapacity,
            double callersPerSecond,
            Duration remaining,
            Duration needed) {
        long now = mClock.monotonicNanos();
        mAssigned.headMap(Math.floorDiv(now, STEP_NANOS) - MAX_STEPS_PER_CALLER).clear();
        Duration third = remaining.dividedBy(REMAINING_DIVISOR);
        Duration useful = remaining.minus(needed);
        Duration latest = third.compareTo(useful) < 0 ? third : useful;
        long lastStep = Math.floorDiv(now + Clock.boundedNanos(latest), STEP_NANOS);
        long firstStep =
                Math.floorDiv(now + Math.max(0, Clock.boundedNanos(untilCapacity)), STEP_NANOS) + 1;
        double perStep =
                RANK_PARTS[Math.max(0, Math.min(RANK_PARTS.length - 1, rank))]
                        * callersPerSecond
                        / STEPS_PER_SECOND;
        int width = (int) Math.ceil(1 / Math.max(perStep, 1.0 / MAX_STEPS_PER_CALLER));
        for (long step = firstStep; step <= lastStep; step++) {
            if (assignedIn(step - width + 1, step) + 1 <= Math.max(1, perStep * width)) {
                mAssigned.merge(step, 1, Integer::sum);
                double millis = (step * STEP_NANOS - now) / NANOS_PER_MILLI;
                return OptionalLong.of((long) Math.ceil(millis));
            }
        }
        return OptionalLong.empty();
    }

    private int assignedIn(long firstStep, long lastStep) {
        int sum = 0;
        for (Map.Entry<Long, Integer> step :
                mAssigned.subMap(firstStep, true, lastStep, true).entrySet()) {
            sum += step.getValue();
        }
        return sum;
    }
}
