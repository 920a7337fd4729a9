package org.bulrushvale.load.mix;

import java.time.Duration;

/**
 * Share and properties of the requests of one class of work.
 *
 * <p>Invariant: {@code weight} and {@code deadline} are positive. Thread safety: immutable.
 *
 * @param name class name
 * @param weight weight of the class in the choice of each arrival, relative to the other classes
 * @param deadline sent with the request as the remaining time; an answer after it counts as late
 * @param idempotent false: an idempotency key is obtained before each request
 * @param stream true: an event stream is requested
 * @param maxTokens maximum number of tokens, 0: no limit is sent
 * @param inputWords number of random words in the input
 * @param sessions number of distinct sessions for each workspace, 0: no session is sent
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
