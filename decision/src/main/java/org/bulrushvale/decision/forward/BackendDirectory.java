package org.bulrushvale.decision.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bulrushvale.kernel.time.Clock;

/**
 * The published backend servers and what this entry has outstanding at each.
 *
 * <p>Invariant: a server that is leaving, removed or in an evacuated failure domain is never
 * eligible. Thread safety: not safe; used by the event loop.
 */
public final class BackendDirectory {
    private final Clock mClock;
    private final Map<String, Server> mServers = new HashMap<>();
    private final Map<String, List<Server>> mByService = new HashMap<>();
    private Set<String> mEvacuated = Set.of();

    /** Creates an empty directory. */
    public BackendDirectory(Clock clock) {
        mClock = clock;
    }

    /** Adds a server or replaces what is known of it. */
    public void put(PublishedBackend entry) {
        Server known = mServers.get(entry.id());
        if (known != null && known.isSameProcess(entry)) {
            known.update(entry, mClock.monotonicNanos());
            return;
        }
        remove(entry.id());
        Server server = new Server(entry, mClock.monotonicNanos());
        mServers.put(entry.id(), server);
        mByService.computeIfAbsent(entry.service(), name -> new ArrayList<>()).add(server);
    }

    /** Removes a server. */
    public void remove(String id) {
        Server server = mServers.remove(id);
        if (server != null) {
            mByService.getOrDefault(server.published().service(), List.of()).remove(server);
        }
    }

    /**
     * Replaces the set of failure domains that receive no work; returns false if it is the same.
     */
    public boolean setEvacuatedDomains(Collection<String> domains) {
        boolean changed = !mEvacuated.equals(Set.copyOf(domains));
        mEvacuated = new HashSet<>(domains);
        return changed;
    }

    /** Returns the ids of all known servers. */
    public Set<String> ids() {
        return Set.copyOf(mServers.keySet());
    }

    /** Returns the servers of a service that may receive work. */
    public List<Server> eligibleOf(String service) {
        List<Server> servers = new ArrayList<>();
        for (Server server : mByService.getOrDefault(service, List.of())) {
            if (isEligible(server)) {
                servers.add(server);
            }
        }
        return servers;
    }

    /** Returns the failure domain of the server at an address; empty when it is not known. */
    public String domainOfAddress(String address) {
        for (Server server : mServers.values()) {
            if (server.published().address().equals(address)) {
                return server.published().domain();
            }
        }
        return "";
    }

    private boolean isEligible(Server server) {
        return !server.published().leaving() && !mEvacuated.contains(server.published().domain());
    }

    /**
     * One process of a backend server.
     *
     * <p>Thread safety: not safe; used by the event loop.
     */
    public static final class Server {
        private static final long NANOS_PER_SECOND = 1_000_000_000L;

        // A failure is no longer evidence after this time: a crashed server is back or removed.
        private static final long SUSPECT_NANOS = 2 * NANOS_PER_SECOND;

        // A slow server is tried again after this time, because slowness ends.
        private static final long SLOWNESS_MEMORY_NANOS = 3 * NANOS_PER_SECOND;

        private PublishedBackend mEntry;
        private long mColdUntilNanos;
        private long mSuspectUntilNanos;
        private int mOutstanding;
        private long mOutstandingTokens;
        private int mFailures;
        private double mSlowness = 1;
        private long mSlownessAtNanos;

        private Server(PublishedBackend entry, long nowNanos) {
            mEntry = entry;
            mColdUntilNanos = nowNanos + entry.coldLeft().toNanos();
            mSuspectUntilNanos = nowNanos;
        }

        private boolean isSameProcess(PublishedBackend entry) {
            return mEntry.startedMillis() == entry.startedMillis()
                    && mEntry.address().equals(entry.address())
                    && mEntry.service().equals(entry.service());
        }

        private void update(PublishedBackend entry, long nowNanos) {
            mEntry = entry;
            mColdUntilNanos = nowNanos + entry.coldLeft().toNanos();
        }

        /** Returns what is published. */
        public PublishedBackend published() {
            return mEntry;
        }

        /** Returns the requests that this entry has at the server. */
        public int outstanding() {
            return mOutstanding;
        }

        /** Returns the prompt tokens of the requests that this entry has at the server. */
        public long outstandingTokens() {
            return mOutstandingTokens;
        }

        /** Returns true while the server bears little load. */
        public boolean isCold(long nowNanos) {
            return mColdUntilNanos - nowNanos > 0;
        }

        /** Returns true shortly after failures of the server. */
        public boolean isSuspect(long nowNanos) {
            return mSuspectUntilNanos - nowNanos > 0;
        }

        /** Records a request that is about to be sent. */
        public void recordStart(long tokens) {
            mOutstanding++;
            mOutstandingTokens += tokens;
        }

        /** Records the end of a request. */
        public void recordEnd(long tokens) {
            mOutstanding--;
            mOutstandingTokens -= tokens;
        }

        /** Records an answer that shows the server at work. */
        public void recordSuccess() {
            mFailures = 0;
        }

        /** Records how many times as long as expected the server took. */
        public void recordSlowdown(double ratio, long nowNanos) {
            mSlowness = (slowness(nowNanos) + ratio) / 2;
            mSlownessAtNanos = nowNanos;
        }

        /** Returns how many times as long as expected the server takes; 1 when not known. */
        public double slowness(long nowNanos) {
            return nowNanos - mSlownessAtNanos > SLOWNESS_MEMORY_NANOS ? 1 : mSlowness;
        }

        /** Records a failure that speaks against the server; repeated ones keep it out longer. */
        public void recordFailure(long nowNanos) {
            mFailures = Math.min(mFailures + 1, 3);
            mSuspectUntilNanos = nowNanos + mFailures * SUSPECT_NANOS;
        }

        /** Keeps the server out for a time that it asked for. */
        public void pauseFor(long nowNanos, long forNanos) {
            mSuspectUntilNanos = Math.max(mSuspectUntilNanos, nowNanos + forNanos);
        }
    }
}
