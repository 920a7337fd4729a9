package org.bulrushvale.decision.forward;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.bulrushvale.kernel.time.Clock;

/**
 * Bounds how often requests to a service are sent more than once, fleet-wide, without messages.
 *
 * <p>In any window an entry repeats at most {@code ratio} times its own requests of that window and
 * its share of {@code slack}. The sum over the entries is at most {@code ratio} times all requests
 * plus {@code slack} as long as no entry underestimates the number of entries; half of the slack
 * stays unused to cover an underestimate by half.
 *
 * <p>Thread safety: not safe; used by the event loop.
 */
public final class RepeatBudget {
    private final Clock mClock;
    private final double mRatio;
    private final int mSlack;
    private final long mWindowNanos;
    private final IntSupplier mEntries;
    private final Map<String, Window> mWindows = new HashMap<>();

    /**
     * Creates a budget.
     *
     * @param entries number of entries that share the slack
     */
    public RepeatBudget(
            Clock clock, double ratio, int slack, Duration window, IntSupplier entries) {
        mClock = clock;
        mRatio = ratio;
        mSlack = slack;
        mWindowNanos = window.toNanos();
        mEntries = entries;
    }

    /** Records a request that callers sent for the service. */
    public void recordRequest(String service) {
        window(service).mRequests.addLast(mClock.monotonicNanos());
    }

    /** Takes one repetition from the budget; returns false when none is left. */
    public boolean tryRepeat(String service) {
        Window window = window(service);
        double share = mSlack / 2.0 / Math.max(1, mEntries.getAsInt());
        if (window.mRepeats.size() + 1 > mRatio * window.mRequests.size() + share) {
            return false;
        }
        window.mRepeats.addLast(mClock.monotonicNanos());
        return true;
    }

    private Window window(String service) {
        Window window = mWindows.computeIfAbsent(service, name -> new Window());
        long start = mClock.monotonicNanos() - mWindowNanos;
        expire(window.mRequests, start);
        expire(window.mRepeats, start);
        return window;
    }

    private static void expire(Deque<Long> times, long start) {
        while (!times.isEmpty() && times.peekFirst() - start < 0) {
            times.removeFirst();
        }
    }

    /**
     * Times of one service.
     *
     * <p>Thread safety: not safe.
     */
    private static final class Window {
        private final Deque<Long> mRequests = new ArrayDeque<>();
        private final Deque<Long> mRepeats = new ArrayDeque<>();
    }
}
