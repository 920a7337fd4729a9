package org.bulrushvale.decision.forward;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.kernel.time.Clock;

/**
 * Bounds the requests a second that this entry sends to a cold backend server.
 *
 * <p>Each entry spends the published rate divided by the number of entries that it knows of; those
 * that rank highest for a server share the remainder. The published limit has a reserve of half the
 * rate and five requests over the rate, which covers entries whose views differ.
 *
 * <p>Invariant: in any second at most the share is sent. Thread safety: not safe; used by the event
 * loop.
 */
public final class ColdServerRateLimit {
    private static final long WINDOW_NANOS = 1_000_000_000L;

    private final Clock mClock;
    private final Fleet mFleet;
    private final Map<String, Deque<Long>> mSentAt = new HashMap<>();

    /** Creates the limit of one entry of a fleet. */
    public ColdServerRateLimit(Clock clock, Fleet fleet) {
        mClock = clock;
        mFleet = fleet;
    }

    /** Returns true when one more request may be sent to the cold server now. */
    public boolean allows(Server server, double perSecond) {
        if (perSecond <= 0) {
            return true;
        }
        String id = server.published().id();
        return recent(id).size() < share(id, (int) perSecond);
    }

    /** Records a request sent to a cold server. */
    public void recordSent(Server server) {
        recent(server.published().id()).addLast(mClock.monotonicNanos());
    }

    private int share(String server, int perSecond) {
        int entries = Math.max(1, mFleet.entryCount());
        int remainder = mFleet.rank(server) < perSecond % entries ? 1 : 0;
        return perSecond / entries + remainder;
    }

    private Deque<Long> recent(String id) {
        long now = mClock.monotonicNanos();
        Deque<Long> sent = mSentAt.computeIfAbsent(id, key -> new ArrayDeque<>());
        while (!sent.isEmpty() && now - sent.peekFirst() >= WINDOW_NANOS) {
            sent.removeFirst();
        }
        return sent;
    }

    /** What an entry knows of the fleet. */
    public interface Fleet {
        /** Returns the number of entries that share the rate. */
        int entryCount();

        /** Returns how many entries rank higher than this one in the order of a server. */
        int rank(String server);
    }
}
