package org.bulrushvale.daemon.forward;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.adapters.forward.CallerRequestMetadata;
import org.bulrushvale.decision.forward.RequestKind;
import org.bulrushvale.decision.forward.Route;
import org.bulrushvale.kernel.time.Clock;

/**
 * Computes the time limits of one request: its latency target, its deadline and when to give up.
 *
 * <p>Invariant: all limits count from the arrival of the request at this entry. Thread safety: used
 * on the event loop.
 */
final class RequestTimeLimits {
    // An answer sent exactly at the deadline would arrive after the caller has disconnected.
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(30);

    // Time that a server needs to read the prompt and produce the first event: some hundred ms.
    private static final Duration FIRST_EVENT_ALLOWANCE = Duration.ofMillis(200);

    // A refusal within the first eighth of the latency target costs the caller nothing, so the
    // request may wait for a server that long.
    private static final int SERVER_WAIT_DIVISOR = 8;

    private final Clock mClock;
    private final long mArrivedNanos;
    private final Duration mTarget;
    private final Duration mTimeout;
    private final Duration mFirstEventLimit;
    private final Duration mGiveUp;
    private boolean mHasFirstEvent;

    /**
     * Creates the limits of a request.
     *
     * @param followsPatience true to end the time before the first event when the caller leaves
     */
    RequestTimeLimits(
            Clock clock,
            long arrivedNanos,
            CallerRequestMetadata metadata,
            Route route,
            boolean followsPatience) {
        mClock = clock;
        mArrivedNanos = arrivedNanos;
        mTarget = route.latencyTarget();
        boolean callerDeadlineFirst = metadata.deadline().compareTo(route.timeout()) < 0;
        mTimeout =
                (callerDeadlineFirst ? metadata.deadline() : route.timeout()).minus(ANSWER_MARGIN);
        mFirstEventLimit =
                route.callerPatience()
                        .filter(patience -> followsPatience)
                        .map(patience -> patience.minus(ANSWER_MARGIN))
                        .filter(patience -> patience.compareTo(mTimeout) < 0)
                        .orElse(mTimeout);
        mGiveUp =
                followsPatience
                        ? mFirstEventLimit.minus(FIRST_EVENT_ALLOWANCE)
                        : mTimeout.dividedBy(2);
    }

    /** Returns the time since the arrival. */
    Duration elapsed() {
        return mClock.elapsedSince(mArrivedNanos);
    }

    /** Returns the time left until the deadline less the answer margin, in ms; never negative. */
    long millisToDeadline() {
        return Math.max(0, millisUntil(mTimeout));
    }

    /**
     * Returns the time left until the request ends unless an event arrives before, in ms; never
     * negative. Before the first event this may be earlier than the deadline, because the caller
     * may leave earlier.
     */
    long millisToLimit() {
        return mHasFirstEvent ? millisToDeadline() : Math.max(0, millisUntil(mFirstEventLimit));
    }

    /** Records the first event of a stream, after which only the deadline applies. */
    void recordFirstEvent() {
        mHasFirstEvent = true;
    }

    /**
     * Returns the time left until the request should be sent to its server to meet the latency
     * target, in ms; negative after that.
     */
    long millisToTarget() {
        return millisUntil(mTarget.minus(FIRST_EVENT_ALLOWANCE));
    }

    /**
     * Returns the time left until it is useless to send the request to its server if no answer has
     * begun, in ms.
     */
    long millisToGiveUp() {
        return millisUntil(mGiveUp);
    }

    /**
     * Returns the time within which the request can still be sent and be answered within its
     * limits, in ms; negative after that.
     */
    long millisToLastSend(RequestKind kind) {
        return kind == RequestKind.STREAM
                ? millisToGiveUp()
                : millisUntil(mTimeout.minus(shorter(mTarget, FIRST_EVENT_ALLOWANCE)));
    }

    private static Duration shorter(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }

    /** Returns true while the request may wait for a server instead of being refused. */
    boolean mayWaitForServer() {
        return elapsed().compareTo(mTarget.dividedBy(SERVER_WAIT_DIVISOR)) < 0;
    }

    private long millisUntil(Duration sinceArrival) {
        long left = mArrivedNanos + Clock.boundedNanos(sinceArrival) - mClock.monotonicNanos();
        return TimeUnit.NANOSECONDS.toMillis(left);
    }
}
