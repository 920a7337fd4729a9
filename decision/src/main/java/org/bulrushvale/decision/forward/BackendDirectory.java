package org.bulrushvale.decision.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.bulrushvale.kernel.time.Clock;

/**
 * Holds the published backend servers and tracks the requests that this entry has outstanding at
 * each.
 *
 * <p>Invariants: a server that is leaving, paused, removed or in an evacuated failure domain is
 * never eligible; a pause also survives that the same process is removed and put again. Thread
 * safety: not safe; used by the event loop.
 */
public final class BackendDirectory {
    private static final int MAX_PAUSED_FACTS = 1_024;

    private final Clock mClock;
    private final Map<String, Server> mServers = new HashMap<>();
    private final Map<String, List<Server>> mByService = new HashMap<>();
    private final LeavingServers mLeaving;
    private final ServiceVersions mVersions;
    private final ServerHistory mHistory;
    private final Map<String, ServerFacts> mPausedFacts = new HashMap<>();
    private int mLargestCount;
    private Set<String> mEvacuatedDomains = Set.of();

    /** Creates an empty directory. */
    public BackendDirectory(Clock clock) {
        mClock = clock;
        mLeaving = new LeavingServers(clock);
        mVersions = new ServiceVersions(clock);
        mHistory = new ServerHistory(clock);
    }

    /** Returns the software versions that were published recently. */
    public ServiceVersions versions() {
        return mVersions;
    }

    /** Returns which servers were published recently. */
    public ServerHistory history() {
        return mHistory;
    }

    /**
     * Returns the software version at which a stream that has no event yet must begin; empty when
     * no server of the service is published.
     */
    public Optional<String> versionToBeginAt(long stream, String service) {
        List<PublishedBackend> servers = new ArrayList<>();
        for (Server server : mByService.getOrDefault(service, List.of())) {
            PublishedBackend published = server.published();
            if (!published.leaving() && !mEvacuatedDomains.contains(published.domain())) {
                servers.add(published);
            }
        }
        return VersionChoice.choose(stream, servers);
    }

    /** Returns true when a server of a software version can receive work, now or after a pause. */
    public boolean isServed(StreamOrigin origin) {
        return mByService.getOrDefault(origin.service(), List.of()).stream()
                .anyMatch(
                        server ->
                                server.published().version().equals(origin.version())
                                        && isUsable(server));
    }

    /** Returns the processes that stated that they leave. */
    public LeavingServers leavingServers() {
        return mLeaving;
    }

    /**
     * Adds a server, or updates it if the same process is already present. A new process under an
     * existing id starts without history.
     */
    public void put(PublishedBackend published) {
        mHistory.recordPublished(published);
        Server existing = mServers.get(published.id());
        if (existing != null && existing.isSameProcess(published)) {
            existing.update(published, mClock.monotonicNanos());
            return;
        }
        remove(published.id());
        long now = mClock.monotonicNanos();
        ServerFacts paused = mPausedFacts.remove(published.processName());
        ServerFacts facts = paused == null ? new ServerFacts(now) : paused;
        Server server = new Server(published, facts, now);
        mServers.put(published.id(), server);
        mVersions.recordPublished(published);
        mLargestCount = Math.max(mLargestCount, mServers.size());
        mByService.computeIfAbsent(published.service(), name -> new ArrayList<>()).add(server);
    }

    /** Returns the largest number of servers that were published at the same time. */
    public int largestCount() {
        return mLargestCount;
    }

    /** Removes a server; returns its last registration, or empty when there is none. */
    public Optional<PublishedBackend> remove(String id) {
        Server server = mServers.remove(id);
        if (server != null) {
            mByService.getOrDefault(server.published().service(), List.of()).remove(server);
            mVersions.recordRemoved(server.published());
            mHistory.recordRemoved(server.published());
            long now = mClock.monotonicNanos();
            mPausedFacts.values().removeIf(facts -> !facts.isPaused(now));
            boolean isNamed = server.published().startedMillis() != 0;
            if (isNamed && server.facts().isPaused(now) && mPausedFacts.size() < MAX_PAUSED_FACTS) {
                mPausedFacts.put(server.published().processName(), server.facts());
            }
        }
        return Optional.ofNullable(server).map(Server::published);
    }

    /**
     * Replaces the set of failure domains that receive no work; returns false if the set is
     * unchanged.
     */
    public boolean setEvacuatedDomains(Collection<String> domains) {
        boolean changed = !mEvacuatedDomains.equals(Set.copyOf(domains));
        mEvacuatedDomains = new HashSet<>(domains);
        if (changed) {
            mHistory.recordGap();
        }
        return changed;
    }

    /** Returns the registrations of all servers. */
    public List<PublishedBackend> published() {
        return mServers.values().stream().map(Server::published).toList();
    }

    /** Returns the ids of all servers. */
    public Set<String> ids() {
        return Set.copyOf(mServers.keySet());
    }

    /** Returns the servers of a service that may receive work. */
    public List<Server> eligibleServers(String service) {
        long now = mClock.monotonicNanos();
        List<Server> servers = new ArrayList<>();
        for (Server server : mByService.getOrDefault(service, List.of())) {
            if (isUsable(server) && !server.facts().isPaused(now)) {
                servers.add(server);
            }
        }
        return servers;
    }

    /**
     * Returns the monotonic time at which the first pause of a server ends, when all servers of a
     * service that could receive work are paused; empty otherwise.
     */
    public OptionalLong earliestPauseEnd(String service) {
        long now = mClock.monotonicNanos();
        OptionalLong earliest = OptionalLong.empty();
        for (Server server : mByService.getOrDefault(service, List.of())) {
            if (!isUsable(server)) {
                continue;
            }
            if (!server.facts().isPaused(now)) {
                return OptionalLong.empty();
            }
            long end = server.facts().pauseUntilNanos();
            if (earliest.isEmpty() || end - earliest.getAsLong() < 0) {
                earliest = OptionalLong.of(end);
            }
        }
        return earliest;
    }

    /** Returns the number of servers that are paused. */
    public int pausedCount() {
        long now = mClock.monotonicNanos();
        return (int) mServers.values().stream().filter(s -> s.facts().isPaused(now)).count();
    }

    /** Returns the server that started last at an address; empty when there is none. */
    public Optional<Server> serverAtAddress(String address) {
        return mServers.values().stream()
                .filter(server -> server.published().address().equals(address))
                .max(Comparator.comparingLong(server -> server.published().startedMillis()));
    }

    /** Returns true when the server stated that it leaves, or the store says so. */
    public boolean isLeaving(Server server) {
        return server.published().leaving() || mLeaving.isLeaving(server.published().processName());
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

    private boolean isUsable(Server server) {
        return !isLeaving(server) && !mEvacuatedDomains.contains(server.published().domain());
    }

    /**
     * One process of a backend server, with its registration and what else is known of it.
     *
     * <p>Thread safety: not safe; used by the event loop.
     */
    public static final class Server {
        private PublishedBackend mPublished;
        private long mColdUntilNanos;
        private final ServerFacts mFacts;

        private Server(PublishedBackend published, ServerFacts facts, long nowNanos) {
            mPublished = published;
            mFacts = facts;
            mColdUntilNanos = nowNanos + Clock.boundedNanos(published.coldLeft());
        }

        private boolean isSameProcess(PublishedBackend published) {
            return mPublished.startedMillis() == published.startedMillis()
                    && mPublished.address().equals(published.address())
                    && mPublished.service().equals(published.service())
                    && mPublished.version().equals(published.version());
        }

        private void update(PublishedBackend published, long nowNanos) {
            if (published.equals(mPublished)) {
                // Read once more, so the time that it stays cold began earlier.
                return;
            }
            mPublished = published;
            mColdUntilNanos = nowNanos + Clock.boundedNanos(published.coldLeft());
        }

        /** Returns the published data of the process. */
        public PublishedBackend published() {
            return mPublished;
        }

        /** Returns what is known about the process apart from its registration. */
        public ServerFacts facts() {
            return mFacts;
        }

        /** Returns the number of requests that this entry has outstanding at the server. */
        public int outstanding() {
            return mFacts.outstanding();
        }

        /**
         * Returns the prompt tokens of the requests that this entry has outstanding at the server.
         */
        public long outstandingTokens() {
            return mFacts.outstandingTokens();
        }

        /** Returns true while the process warms up and can take requests only at a limited rate. */
        public boolean isCold(long nowNanos) {
            return mColdUntilNanos - nowNanos > 0;
        }

        /** Returns true while the server is avoided because it failed or was overloaded. */
        public boolean isSuspect(long nowNanos) {
            return mFacts.isSuspect(nowNanos);
        }

        /** Returns the time until the server is no longer suspect; 0 or less when it is not. */
        public long suspectNanosLeft(long nowNanos) {
            return mFacts.suspectNanosLeft(nowNanos);
        }

        /**
         * Records a request that is about to be sent.
         *
         * @param tokens prompt tokens of the request
         */
        public void recordStart(long tokens) {
            mFacts.recordStart(tokens);
        }

        /**
         * Records the end of a request.
         *
         * @param tokens prompt tokens of the request
         */
        public void recordEnd(long tokens) {
            mFacts.recordEnd(tokens);
        }

        /** Records an answer that shows that the server works; resets the count of failures. */
        public void recordSuccess() {
            mFacts.recordSuccess();
        }

        /**
         * Records how long the server took for some work.
         *
         * @param ratio actual time divided by expected time
         */
        public void recordSlowdown(double ratio, long nowNanos) {
            mFacts.recordSlowdown(ratio, nowNanos);
        }

        /**
         * Returns the moving average of actual time divided by expected time; 1 when nothing was
         * recorded recently.
         */
        public double slowdown(long nowNanos) {
            return mFacts.slowdown(nowNanos);
        }

        /**
         * Records a failure that is the server's fault and makes the server suspect; consecutive
         * failures make it suspect for longer.
         */
        public void recordFailure(long nowNanos) {
            mFacts.recordFailure(nowNanos);
        }

        /** Makes the server suspect for a short time, because it refused work as overloaded. */
        public void avoidFor(long nowNanos, long nanos) {
            mFacts.avoidFor(nowNanos, nanos);
        }
    }
}
