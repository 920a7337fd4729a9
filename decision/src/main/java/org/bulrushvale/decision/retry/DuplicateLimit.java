package org.bulrushvale.decision.retry;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.bulrushvale.kernel.time.Clock;

/**
 * Limits the extra work of duplicates to a share of the requests, and of their tokens, that this
 * entry received within a sliding window.
 *
 * <p>Invariant: in the window that ends when a duplicate is sent, the duplicates of a service are
 * at most the limit times its requests, and so are their tokens. Entries need no messages for this:
 * since each stays within the share of its own requests, the fleet stays within the share of all
 * requests. With the limit 0 nothing is allowed and nothing is stored. Thread safety: not safe;
 * used by the event loop.
 */
public final class DuplicateLimit {
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final double PERCENT = 100;

    private final Clock mClock;
    private final double mShare;
    private final Map<String, Window> mWindows = new HashMap<>();

    /**
     * Creates a limit.
     *
     * @param percent extra work in percent of the requests and of their tokens; 0 for none
     */
    public DuplicateLimit(Clock clock, double percent) {
        mClock = clock;
        mShare = percent / PERCENT;
    }

    /** Returns true when the limit allows any duplicates. */
    public boolean isOn() {
        return mShare > 0;
    }

    /** Records a request of a caller to a service. */
    public void recordRequest(String service, long tokens) {
        if (isOn()) {
            window(service).mRequests.add(mClock.monotonicNanos(), tokens);
        }
    }

    /**
     * Returns true when duplicates may be sent now.
     *
     * @param count number of requests, or of pieces of a stage, that are sent again
     * @param tokens their tokens together
     */
    public boolean allows(String service, int count, long tokens) {
        if (!isOn()) {
            return false;
        }
        Window window = window(service);
        return window.mDuplicates.count() + count <= mShare * window.mRequests.count()
                && window.mDuplicates.tokens() + tokens <= mShare * window.mRequests.tokens();
    }

    /** Returns the part of the limit on requests that is used up, from 0 to 1. */
    public double used(String service) {
        Window window = window(service);
        double allowed = mShare * window.mRequests.count();
        return allowed < 1 ? 1 : Math.min(1, window.mDuplicates.count() / allowed);
    }

    /** Records duplicates that are about to be sent. */
    public void recordDuplicates(String service, int count, long tokens) {
        Window window = window(service);
        for (int i = 0; i < count; i++) {
            window.mDuplicates.add(mClock.monotonicNanos(), i == 0 ? tokens : 0);
        }
    }

    private Window window(String service) {
        Window window = mWindows.computeIfAbsent(service, name -> new Window());
        long start = mClock.nanosBefore(WINDOW);
        window.mRequests.expire(start);
        window.mDuplicates.expire(start);
        return window;
    }

    /**
     * The work of one service within the window.
     *
     * <p>Thread safety: not safe.
     */
    private static final class Window {
        private final Work mRequests = new Work();
        private final Work mDuplicates = new Work();
    }

    /**
     * Requests with their times and tokens.
     *
     * <p>Thread safety: not safe.
     */
    private static final class Work {
        private final Deque<Entry> mEntries = new ArrayDeque<>();
        private long mTokens;

        private void add(long nanos, long tokens) {
            mEntries.addLast(new Entry(nanos, tokens));
            mTokens += tokens;
        }

        private void expire(long startNanos) {
            for (Entry first = mEntries.peekFirst();
                    first != null && first.nanos() - startNanos <= 0;
                    first = mEntries.peekFirst()) {
                mTokens -= first.tokens();
                mEntries.removeFirst();
            }
        }

        private int count() {
            return mEntries.size();
        }

        private long tokens() {
            return mTokens;
        }
    }

    /**
     * One request.
     *
     * <p>Thread safety: immutable.
     */
    private record Entry(long nanos, long tokens) {}
}
