package org.bulrushvale.decision.forward;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.bulrushvale.kernel.time.Clock;

/**
 * Limits how many requests to a service the whole fleet sends again, without communication between
 * entries.
 *
 * <p>In any window an entry repeats at most {@code ratio} times the requests that it received in
 * that window, plus its share of one half of {@code slack}. All entries together therefore stay
 * within {@code ratio} times all requests plus {@code slack}: if no entry underestimates the number
 * of entries, half of the slack stays unused, and that half covers entries that know only half of
 * the fleet.
 *
 * <p>Thread safety: not safe; used by the event loop.
 */
public final class RepeatBudget {
    private final Clock mClock;
    private final double mRatio;
    private final double mSlack;
    private final long mWindowNanos;
    private final IntSupplier mEntryCount;
    private final Map<String, Window> mWindows = new HashMap<>();

    /**
     * Creates a budget.
     *
     * @param entryCount number of entries that share the slack
     */
    public RepeatBudget(
            Clock clock, double ratio, double slack, Duration window, IntSupplier entryCount) {
        mClock = clock;
        mRatio = ratio;
        mSlack = slack;
        mWindowNanos = window.toNanos();
        mEntryCount = entryCount;
    }

    /** Records a request that a caller sent to the service. */
    public void recordRequest(String service) {
        window(service).mRequestNanos.addLast(mClock.monotonicNanos());
    }

    /** Takes one repeat from the budget; returns false when none is left. */
    public boolean tryRepeat(String service) {
        return tryRepeat(service, 1);
    }

    /**
     * Takes several repeats from the budget; takes none and returns false when too few are left.
     */
    public boolean tryRepeat(String service, int count) {
        Window window = window(service);
        double share = mSlack / 2 / Math.max(1, mEntryCount.getAsInt());
        if (window.mRepeatNanos.size() + count > mRatio * window.mRequestNanos.size() + share) {
            return false;
        }
        for (int i = 0; i < count; i++) {
            window.mRepeatNanos.addLast(mClock.monotonicNanos());
        }
        return true;
    }

    private Window window(String service) {
        Window window = mWindows.computeIfAbsent(service, name -> new Window());
        long start = mClock.monotonicNanos() - mWindowNanos;
        expire(window.mRequestNanos, start);
        expire(window.mRepeatNanos, start);
        return window;
    }

    private static void expire(Deque<Long> times, long start) {
        while (!times.isEmpty() && times.peekFirst() - start < 0) {
            times.removeFirst();
        }
    }

    /**
     * Monotonic times of the recent requests to one service and of their repeats.
     *
     * <p>Thread safety: not safe.
     */
    private static final class Window {
        private final Deque<Long> mRequestNanos = new ArrayDeque<>();
        private final Deque<Long> mRepeatNanos = new ArrayDeque<>();
    }
}
