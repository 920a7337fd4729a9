package org.bulrushvale.decision.keys;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Handover of a key space to one successor, as seen by the holder. It happens at most once.
 *
 * <pre>{@code
 * KeySpaceHandover handover = spaces.beginHandover(space);   // no further keys run
 * if (handover.isReady()) {                             // no request is running
 *     spaces.offer(space, "como-2", incarnation).ifPresent(offer -> send(offer.encode()));
 * }
 * }</pre>
 *
 * <p>Invariants: from the first offer on, the holder runs no key of the space; every offer goes to
 * the same incarnation of the same successor, so it can be repeated when an acknowledgement is
 * lost; the holder never takes a space back, not even when the offer was refused or not
 * acknowledged.
 *
 * <p>Thread safety: not safe; owned by the event loop.
 */
public final class KeySpaceHandover {
    private final KeyLedger mLedger;
    private final HandoverRules mRules;
    private @Nullable KeySpaceOffer mOffer;
    private @Nullable String mSuccessorVm;
    private State mState = State.PREPARING;

    KeySpaceHandover(KeyLedger ledger, HandoverRules rules) {
        mLedger = ledger;
        mRules = rules;
        ledger.stopAdmitting();
    }

    /** Returns the space that is handed over. */
    public long space() {
        return mLedger.space();
    }

    /** Returns the phase of the handover. */
    public State state() {
        return mState;
    }

    /** Returns true when no request is running under a key of the space. */
    public boolean isReady() {
        return mLedger.running() == 0;
    }

    /** Returns the VM to which the space was offered, empty before the first offer. */
    public Optional<String> successorVm() {
        return Optional.ofNullable(mSuccessorVm);
    }

    /**
     * Returns the offer for a successor; empty when the space was offered to another one or was
     * acknowledged. A request that is still running is offered with an unknown outcome, so the
     * caller should wait for {@link #isReady()} if it can.
     */
    Optional<KeySpaceOffer> offerTo(String vm, long incarnation) {
        KeySpaceOffer earlier = mOffer;
        if (mState == State.ACKNOWLEDGED || !mRules.mayOfferTo(earlier, incarnation)) {
            return Optional.empty();
        }
        KeySpaceOffer offer;
        if (earlier == null) {
            long now = mLedger.nowMillis();
            offer =
                    new KeySpaceOffer(
                            space(),
                            incarnation,
                            now,
                            mLedger.issueEndMillis(now),
                            mLedger.closeAndTakeRecords());
        } else {
            offer = earlier.withSuccessor(incarnation);
        }
        mOffer = offer;
        mSuccessorVm = vm;
        mState = State.OFFERED;
        return Optional.of(offer);
    }

    /** Records that the successor has adopted the space, and releases the snapshot. */
    void acknowledge(long successor) {
        KeySpaceOffer offer = mOffer;
        if (offer != null && offer.successor() == successor) {
            mState = State.ACKNOWLEDGED;
            mOffer = null;
        }
    }

    /** Returns the complete state as text, so that tests can compare states. */
    String stateText() {
        KeySpaceOffer offer = mOffer;
        return mState + ":" + (offer == null ? "-" : offer.toString());
    }

    /**
     * Phases of a handover.
     *
     * <p>Thread safety: immutable.
     */
    public enum State {
        /** The holder runs no further keys; no offer was made. */
        PREPARING,
        /** The space was offered; this process no longer decides about its keys. */
        OFFERED,
        /** The successor has adopted the space. */
        ACKNOWLEDGED
    }
}
