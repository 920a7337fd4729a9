package org.bulrushvale.load.mix;

/**
 * One request to send.
 *
 * <p>Thread safety: immutable.
 *
 * @param index position in the run, from 0
 * @param intendedNanos intended send time, in nanoseconds since the start of the run
 * @param workClass class of work of the request
 * @param workspace workspace that sends the request
 * @param input input text, unique within the run
 * @param session session id, empty: no session is sent
 */
public record Arrival(
        long index,
        long intendedNanos,
        ClassMix workClass,
        WorkspaceMix workspace,
        String input,
        String session) {}
