package org.bulrushvale.decision.routing;

/**
 * A change of a server's prompt-prefix cache.
 *
 * <p>Thread safety: immutable.
 *
 * @param sequence consecutive number within the server's process
 * @param added true when the prefix was added, false when it was evicted
 * @param prefix identifies the prefix
 */
public record CacheEvent(long sequence, boolean added, String prefix) {}
