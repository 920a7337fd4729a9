package org.bulrushvale.decision.forward;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.kernel.time.Clock;

/**
 * Bounds the requests a second that this entry sends to a cold backend server.
 *
 * <p>Each entry spends the published rate divided by the number of entries that it knows of, at
 * least one request. The published limit has a reserve of half the rate and five requests over the
 * rate, which covers entries whose counts differ.
 *
 * <p>Invariant: in any second at most the share is sent. Thread safety: not safe; used by the event
 * loop.
 */
public final class ColdLimit {
    private static final long WINDOW_NANOS = 1_000_000_000L;

    private final Clock mClock;
    private final IntSupplier mEntries;
    private final Map<String, Deque<Long>> mSentAt = new HashMap<>();

    /**
     * Creates the limit.
     *
     * @param entries number of entries that share the rate
     */
    public ColdLimit(Clock clock, IntSupplier entries) {
        mClock = clock;
        mEntries = entries;
    }

    /** Returns true when one more request may be sent to the cold server now. */
    public boolean allows(Server server, double perSecond) {
        if (perSecond <= 0) {
            return true;
        }
        return recent(server.entry().id()).size() < share(perSecond);
    }

    /** Records a request sent to a cold server. */
    public void sent(Server server) {
        recent(server.entry().id()).addLast(mClock.monotonicNanos());
    }

    private int share(double perSecond) {
        return Math.max(1, (int) (perSecond / Math.max(1, mEntries.getAsInt())));
    }

    private Deque<Long> recent(String id) {
        long now = mClock.monotonicNanos();
        Deque<Long> sent = mSentAt.computeIfAbsent(id, key -> new ArrayDeque<>());
        while (!sent.isEmpty() && now - sent.peekFirst() >= WINDOW_NANOS) {
            sent.removeFirst();
        }
        return sent;
    }
}
