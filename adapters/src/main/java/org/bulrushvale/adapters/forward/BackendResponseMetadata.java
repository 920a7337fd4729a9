package org.bulrushvale.adapters.forward;

/**
 * What the head of a backend server's answer states.
 *
 * <p>Thread safety: immutable.
 *
 * @param requestId id of the request that the answer belongs to; empty when absent
 * @param notRun true when the server states that it did not run the request
 * @param signed true when the answer carries the server's signature
 */
public record BackendResponseMetadata(String requestId, boolean notRun, boolean signed) {}
