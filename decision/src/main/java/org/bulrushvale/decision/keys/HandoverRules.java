package org.bulrushvale.decision.keys;

import org.jspecify.annotations.Nullable;

/**
 * The three rules that make a handover safe when messages are lost, duplicated or late. They are
 * separate from the mechanism so that tests can remove one and show that it is needed.
 *
 * <p>Invariant: stateless. Thread safety: immutable.
 */
class HandoverRules {
    /** Returns true when a space may be offered to a successor; only one is ever chosen. */
    boolean mayOffer(@Nullable KeySpaceOffer earlier, long successor) {
        return earlier == null || earlier.successor() == successor;
    }

    /** Returns true when an offer is for this incarnation; a restarted process has lost records. */
    boolean isAddressedTo(long incarnation, KeySpaceOffer offer) {
        return offer.successor() == incarnation;
    }

    /** Returns true when a space may be adopted; one that was ever held here is outdated. */
    boolean mayAdopt(boolean everHeld) {
        return !everHeld;
    }
}
