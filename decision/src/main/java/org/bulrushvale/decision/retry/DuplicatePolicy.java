package org.bulrushvale.decision.retry;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.decision.forward.RepeatBudget;
import org.bulrushvale.decision.request.StageLatency;
import org.bulrushvale.kernel.time.Clock;

/**
 * Decides when a slow attempt is joined by a second one at another server.
 *
 * <p>An attempt is slow when it has run longer than the 95th percentile of its class and size, or
 * three times the median if that is less. It is duplicated only while other servers answer in time:
 * when all are slow, a second attempt is slow too and takes capacity from other requests.
 *
 * <p>Invariant: every duplicate takes from the limit and from the repeat budget of its service
 * before it is sent; with the limit 0 there are none. Thread safety: not safe; used by the event
 * loop.
 */
public final class DuplicatePolicy {
    private static final double DELAY_QUANTILE = 0.95;

    // When more than one attempt in twenty runs at a slow server, the 95th percentile is the time
    // of that server. Classes of one size rarely spread beyond three times their median.
    private static final double MEDIAN = 0.5;
    private static final int MAX_MEDIANS = 3;

    // A quantile covers one or two windows, so that samples are forgotten within 60 s.
    private static final Duration LATENCY_WINDOW = Duration.ofSeconds(30);
    private static final int MIN_SAMPLES = 50;

    // Two histograms of 7 KB each, so 64 pairs of a class and a size take at most 0.9 MB.
    private static final int MAX_SERIES = 64;

    // The first-event time of a prompt depends on its length; sizes within a factor of four share
    // a histogram.
    private static final int BITS_PER_SIZE = 2;

    // A server is known to be slow for this long after its last slow attempt began.
    private static final Duration SLOW_SERVER_MEMORY = Duration.ofSeconds(3);

    private final Clock mClock;
    private final DuplicateLimit mLimit;
    private final RepeatBudget mBudget;
    private final StageLatency mLatency;
    private final Map<String, RecentAttempts> mRecent = new HashMap<>();

    /** Creates a policy; duplicates and retries take from the same budget. */
    public DuplicatePolicy(Clock clock, DuplicateLimit limit, RepeatBudget budget) {
        mClock = clock;
        mLimit = limit;
        mBudget = budget;
        mLatency = new StageLatency(clock, LATENCY_WINDOW, MIN_SAMPLES, MAX_SERIES);
    }

    /** Returns true when the limit allows any duplicates. */
    public boolean isOn() {
        return mLimit.isOn();
    }

    /** Records a request of a caller, from which the limit is derived. */
    public void recordRequest(String service, long tokens) {
        mLimit.recordRequest(service, tokens);
    }

    /**
     * Returns how long an attempt runs before it counts as slow; empty when too few were observed.
     */
    public Optional<Duration> delay(Attempt attempt) {
        return quantile(attempt, DELAY_QUANTILE)
                .map(
                        slow -> {
                            Duration cap = typical(attempt).orElse(slow).multipliedBy(MAX_MEDIANS);
                            return slow.compareTo(cap) < 0 ? slow : cap;
                        });
    }

    private Optional<Duration> typical(Attempt attempt) {
        return quantile(attempt, MEDIAN);
    }

    private Optional<Duration> quantile(Attempt attempt, double quantile) {
        return mLatency.quantile(attempt.workClass(), size(attempt), quantile);
    }

    private static String size(Attempt attempt) {
        int bits = Long.SIZE - Long.numberOfLeadingZeros(attempt.tokens());
        return Integer.toString(bits / BITS_PER_SIZE);
    }

    /**
     * Records the first event or the response of an attempt. An attempt that is cancelled because
     * the other one was faster is recorded too, else the observed times would become shorter with
     * each duplicate.
     */
    public void recordAnswer(Attempt attempt) {
        Duration elapsed = mClock.elapsedSince(attempt.sentNanos());
        boolean inTime = delay(attempt).map(delay -> elapsed.compareTo(delay) < 0).orElse(true);
        if (inTime) {
            recent(attempt).add(attempt.server(), attempt.sentNanos(), true);
        }
        mLatency.record(attempt.workClass(), size(attempt), elapsed);
    }

    /** Records that an attempt has run for longer than its delay; called once for an attempt. */
    public void recordSlow(Attempt attempt) {
        recent(attempt).add(attempt.server(), attempt.sentNanos(), false);
    }

    /** Records that a server of the service refused a request as overloaded. */
    public void recordRefusal(String service) {
        recent(service).recordRefusal();
    }

    private RecentAttempts recent(Attempt attempt) {
        return recent(attempt.service());
    }

    private RecentAttempts recent(String service) {
        return mRecent.computeIfAbsent(service, name -> new RecentAttempts(mClock));
    }

    /**
     * Returns the servers that may receive a duplicate: those of other failure domains if there are
     * any. Paused, cold, suspect, slow and full servers and the server of the attempt are left out.
     */
    public List<Server> candidates(Attempt attempt, String domain, List<Server> servers) {
        List<Server> usable = servers.stream().filter(server -> mayTake(attempt, server)).toList();
        List<Server> elsewhere =
                usable.stream()
                        .filter(server -> !server.published().domain().equals(domain))
                        .toList();
        return elsewhere.isEmpty() ? usable : elsewhere;
    }

    private boolean mayTake(Attempt attempt, Server server) {
        long now = mClock.monotonicNanos();
        String id = server.published().id();
        return !id.equals(attempt.server())
                && !server.published().leaving()
                && !server.facts().isPaused(now)
                && !server.isCold(now)
                && !server.isSuspect(now)
                && !recent(attempt).isSlow(id, mClock.nanosBefore(SLOW_SERVER_MEMORY))
                && hasRoom(server, now);
    }

    private static boolean hasRoom(Server server, long now) {
        int slots = server.published().slots();
        return (slots == 0 || server.outstanding() < slots) && !server.facts().isFull(now);
    }

    /**
     * Decides whether a slow attempt is duplicated now.
     *
     * @param timeLeft time until the second attempt must be answered to be in time
     * @param hasCandidate true when a server may receive the duplicate
     */
    public Decision decide(Attempt attempt, Duration timeLeft, boolean hasCandidate) {
        Duration delay = delay(attempt).orElse(null);
        if (!isOn()) {
            return Decision.OFF;
        } else if (delay == null || !isSlow(attempt, delay)) {
            return Decision.NOT_SLOW;
        } else if (typical(attempt).orElse(delay).compareTo(timeLeft) > 0) {
            return Decision.TOO_LATE;
        } else if (!othersAreFaster(attempt, delay)) {
            return Decision.SERVICE_SLOW;
        } else if (recent(attempt).wasRefusedRecently()) {
            return Decision.SERVICE_FULL;
        } else if (!hasCandidate) {
            return Decision.NO_SERVER;
        }
        return take(attempt.service(), 1, attempt.tokens());
    }

    /**
     * Compares the time of an attempt with the delay. From half of the limit on it grows to twice
     * the delay, so that the rest of the limit serves the slowest attempts.
     */
    private boolean isSlow(Attempt attempt, Duration delay) {
        double scarcity = Math.max(0, 2 * mLimit.used(attempt.service()) - 1);
        double required = delay.toNanos() * (1 + scarcity);
        return mClock.monotonicNanos() - attempt.sentNanos() >= required;
    }

    private boolean othersAreFaster(Attempt attempt, Duration delay) {
        RecentAttempts recent = recent(attempt);
        long since = attempt.sentNanos() - delay.toNanos();
        return recent.othersAnswerInTime(attempt.server(), attempt.sentNanos())
                && !recent.mostOthersAreSlow(attempt.server(), since);
    }

    /**
     * Takes duplicates from the limit and the repeat budget of a service.
     *
     * @return {@link Decision#SEND} when both allow them; otherwise nothing is taken from the limit
     */
    public Decision take(String service, int count, long tokens) {
        if (!mLimit.allows(service, count, tokens)) {
            return Decision.LIMIT;
        }
        if (!mBudget.tryRepeat(service, count)) {
            return Decision.BUDGET;
        }
        mLimit.recordDuplicates(service, count, tokens);
        return Decision.SEND;
    }

    /** The decision about a duplicate, with the reason when there is none. */
    public enum Decision {
        /** The duplicate is sent; the limit and the budget have been charged. */
        SEND,
        /** The limit is 0. */
        OFF,
        /** The attempt has not run long enough, or too few attempts of its class were observed. */
        NOT_SLOW,
        /** A second attempt could not be in time. */
        TOO_LATE,
        /** The other servers are slow too, or are not known to be faster. */
        SERVICE_SLOW,
        /** A server of the service has refused a request as overloaded. */
        SERVICE_FULL,
        /** No other server may receive the request. */
        NO_SERVER,
        /** The extra work has reached the limit. */
        LIMIT,
        /** The repeat budget is exhausted. */
        BUDGET
    }

    /**
     * One attempt at a server.
     *
     * <p>Thread safety: immutable.
     *
     * @param workClass name of the class of work
     * @param tokens prompt tokens; 0 for plain requests
     */
    public record Attempt(
            String service, String workClass, long tokens, String server, long sentNanos) {}
}
