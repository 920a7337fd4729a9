package org.bulrushvale.adapters.forward;

import java.time.Duration;
import java.util.List;

/**
 * What the entry states towards a backend server.
 *
 * <p>Thread safety: immutable.
 *
 * @param deadline time that is left
 * @param workspace name of the caller's workspace; empty on open routes
 * @param server id of the process that must answer
 * @param inputs handles of the stage results, in order
 * @param resumeAfter id of the last event that was delivered; {@link
 *     CallerRequestMetadata#FROM_START}
 */
public record BackendRequestMetadata(
        Duration deadline, String workspace, String server, List<String> inputs, long resumeAfter) {
    public BackendRequestMetadata {
        inputs = List.copyOf(inputs);
    }
}
