package org.bulrushvale.decision.forward;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import net.openhft.hashing.LongHashFunction;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.kernel.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the backend server of a request.
 *
 * <p>Requests with an affinity go to the server that comes first in the rendezvous order of that
 * affinity, unless it is clearly busier than the next one. That order is the same at every entry.
 * Other requests go to the server with the fewest outstanding requests.
 *
 * <p>Invariant: a server in {@code tried}, or one whose limit is used up, is never chosen; a
 * suspect server only when all others are suspect too. Thread safety: not safe; used by the event
 * loop.
 */
public final class ServerChoice {
    // The tokens of one long prompt. With an affinity, loads are compared in whole steps of this
    // size, so that a small difference in load does not outweigh a cached prefix.
    private static final long LOAD_STEP_TOKENS = 20_000;

    private final Clock mClock;
    private final ColdServerRateLimit mColdLimit;
    private final StatedRateLimits mStatedLimits;

    /**
     * Creates a choice that applies the given limits to cold servers and to those that state one.
     */
    public ServerChoice(Clock clock, ColdServerRateLimit coldLimit, StatedRateLimits statedLimits) {
        mClock = clock;
        mColdLimit = coldLimit;
        mStatedLimits = statedLimits;
    }

    /**
     * Returns the server to send to, or null when none may receive the request now.
     *
     * @param tried ids of servers that must not be chosen
     * @param coldRequestsPerSecond published request rate of a cold server; 0 for no limit
     * @param affinity text that requests with a common prompt prefix share; empty for none
     * @param tieBreak number that differs between requests; orders equally loaded servers when
     *     there is no affinity
     */
    public @Nullable Server choose(
            List<Server> eligible,
            Collection<String> tried,
            double coldRequestsPerSecond,
            String affinity,
            long tieBreak) {
        long now = mClock.monotonicNanos();
        LongHashFunction hash =
                affinity.isEmpty()
                        ? LongHashFunction.xx(tieBreak)
                        : LongHashFunction.xx(LongHashFunction.xx().hashChars(affinity));
        Comparator<Server> order =
                Comparator.comparing((Server server) -> server.isSuspect(now))
                        .thenComparingLong(server -> load(server, affinity.isEmpty()))
                        .thenComparingLong(server -> hash.hashChars(server.published().id()));
        return eligible.stream()
                .filter(server -> !tried.contains(server.published().id()))
                .filter(
                        server ->
                                !server.isCold(now)
                                        || mColdLimit.allows(server, coldRequestsPerSecond))
                .filter(
                        server ->
                                mStatedLimits.permits(server.published().processName(), false) > 0)
                .min(order)
                .orElse(null);
    }

    private static long load(Server server, boolean countRequests) {
        return countRequests ? server.outstanding() : server.outstandingTokens() / LOAD_STEP_TOKENS;
    }
}
