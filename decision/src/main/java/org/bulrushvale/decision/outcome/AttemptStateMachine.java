package org.bulrushvale.decision.outcome;

import org.bulrushvale.kernel.verdict.Verdict;

/**
 * State machine of one attempt on a backend server, which derives the verdict of the attempt from
 * network events.
 *
 * <pre>{@code
 * AttemptStateMachine attempt = new AttemptStateMachine();
 * attempt.on(AttemptStateMachine.Event.CONNECT_STARTED);
 * attempt.on(AttemptStateMachine.Event.FIRST_BYTE);
 * attempt.on(AttemptStateMachine.Event.RESET);
 * attempt.verdict(); // MAY_HAVE_RUN
 * }</pre>
 *
 * <p>Invariants: before the first byte is sent the verdict is {@code NOT_RUN}; a typed refusal sets
 * the verdict only in the state {@code SENT}; once the attempt has ended, no event lowers its
 * verdict, and a late complete answer raises it to {@code RAN}.
 *
 * <p>Thread safety: not safe; owned by the event loop.
 */
public final class AttemptStateMachine {
    private State mState = State.IDLE;
    private boolean mFirstByteReported;
    private Verdict mVerdict = Verdict.NOT_RUN;

    /** Returns the current state. */
    public State state() {
        return mState;
    }

    /** Returns the verdict that follows from the events so far. */
    public Verdict verdict() {
        return mVerdict;
    }

    /** Returns true when the attempt has ended. */
    public boolean hasEnded() {
        return mState.mTerminal;
    }

    /** Returns true while the first byte has not been sent and may still be sent. */
    public boolean maySend() {
        return !mFirstByteReported && !hasEnded();
    }

    /** Applies an event. An event after the end of the attempt can only raise the verdict. */
    public void on(Event event) {
        switch (event) {
            case CONNECT_STARTED -> {
                if (mState == State.IDLE) {
                    mState = State.CONNECTING;
                }
            }
            case FIRST_BYTE -> onFirstByte();
            case COMPLETE_ANSWER -> {
                // The attempt id contains a random nonce, so the answer proves that the work ran.
                mVerdict = Verdict.RAN;
                mState = State.ANSWERED;
            }
            case TYPED_REFUSAL -> onRefusal();
            case CONNECT_FAILED, BAD_ANSWER, RESET, TIMEOUT, CANCEL -> endIfOpen(State.LOST);
            default -> throw new AssertionError(event);
        }
    }

    private void onFirstByte() {
        boolean alreadyReported = mFirstByteReported;
        mFirstByteReported = true;
        if (!hasEnded()) {
            mState = State.SENT;
        }
        // A repeated event has no new information, and must not change the verdict after a typed
        // refusal.
        if (!alreadyReported) {
            mVerdict = mVerdict.combinedWith(Verdict.MAY_HAVE_RUN);
        }
    }

    private void onRefusal() {
        if (mState == State.SENT) {
            mVerdict = Verdict.NOT_RUN;
            mState = State.REFUSED;
        } else {
            // A refusal before the first byte belongs to another request on the connection.
            endIfOpen(State.LOST);
        }
    }

    private void endIfOpen(State end) {
        if (!hasEnded()) {
            mState = end;
        }
    }

    /**
     * States of an attempt.
     *
     * <p>Thread safety: immutable.
     */
    public enum State {
        /** Nothing was done for the attempt. */
        IDLE(false),
        /** A connection is being opened; no byte was sent. */
        CONNECTING(false),
        /** The first byte was reported; no end is known. */
        SENT(false),
        /** A complete answer arrived. */
        ANSWERED(true),
        /** A typed refusal arrived. */
        REFUSED(true),
        /** The attempt ended without a complete answer or a typed refusal. */
        LOST(true);

        private final boolean mTerminal;

        State(boolean terminal) {
            mTerminal = terminal;
        }
    }

    /**
     * Events of an attempt, reported by the adapter that sends it.
     *
     * <p>Thread safety: immutable.
     */
    public enum Event {
        CONNECT_STARTED,
        CONNECT_FAILED,
        /**
         * Reported before the byte is passed to the socket, and only while {@link #maySend()} is
         * true.
         */
        FIRST_BYTE,
        /** Refusal with the header {@code X-Not-Run}, which states that the work did not run. */
        TYPED_REFUSAL,
        /** Complete answer with the id of this attempt. */
        COMPLETE_ANSWER,
        /** Truncated answer, or answer with the id of another attempt. */
        BAD_ANSWER,
        RESET,
        TIMEOUT,
        CANCEL
    }
}
