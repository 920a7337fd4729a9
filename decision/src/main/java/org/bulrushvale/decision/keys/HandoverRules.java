package org.bulrushvale.decision.keys;

import org.jspecify.annotations.Nullable;

/**
 * The three rules that make the handover of a key space safe when messages are lost, duplicated or
 * late. They are separate from the mechanism so that tests can disable each of them and show that
 * it is needed.
 *
 * <p>Invariant: stateless. Thread safety: immutable.
 */
class HandoverRules {
    /**
     * Returns true when a space may be offered to a successor: only the incarnation to which it was
     * first offered.
     */
    boolean mayOfferTo(@Nullable KeySpaceOffer earlier, long successor) {
        return earlier == null || earlier.successor() == successor;
    }

    /**
     * Returns true when an offer is addressed to this incarnation. A process that has restarted
     * since has lost the records of spaces that it had adopted.
     */
    boolean isAddressedTo(long incarnation, KeySpaceOffer offer) {
        return offer.successor() == incarnation;
    }

    /**
     * Returns true when a space may be adopted. An offer of a space that this process has held
     * before is outdated.
     */
    boolean mayAdopt(boolean everHeld) {
        return !everHeld;
    }
}
