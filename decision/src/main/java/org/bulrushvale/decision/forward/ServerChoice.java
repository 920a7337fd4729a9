package org.bulrushvale.decision.forward;

import java.util.Collection;
import java.util.List;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the backend server of a request.
 *
 * <p>Invariant: a server in {@code tried}, or one whose limit is used up, is never chosen; a
 * suspect server only when all others are suspect too. Thread safety: not safe; used by the event
 * loop.
 */
public interface ServerChoice {
    /**
     * Returns the server to send to, or null when none may receive the request now.
     *
     * @param tried ids of servers that must not be chosen
     * @param coldRequestsPerSecond published request rate of a cold server; 0 for no limit
     */
    @Nullable Server choose(
            List<Server> eligible,
            Collection<String> tried,
            double coldRequestsPerSecond,
            Request request);

    /** Records that the request is sent to a server. */
    default void recordSent(Server server, Request request) {}

    /**
     * Returns the servers whose load reports could change the choice, at most two; empty when their
     * loads are known well enough.
     */
    default List<Server> serversToProbe(
            List<Server> eligible,
            Collection<String> tried,
            double coldRequestsPerSecond,
            Request request) {
        return List.of();
    }

    /** Returns what was expected of the server that was chosen last. */
    default Estimate lastEstimate() {
        return Estimate.NONE;
    }

    /**
     * What is expected of a server.
     *
     * <p>Thread safety: immutable.
     *
     * @param millis expected time to the first event; 0 when it is not estimated
     * @param cached true when the server probably has the prompt in its cache
     */
    record Estimate(long millis, boolean cached) {
        /** Nothing was estimated. */
        public static final Estimate NONE = new Estimate(0, true);
    }

    /**
     * What a choice depends on.
     *
     * <p>Thread safety: immutable.
     *
     * @param affinity text that requests with a common prompt prefix share; empty for none
     * @param promptTokens number of tokens in the prompt; 0 for plain requests
     * @param slots requests that a server of the service runs at once; 0 when not published
     * @param inputDomain failure domain that holds the stage results; empty for none
     * @param tieBreak number that differs between requests; selects among equal servers
     */
    record Request(
            String service,
            String affinity,
            long promptTokens,
            int slots,
            String inputDomain,
            long tieBreak) {}
}
