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
 * Holds the published backend servers and tracks the requests that this entry has outstanding at
 * each.
 *
 * <p>Invariant: a server that is leaving, removed or in an evacuated failure domain is never
 * eligible. Thread safety: not safe; used by the event loop.
 */
public final class BackendDirectory {
    private final Clock mClock;
    private final Map<String, Server> mServers = new HashMap<>();
    private final Map<String, List<Server>> mByService = new HashMap<>();
    private Set<String> mEvacuatedDomains = Set.of();

    /** Creates an empty directory. */
    public BackendDirectory(Clock clock) {
        mClock = clock;
    }

    /**
     * Adds a server, or updates it if the same process is already present. A new process under an
     * existing id starts without history.
     */
    public void put(PublishedBackend published) {
        Server existing = mServers.get(published.id());
        if (existing != null && existing.isSameProcess(published)) {
            existing.update(published, mClock.monotonicNanos());
            return;
        }
        remove(published.id());
        Server server = new Server(published, mClock.monotonicNanos());
        mServers.put(published.id(), server);
        mByService.computeIfAbsent(published.service(), name -> new ArrayList<>()).add(server);
    }

    /** Removes a server. */
    public void remove(String id) {
        Server server = mServers.remove(id);
        if (server != null) {
            mByService.getOrDefault(server.published().service(), List.of()).remove(server);
        }
    }

    /**
     * Replaces the set of failure domains that receive no work; returns false if the set is
     * unchanged.
     */
    public boolean setEvacuatedDomains(Collection<String> domains) {
        boolean changed = !mEvacuatedDomains.equals(Set.copyOf(domains));
        mEvacuatedDomains = new HashSet<>(domains);
        return changed;
    }

    /** Returns the ids of all servers. */
    public Set<String> ids() {
        return Set.copyOf(mServers.keySet());
    }

    /** Returns the servers of a service that may receive work. */
    public List<Server> eligibleServers(String service) {
        List<Server> servers = new ArrayList<>();
        for (Server server : mByService.getOrDefault(service, List.of())) {
            if (isEligible(server)) {
                servers.add(server);
            }
        }
        return servers;
    }

    /** Returns the failure domain of the server at an address; empty when no server has it. */
    public String domainOfAddress(String address) {
        for (Server server : mServers.values()) {
            if (server.published().address().equals(address)) {
                return server.published().domain();
            }
        }
        return "";
    }

    private boolean isEligible(Server server) {
        return !server.published().leaving()
                && !mEvacuatedDomains.contains(server.published().domain());
    }

    /**
     * One process of a backend server, with the requests, failures and slowdown that this entry has
     * seen of it.
     *
     * <p>Thread safety: not safe; used by the event loop.
     */
    public static final class Server {
        private static final long NANOS_PER_SECOND = 1_000_000_000L;

        // The time that each consecutive failure adds. By its end a crashed server has restarted or
        // the platform has removed it.
        private static final long SUSPECT_NANOS_PER_FAILURE = 2 * NANOS_PER_SECOND;

        // Older slowdowns are ignored, so that a server that has recovered is tried again.
        private static final long SLOWDOWN_EXPIRY_NANOS = 3 * NANOS_PER_SECOND;

        // Limits how long a server is avoided, to three times SUSPECT_NANOS_PER_FAILURE.
        private static final int MAX_COUNTED_FAILURES = 3;

        private PublishedBackend mPublished;
        private long mColdUntilNanos;
        private long mSuspectUntilNanos;
        private int mOutstanding;
        private long mOutstandingTokens;
        private int mConsecutiveFailures;
        private double mSlowdown = 1;
        private long mSlowdownAtNanos;

        private Server(PublishedBackend published, long nowNanos) {
            mPublished = published;
            mColdUntilNanos = nowNanos + Clock.boundedNanos(published.coldLeft());
            mSuspectUntilNanos = nowNanos;
        }

        private boolean isSameProcess(PublishedBackend published) {
            return mPublished.startedMillis() == published.startedMillis()
                    && mPublished.address().equals(published.address())
                    && mPublished.service().equals(published.service());
        }

        private void update(PublishedBackend published, long nowNanos) {
            mPublished = published;
            mColdUntilNanos = nowNanos + Clock.boundedNanos(published.coldLeft());
        }

        /** Returns the published data of the process. */
        public PublishedBackend published() {
            return mPublished;
        }

        /** Returns the number of requests that this entry has outstanding at the server. */
        public int outstanding() {
            return mOutstanding;
        }

        /**
         * Returns the prompt tokens of the requests that this entry has outstanding at the server.
         */
        public long outstandingTokens() {
            return mOutstandingTokens;
        }

        /** Returns true while the process warms up and can take requests only at a limited rate. */
        public boolean isCold(long nowNanos) {
            return mColdUntilNanos - nowNanos > 0;
        }

        /** Returns true while the server is avoided because it failed or asked for a pause. */
        public boolean isSuspect(long nowNanos) {
            return mSuspectUntilNanos - nowNanos > 0;
        }

        /** Returns the time until the server is no longer suspect; 0 or less when it is not. */
        public long suspectNanosLeft(long nowNanos) {
            return mSuspectUntilNanos - nowNanos;
        }

        /**
         * Records a request that is about to be sent.
         *
         * @param tokens prompt tokens of the request
         */
        public void recordStart(long tokens) {
            mOutstanding++;
            mOutstandingTokens += tokens;
        }

        /**
         * Records the end of a request.
         *
         * @param tokens prompt tokens of the request
         */
        public void recordEnd(long tokens) {
            mOutstanding--;
            mOutstandingTokens -= tokens;
        }

        /** Records an answer that shows that the server works; resets the count of failures. */
        public void recordSuccess() {
            mConsecutiveFailures = 0;
        }

        /**
         * Records how long the server took for some work.
         *
         * @param ratio actual time divided by expected time
         */
        public void recordSlowdown(double ratio, long nowNanos) {
            mSlowdown = (slowdown(nowNanos) + ratio) / 2;
            mSlowdownAtNanos = nowNanos;
        }

        /**
         * Returns the moving average of actual time divided by expected time; 1 when nothing was
         * recorded recently.
         */
        public double slowdown(long nowNanos) {
            return nowNanos - mSlowdownAtNanos > SLOWDOWN_EXPIRY_NANOS ? 1 : mSlowdown;
        }

        /**
         * Records a failure that is the server's fault and makes the server suspect; consecutive
         * failures make it suspect for longer.
         */
        public void recordFailure(long nowNanos) {
            mConsecutiveFailures = Math.min(mConsecutiveFailures + 1, MAX_COUNTED_FAILURES);
            mSuspectUntilNanos = nowNanos + mConsecutiveFailures * SUSPECT_NANOS_PER_FAILURE;
        }

        /** Makes the server suspect for the time for which it asked to receive no work. */
        public void pauseFor(long nowNanos, long pauseNanos) {
            mSuspectUntilNanos = Math.max(mSuspectUntilNanos, nowNanos + pauseNanos);
        }
    }
}
