package org.bulrushvale.decision.routing;

/**
 * A change in the prompt prefix cache of a server.
 *
 * <p>Thread safety: immutable.
 *
 * @param sequence consecutive number within one process of the server
 * @param added true when the prefix was added, false when it was evicted
 * @param prefix identifier of the prefix
 */
public record CacheEvent(long sequence, boolean added, String prefix) {}
