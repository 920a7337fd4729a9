package org.bulrushvale.decision.keys;

/**
 * Where a request with a key must go.
 *
 * <p>Invariant: only a {@link Local} route may lead to a run. Thread safety: immutable, but the
 * ledger is owned by the event loop.
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
     * A peer is believed to hold the space; it decides.
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
