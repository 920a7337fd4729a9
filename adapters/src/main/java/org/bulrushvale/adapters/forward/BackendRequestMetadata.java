package org.bulrushvale.adapters.forward;

import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;

/**
 * Metadata that the entry sends to a backend server with a request.
 *
 * <p>Thread safety: immutable.
 *
 * @param deadline remaining time
 * @param workspace name of the caller's workspace; empty on open routes
 * @param server id of the server process that must answer
 * @param inputs handles of the stage results that are the input, in order
 * @param resumeAfter id of the last event that was delivered to the caller; {@link
 *     CallerRequestMetadata#FROM_START} for none
 * @param urgency urgency for the server's own queue, 0 for the most urgent to 9; empty to send none
 */
public record BackendRequestMetadata(
        Duration deadline,
        String workspace,
        String server,
        List<String> inputs,
        long resumeAfter,
        OptionalInt urgency) {
    public BackendRequestMetadata {
        inputs = List.copyOf(inputs);
    }
}
