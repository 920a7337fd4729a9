package org.bulrushvale.decision.drain;

import java.time.Duration;
import org.bulrushvale.kernel.time.Clock;

/**
 * Time that a process has between the request to stop and its end, and what it may still begin.
 *
 * <p>Invariant: a request admitted after the first quarter of the grace time reaches its own time
 * limit before the final answers are due, so it is never given up because of the stop.
 *
 * <p>Thread safety: owned by the event loop, except the methods that state otherwise.
 */
public final class GracePeriod {
    // Requests still in progress are answered this long before the end of the grace time; the
    // divisor limits the part of a short grace time that is lost to them.
    private static final Duration FINAL_ANSWER_MARGIN = Duration.ofMillis(1_000);
    private static final int FINAL_ANSWER_DIVISOR = 8;

    // Time reserved at the end of the grace time for the exit of the process: 300 ms in which the
    // JVM may wait for its threads, and as long for the operating system to end it.
    private static final Duration CLOSE_MARGIN = Duration.ofMillis(600);
    private static final int CLOSE_DIVISOR = 12;

    // Requests that begin within the first quarter of the grace time mostly end within it.
    private static final int FREE_ADMISSION_DIVISOR = 4;

    private final Clock mClock;
    private final Duration mGrace;
    private final Duration mFinalAnswers;
    private final Duration mEnd;
    private final Duration mUnreadyDelay;
    private boolean mBegun;
    private long mBegunNanos;

    /**
     * Creates a period that has not begun.
     *
     * @param unreadyDelay time that a load balancer needs to notice that the entry is not ready
     * @param grace time after which the process is killed
     */
    public GracePeriod(Clock clock, Duration unreadyDelay, Duration grace) {
        mClock = clock;
        mUnreadyDelay = unreadyDelay;
        mGrace = grace;
        mFinalAnswers =
                grace.minus(shorter(FINAL_ANSWER_MARGIN, grace.dividedBy(FINAL_ANSWER_DIVISOR)));
        mEnd = grace.minus(shorter(CLOSE_MARGIN, grace.dividedBy(CLOSE_DIVISOR)));
    }

    /**
     * Begins the period; has no effect when it has already begun.
     *
     * @param requestedNanos monotonic time of the request to stop, now or earlier
     */
    public void begin(long requestedNanos) {
        if (!mBegun) {
            mBegun = true;
            mBegunNanos = requestedNanos;
        }
    }

    /** Returns true once the period has begun. */
    public boolean hasBegun() {
        return mBegun;
    }

    /** Returns the time since the begin; zero before it. */
    public Duration elapsed() {
        return mBegun ? mClock.elapsedSince(mBegunNanos) : Duration.ZERO;
    }

    /**
     * Returns true when a new request may begin.
     *
     * @param isStream true for streams, which mostly last longer than other requests
     * @param timeLimit time after which the request is given up for its own reasons
     */
    public boolean admits(boolean isStream, Duration timeLimit) {
        if (!mBegun || elapsed().compareTo(mGrace.dividedBy(FREE_ADMISSION_DIVISOR)) < 0) {
            return true;
        }
        return !isStream && elapsed().plus(timeLimit).compareTo(mFinalAnswers) <= 0;
    }

    /** Returns true when every request in progress must get its final answer. */
    public boolean areFinalAnswersDue() {
        return mBegun && elapsed().compareTo(mFinalAnswers) >= 0;
    }

    /** Returns true when the process may end once nothing is in progress. */
    public boolean mayEndWhenIdle() {
        return mBegun && elapsed().compareTo(mUnreadyDelay) >= 0;
    }

    /** Returns the time from the begin to the final answers; may be called from any thread. */
    public Duration finalAnswersAfter() {
        return mFinalAnswers;
    }

    /** Returns the time from the begin to the end; may be called from any thread. */
    public Duration endAfter() {
        return mEnd;
    }

    private static Duration shorter(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }
}
