package org.bulrushvale.adapters.forward;

import java.util.Optional;
import java.util.OptionalDouble;
import org.bulrushvale.decision.forward.ServerLoad;

/**
 * Metadata in the status line and headers of a backend server's response.
 *
 * <p>Thread safety: immutable.
 *
 * @param requestId id of the request that the response belongs to; empty when absent
 * @param notRun true when the server states that it did not run the request
 * @param signed true when the response carries the server's signature
 * @param requestsPerSecond rate that the server takes from all entries together; empty when it
 *     states no limit
 * @param load load that the server states; empty when it states none
 * @param leaving true when the server states that it is about to leave
 * @param pauseSeconds how long the server wants no request from this VM, in seconds; may be zero or
 *     negative; NaN when what it states is not a number of seconds; empty when it states nothing
 */
public record BackendResponseMetadata(
        String requestId,
        boolean notRun,
        boolean signed,
        OptionalDouble requestsPerSecond,
        Optional<ServerLoad> load,
        boolean leaving,
        OptionalDouble pauseSeconds) {
    /** Returns metadata that states nothing. */
    public static BackendResponseMetadata empty() {
        return new BackendResponseMetadata(
                "",
                false,
                false,
                OptionalDouble.empty(),
                Optional.empty(),
                false,
                OptionalDouble.empty());
    }
}
