package org.bulrushvale.adapters.forward;

import java.util.OptionalDouble;

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
 */
public record BackendResponseMetadata(
        String requestId, boolean notRun, boolean signed, OptionalDouble requestsPerSecond) {}
