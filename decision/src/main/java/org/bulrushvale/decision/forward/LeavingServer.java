package org.bulrushvale.decision.forward;

/**
 * A process of a backend server that stated that it leaves, as entries exchange it.
 *
 * <p>Thread safety: immutable.
 *
 * @param process name of the process; the same at every entry
 * @param ageMillis time since the answer that stated it
 */
public record LeavingServer(String process, long ageMillis) {}
