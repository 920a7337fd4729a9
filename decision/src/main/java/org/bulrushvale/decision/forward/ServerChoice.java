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
 * <p>Requests with an affinity go to the server that ranks highest in the rendezvous order of that
 * affinity, the same at every entry, unless it is clearly busier than the next one. Other requests
 * go to the server with the fewest outstanding requests.
 *
 * <p>Invariant: a server in {@code tried} is never chosen; a suspect only when all others are
 * suspects too. Thread safety: not safe; used by the event loop.
 */
public final class ServerChoice {
    // Tokens of one long prompt; a smaller difference in load does not outweigh a cached prefix.
    private static final long BUSIER_TOKENS = 20_000;

    private final Clock mClock;
    private final ColdServerRateLimit mCold;

    /** Creates a choice that respects the given limit for cold servers. */
    public ServerChoice(Clock clock, ColdServerRateLimit cold) {
        mClock = clock;
        mCold = cold;
    }

    /**
     * Returns the server to send to, or null when none may receive the request now.
     *
     * @param affinity text that requests with a common prompt prefix share; empty for none
     * @param tieBreak hash that differs between requests
     */
    public @Nullable Server choose(
            List<Server> eligible,
            Collection<String> tried,
            double coldPerSecond,
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
                .filter(server -> !server.isCold(now) || mCold.allows(server, coldPerSecond))
                .min(order)
                .orElse(null);
    }

    private static long load(Server server, boolean plain) {
        return plain ? server.outstanding() : server.outstandingTokens() / BUSIER_TOKENS;
    }
}
