package org.bulrushvale.adapters.forward;

import java.util.List;

/**
 * Order to a backend server to compute one piece of a stage.
 *
 * <p>Invariant: a stage that follows other stages has inputs and no key; any other stage has a key
 * and no inputs. Thread safety: immutable.
 *
 * @param requestId id of the request that the piece belongs to
 * @param remainingMillis remaining time, after which the result is useless
 * @param key key of the request's pieces; empty when the stage has inputs
 * @param inputs handles of the results of earlier stages that the piece needs
 */
public record PieceOrder(
        String requestId,
        int stage,
        int piece,
        long remainingMillis,
        String key,
        List<String> inputs) {
    public PieceOrder {
        inputs = List.copyOf(inputs);
    }
}
