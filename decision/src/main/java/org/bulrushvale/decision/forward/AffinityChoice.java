package org.bulrushvale.decision.forward;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import net.openhft.hashing.LongHashFunction;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.kernel.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Chooses a server by the affinity of the prompt, else by the requests of this entry there.
 *
 * <p>Requests with an affinity go to the server that comes first in the rendezvous order of that
 * affinity, unless it is clearly busier than the next one. That order is the same at every entry.
 * Other requests go to the server with the fewest outstanding requests.
 *
 * <p>Thread safety: not safe; used by the event loop.
 */
public final class AffinityChoice implements ServerChoice {
    // The tokens of one long prompt. With an affinity, loads are compared in whole steps of this
    // size, so that a small difference in load does not outweigh a cached prefix.
    private static final long LOAD_STEP_TOKENS = 20_000;

    private final Clock mClock;
    private final SendLimits mLimits;

    /** Creates a choice among the servers that the limits allow. */
    public AffinityChoice(Clock clock, SendLimits limits) {
        mClock = clock;
        mLimits = limits;
    }

    @Override
    public @Nullable Server choose(
            List<Server> eligible,
            Collection<String> tried,
            double coldRequestsPerSecond,
            Request request) {
        long now = mClock.monotonicNanos();
        String affinity = request.affinity();
        LongHashFunction hash =
                affinity.isEmpty()
                        ? LongHashFunction.xx(request.tieBreak())
                        : LongHashFunction.xx(LongHashFunction.xx().hashChars(affinity));
        Comparator<Server> order =
                Comparator.comparing((Server server) -> server.isSuspect(now))
                        .thenComparingLong(server -> load(server, affinity.isEmpty()))
                        .thenComparingLong(server -> hash.hashChars(server.published().id()));
        return mLimits.allowed(eligible, tried, coldRequestsPerSecond).stream()
                .min(order)
                .orElse(null);
    }

    private static long load(Server server, boolean countRequests) {
        return countRequests ? server.outstanding() : server.outstandingTokens() / LOAD_STEP_TOKENS;
    }
}
