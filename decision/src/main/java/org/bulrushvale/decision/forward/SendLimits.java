package org.bulrushvale.decision.forward;

import java.util.Collection;
import java.util.List;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.kernel.time.Clock;

/**
 * The limits that decide which servers may receive one more request from this entry.
 *
 * <p>Thread safety: not safe; used by the event loop.
 */
public final class SendLimits {
    private final Clock mClock;
    private final ColdServerRateLimit mColdLimit;
    private final StatedRateLimits mStatedLimits;

    /** Creates limits for cold servers and for those that state a rate. */
    public SendLimits(Clock clock, ColdServerRateLimit coldLimit, StatedRateLimits statedLimits) {
        mClock = clock;
        mColdLimit = coldLimit;
        mStatedLimits = statedLimits;
    }

    /**
     * Returns the servers that may receive a request now.
     *
     * @param tried ids of servers that must not be chosen
     * @param coldRequestsPerSecond published request rate of a cold server; 0 for no limit
     */
    List<Server> allowed(
            List<Server> eligible, Collection<String> tried, double coldRequestsPerSecond) {
        long now = mClock.monotonicNanos();
        return eligible.stream()
                .filter(server -> !tried.contains(server.published().id()))
                .filter(
                        server ->
                                !server.isCold(now)
                                        || mColdLimit.allows(server, coldRequestsPerSecond))
                .filter(
                        server ->
                                mStatedLimits.permits(server.published().processName(), false) > 0)
                .toList();
    }
}
