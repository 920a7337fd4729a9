package org.bulrushvale.decision.forward;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.kernel.time.Clock;

/**
 * Limits the rate at which this entry sends requests to a cold backend server.
 *
 * <p>The published rate applies to the whole fleet. Each entry takes that rate divided by the
 * number of entries that it knows, rounded down; the entries that rank highest for a server take
 * one more request each, until the remainder is used. Together, entries whose views of the fleet
 * differ may exceed the rate; the published limit covers this, because it is one and a half times
 * the rate plus five requests.
 *
 * <p>Invariant: in any window of one second this entry sends a cold server at most its share.
 * Thread safety: not safe; used by the event loop.
 */
public final class ColdServerRateLimit {
    private static final long WINDOW_NANOS = 1_000_000_000L;

    private final Clock mClock;
    private final FleetView mFleet;
    private final Map<String, Deque<Long>> mSendTimes = new HashMap<>();

    /** Creates the limit of one entry of a fleet. */
    public ColdServerRateLimit(Clock clock, FleetView fleet) {
        mClock = clock;
        mFleet = fleet;
    }

    /**
     * Returns true when one more request may be sent to the cold server now.
     *
     * @param requestsPerSecond published rate of the whole fleet; 0 for no limit
     */
    public boolean allows(Server server, double requestsPerSecond) {
        if (requestsPerSecond <= 0) {
            return true;
        }
        String id = server.published().id();
        return recentSends(id).size() < share(id, (int) requestsPerSecond);
    }

    /** Returns the requests that this entry may send to the cold server in a second. */
    int share(Server server, double requestsPerSecond) {
        return share(server.published().id(), (int) requestsPerSecond);
    }

    /** Records a request sent to a cold server. */
    public void recordSent(Server server) {
        recentSends(server.published().id()).addLast(mClock.monotonicNanos());
    }

    private int share(String server, int requestsPerSecond) {
        int entries = Math.max(1, mFleet.entryCount());
        int remainder = mFleet.rank(server) < requestsPerSecond % entries ? 1 : 0;
        return requestsPerSecond / entries + remainder;
    }

    private Deque<Long> recentSends(String id) {
        long now = mClock.monotonicNanos();
        Deque<Long> sent = mSendTimes.computeIfAbsent(id, key -> new ArrayDeque<>());
        while (!sent.isEmpty() && now - sent.peekFirst() >= WINDOW_NANOS) {
            sent.removeFirst();
        }
        return sent;
    }

    /** The fleet as one entry sees it. */
    public interface FleetView {
        /** Returns the number of entries that share the rate. */
        int entryCount();

        /** Returns how many entries rank above this one in the rendezvous order of a server. */
        int rank(String server);
    }
}
