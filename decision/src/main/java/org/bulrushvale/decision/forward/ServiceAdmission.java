package org.bulrushvale.decision.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.kernel.time.Clock;

/**
 * Decides whether the servers of a service can receive another request of this entry in time, so
 * that no stage work is done for a request that no server will accept.
 *
 * <p>While all servers are cold, the requests that were admitted and not yet sent take from the
 * rate that this entry may send. Invariant: each admission is ended once. Thread safety: not safe;
 * used by the event loop.
 */
public final class ServiceAdmission {
    private static final double NANOS_PER_SECOND = 1e9;

    // Lost state is learned again within this time.
    private static final long LEARNING_NANOS = 1_000_000_000L;
    private static final double MIN_RATE = 0.1;

    private final Clock mClock;
    private final ColdServerRateLimit mColdLimit;
    private final Map<String, Integer> mPending = new HashMap<>();

    /** Creates the admission of one entry. */
    public ServiceAdmission(Clock clock, ColdServerRateLimit coldLimit) {
        mClock = clock;
        mColdLimit = coldLimit;
    }

    /**
     * Admits a request if a server can receive it in time.
     *
     * @param eligible eligible servers of the service
     * @param coldRequestsPerSecond published request rate of a cold server; 0 for no limit
     * @param limit time within which the request must be sent
     * @return false when the request should be refused; true obliges to call {@link #end}
     */
    public boolean tryAdmit(
            String service, List<Server> eligible, double coldRequestsPerSecond, Duration limit) {
        long end = mClock.monotonicNanos() + Clock.boundedNanos(limit);
        List<Server> usable = eligible.stream().filter(s -> !s.isSuspect(end)).toList();
        int pending = mPending.getOrDefault(service, 0);
        boolean warm = usable.stream().anyMatch(server -> !server.isCold(end));
        boolean admitted =
                !usable.isEmpty()
                        && (warm || pending + 1 <= coldSends(usable, coldRequestsPerSecond, limit));
        if (admitted) {
            mPending.put(service, pending + 1);
        }
        return admitted;
    }

    /**
     * Returns the expected time until a server can receive one more request of this entry.
     *
     * @param eligible eligible servers of the service
     */
    public Duration timeToServer(
            String service, List<Server> eligible, double coldRequestsPerSecond) {
        long now = mClock.monotonicNanos();
        long pauseNanos =
                eligible.stream()
                        .mapToLong(server -> Math.max(0, server.suspectNanosLeft(now)))
                        .min()
                        .orElse(LEARNING_NANOS);
        boolean warm = eligible.stream().anyMatch(server -> !server.isCold(now + pauseNanos));
        if (warm || eligible.isEmpty()) {
            return Duration.ofNanos(pauseNanos);
        }
        double perSecond = coldSends(eligible, coldRequestsPerSecond, Duration.ofSeconds(1));
        double seconds = (mPending.getOrDefault(service, 0) + 1) / Math.max(MIN_RATE, perSecond);
        return Duration.ofNanos(Math.max(pauseNanos, (long) (seconds * NANOS_PER_SECOND)));
    }

    /** Returns the requests that this entry can send to cold servers within a time. */
    private double coldSends(List<Server> cold, double requestsPerSecond, Duration limit) {
        if (requestsPerSecond <= 0) {
            return Double.POSITIVE_INFINITY;
        }
        double seconds = Clock.boundedNanos(limit) / NANOS_PER_SECOND;
        double sends = 0;
        for (Server server : cold) {
            int share = mColdLimit.share(server, requestsPerSecond);
            boolean now = mColdLimit.allows(server, requestsPerSecond);
            sends += (now ? 1 : 0) + share * seconds;
        }
        return sends;
    }

    /** Ends an admission: the request was sent or has ended. */
    public void end(String service) {
        mPending.computeIfPresent(service, (name, count) -> count > 1 ? count - 1 : null);
    }
}
