package org.bulrushvale.adapters.forward;

import java.util.List;

/**
 * One piece of a stage that a backend server is asked to make.
 *
 * <p>Invariant: either a key or inputs, by whether the stage follows others. Thread safety:
 * immutable.
 *
 * @param requestId id of the request that the piece belongs to
 * @param leftMillis time after which the result is useless
 * @param key key of the request's pieces; empty when the stage has inputs
 * @param inputs handles of the results that the piece needs
 */
public record PieceOrder(
        String requestId, int stage, int piece, long leftMillis, String key, List<String> inputs) {
    public PieceOrder {
        inputs = List.copyOf(inputs);
    }
}
