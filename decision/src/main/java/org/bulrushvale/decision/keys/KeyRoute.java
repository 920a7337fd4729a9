package org.bulrushvale.decision.keys;

/**
 * Route of a request with a key to the holder of the key space.
 *
 * <p>Invariant: the request may run only by the decision of the ledger of a {@link Local} route.
 * Thread safety: immutable, but the ledger is owned by the event loop.
 */
public sealed interface KeyRoute {
    /**
     * This process holds the space.
     *
     * <p>Thread safety: the ledger is owned by the event loop.
     *
     * @param ledger records of the space
     */
    record Local(KeyLedger ledger) implements KeyRoute {}

    /**
     * A peer probably holds the space; the request is forwarded to it and the peer decides.
     *
     * <p>Thread safety: immutable.
     *
     * @param vm name of the peer
     */
    record Peer(String vm) implements KeyRoute {}

    /**
     * No holder is known; the answer is {@code KEY_HOLDER_LOST} with {@code MAY_HAVE_RUN}.
     *
     * <p>Thread safety: immutable.
     */
    record Lost() implements KeyRoute {}
}
