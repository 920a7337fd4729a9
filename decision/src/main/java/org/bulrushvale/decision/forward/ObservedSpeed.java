package org.bulrushvale.decision.forward;

/**
 * How fast one process of a backend server answers, as entries exchange it.
 *
 * <p>Thread safety: immutable.
 *
 * @param process hash of the process name; the same at every entry
 * @param percent time to the first event in percent of what is usual for the service
 * @param ageMillis time since the last answer that it is based on
 */
public record ObservedSpeed(long process, int percent, long ageMillis) {}
