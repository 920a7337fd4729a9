package org.bulrushvale.decision.keys;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * One-shot move of a key space from its holder to one successor; the holder's side.
 *
 * <pre>{@code
 * KeyHandover handover = spaces.beginHandover(space);   // admits nothing new
 * if (handover.isReady()) {                             // no request runs
 *     spaces.offer(space, "como-2", incarnation).ifPresent(offer -> send(offer.encode()));
 * }
 * }</pre>
 *
 * <p>Invariants: from the first offer on, the holder runs no key of the space; every offer goes to
 * the same incarnation of the same successor, so it may be repeated when an acknowledgement is
 * lost; a refused or unacknowledged space is never taken back.
 *
 * <p>Thread safety: not safe; owned by the event loop.
 */
public final class KeyHandover {
    private final KeyLedger mLedger;
    private final HandoverRules mRules;
    private @Nullable KeySpaceOffer mOffer;
    private @Nullable String mSuccessorVm;
    private State mState = State.PREPARING;

    KeyHandover(KeyLedger ledger, HandoverRules rules) {
        mLedger = ledger;
        mRules = rules;
        ledger.stopAdmitting();
    }

    /** Returns the space that is moved. */
    public long space() {
        return mLedger.space();
    }

    /** Returns the phase. */
    public State state() {
        return mState;
    }

    /** Returns true when no request runs under a key of the space. */
    public boolean isReady() {
        return mLedger.running() == 0;
    }

    /** Returns the VM that the space was offered to. */
    public Optional<String> successorVm() {
        return Optional.ofNullable(mSuccessorVm);
    }

    /**
     * Returns the offer for a successor, or nothing when the space was offered to another one or
     * was acknowledged. Requests that still run are offered with an unknown outcome, so a caller
     * that can wait does so until {@link #isReady()}.
     */
    Optional<KeySpaceOffer> offerTo(String vm, long incarnation) {
        KeySpaceOffer earlier = mOffer;
        if (mState == State.ACKNOWLEDGED || !mRules.mayOffer(earlier, incarnation)) {
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
                            mLedger.closedMillis(now),
                            mLedger.moveOut());
        } else {
            offer = earlier.addressedTo(incarnation);
        }
        mOffer = offer;
        mSuccessorVm = vm;
        mState = State.OFFERED;
        return Optional.of(offer);
    }

    /** Notes that the successor has taken the space; releases the snapshot. */
    void acknowledge(long successor) {
        KeySpaceOffer offer = mOffer;
        if (offer != null && offer.successor() == successor) {
            mState = State.ACKNOWLEDGED;
            mOffer = null;
        }
    }

    /** Returns the whole state, to compare states with each other. */
    String describe() {
        KeySpaceOffer offer = mOffer;
        return mState + ":" + (offer == null ? "-" : offer.toString());
    }

    /**
     * Phases of a handover.
     *
     * <p>Thread safety: immutable.
     */
    public enum State {
        /** Nothing new is admitted; no offer was made. */
        PREPARING,
        /** An offer may be on the wire; the holder is no longer the holder. */
        OFFERED,
        /** The successor holds the space. */
        ACKNOWLEDGED
    }
}
