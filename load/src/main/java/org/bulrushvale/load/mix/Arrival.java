package org.bulrushvale.load.mix;

/**
 * One request to send.
 *
 * <p>Thread safety: immutable.
 *
 * @param index position in the run, from 0
 * @param intendedNanos intended start, from the start of the run
 * @param workClass class
 * @param workspace workspace
 * @param input input text, unique within the run
 * @param session session, empty: none
 */
public record Arrival(
        long index,
        long intendedNanos,
        ClassMix workClass,
        WorkspaceMix workspace,
        String input,
        String session) {}
