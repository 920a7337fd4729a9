package org.bulrushvale.decision.retry;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.bulrushvale.kernel.time.Clock;

/**
 * The last attempts at the servers of one service, with whether each was answered before the delay
 * of its class.
 *
 * <p>Invariant: at most {@value #MAX_ATTEMPTS} attempts are kept. Thread safety: not safe; used by
 * the event loop.
 */
final class RecentAttempts {
    private static final int MAX_ATTEMPTS = 128;

    // A server that refused work as overloaded shows that the service is short of room; a second
    // covers several rounds of calls.
    private static final Duration REFUSAL_MEMORY = Duration.ofSeconds(1);

    private final Clock mClock;
    private final Deque<Outcome> mOutcomes = new ArrayDeque<>();
    private boolean mRefused;
    private long mRefusedNanos;

    RecentAttempts(Clock clock) {
        mClock = clock;
    }

    void add(String server, long sentNanos, boolean inTime) {
        if (mOutcomes.size() == MAX_ATTEMPTS) {
            mOutcomes.removeFirst();
        }
        mOutcomes.addLast(new Outcome(server, sentNanos, inTime));
    }

    void recordRefusal() {
        mRefused = true;
        mRefusedNanos = mClock.monotonicNanos();
    }

    boolean wasRefusedRecently() {
        return mRefused && mClock.elapsedSince(mRefusedNanos).compareTo(REFUSAL_MEMORY) < 0;
    }

    /** Returns true when another server has answered in time since {@code sentNanos}. */
    boolean othersAnswerInTime(String server, long sentNanos) {
        return mOutcomes.stream()
                .anyMatch(
                        outcome ->
                                outcome.inTime()
                                        && outcome.sentNanos() - sentNanos >= 0
                                        && !outcome.server().equals(server));
    }

    /** Returns true when at least half of the attempts at other servers since then were slow. */
    boolean mostOthersAreSlow(String server, long sentNanos) {
        int slow = 0;
        int inTime = 0;
        for (Outcome outcome : mOutcomes) {
            if (outcome.sentNanos() - sentNanos >= 0 && !outcome.server().equals(server)) {
                if (outcome.inTime()) {
                    inTime++;
                } else {
                    slow++;
                }
            }
        }
        return slow >= inTime;
    }

    /** Returns true when the last attempt at a server since {@code sentNanos} was slow. */
    boolean isSlow(String server, long sentNanos) {
        boolean slow = false;
        for (Outcome outcome : mOutcomes) {
            if (outcome.server().equals(server) && outcome.sentNanos() - sentNanos >= 0) {
                slow = !outcome.inTime();
            }
        }
        return slow;
    }

    /**
     * One attempt.
     *
     * <p>Thread safety: immutable.
     *
     * @param inTime true when it was answered before the delay, false when it ran longer
     */
    private record Outcome(String server, long sentNanos, boolean inTime) {}
}
