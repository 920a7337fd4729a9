package org.bulrushvale.load.mix;

import java.time.Duration;

/**
 * The requests of one class.
 *
 * <p>Invariant: {@code weight} and {@code deadline} are positive. Thread safety: immutable.
 *
 * @param name class name
 * @param weight share of the arrivals
 * @param deadline sent as remaining time; later answers count as late
 * @param idempotent false: a key is obtained before each request
 * @param stream true: an event stream is asked for
 * @param maxTokens limit of tokens, 0: not sent
 * @param inputWords words of the input
 * @param sessions distinct sessions, 0: no session is sent
 */
public record ClassMix(
        String name,
        double weight,
        Duration deadline,
        boolean idempotent,
        boolean stream,
        int maxTokens,
        int inputWords,
        int sessions) {
    public ClassMix {
        if (weight <= 0 || deadline.isNegative() || deadline.isZero()) {
            throw new IllegalArgumentException("weight and deadline must be positive: " + name);
        }
    }
}
