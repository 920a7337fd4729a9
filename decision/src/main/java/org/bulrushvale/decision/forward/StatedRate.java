package org.bulrushvale.decision.forward;

import java.util.OptionalDouble;

/**
 * The rate that a backend server stated last, as entries exchange it.
 *
 * <p>Thread safety: immutable.
 *
 * @param process name of the process of the server; the same at every entry
 * @param requestsPerSecond rate that the server takes from all entries together; empty when its
 *     answers state none any more
 * @param ageMillis time since the answer that stated it
 */
public record StatedRate(String process, OptionalDouble requestsPerSecond, long ageMillis) {}
