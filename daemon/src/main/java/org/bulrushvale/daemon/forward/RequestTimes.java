package org.bulrushvale.daemon.forward;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.adapters.forward.CallerRequestMetadata;
import org.bulrushvale.decision.forward.Route;
import org.bulrushvale.kernel.time.Clock;

/**
 * Until when one request is worth working on.
 *
 * <p>Invariant: times count from the arrival of the request at this entry. Thread safety: safe for
 * use by any thread.
 */
final class RequestTimes {
    // An answer sent at the very end would reach the caller after it has gone.
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(30);

    // Reading the prompt and making the first event takes some hundred ms.
    private static final Duration FIRST_EVENT_ALLOWANCE = Duration.ofMillis(200);

    // An eighth of the latency target may pass before a refusal costs anything.
    private static final int HOLD_SHARE = 8;

    private final Clock mClock;
    private final long mArrivedNanos;
    private final Duration mTarget;
    private final Duration mWait;

    RequestTimes(Clock clock, long arrivedNanos, CallerRequestMetadata facts, Route route) {
        mClock = clock;
        mArrivedNanos = arrivedNanos;
        mTarget = route.latencyTarget();
        boolean callerFirst = facts.deadline().compareTo(route.timeout()) < 0;
        mWait = (callerFirst ? facts.deadline() : route.timeout()).minus(ANSWER_MARGIN);
    }

    /** Returns the time since the arrival. */
    Duration elapsed() {
        return mClock.elapsedSince(mArrivedNanos);
    }

    /** Returns the time left until the request ends; never negative. */
    long deadlineMillis() {
        return Math.max(0, leftMillis(mWait));
    }

    /** Returns the time left until the request should go to its server. */
    long targetMillis() {
        return leftMillis(mTarget.minus(FIRST_EVENT_ALLOWANCE));
    }

    /** Returns the time left until an answer that has not begun is not worth waiting for. */
    long giveUpMillis() {
        return leftMillis(mWait.dividedBy(2));
    }

    /** Returns true while waiting for a server costs the caller little. */
    boolean mayHold() {
        return elapsed().compareTo(mTarget.dividedBy(HOLD_SHARE)) < 0;
    }

    private long leftMillis(Duration wait) {
        long left = mArrivedNanos + wait.toNanos() - mClock.monotonicNanos();
        return TimeUnit.NANOSECONDS.toMillis(left);
    }
}
