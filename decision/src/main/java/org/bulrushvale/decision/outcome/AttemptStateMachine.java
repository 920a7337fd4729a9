package org.bulrushvale.decision.outcome;

import org.bulrushvale.kernel.verdict.Verdict;

/**
 * State machine of one attempt on the wire; computes its verdict.
 *
 * <pre>{@code
 * AttemptStateMachine trace = new AttemptStateMachine();
 * trace.on(AttemptStateMachine.Event.CONNECT_STARTED);
 * trace.on(AttemptStateMachine.Event.FIRST_BYTE);
 * trace.on(AttemptStateMachine.Event.RESET);
 * trace.verdict(); // MAY_HAVE_RUN
 * }</pre>
 *
 * <p>Invariants: before the first byte the verdict is {@code NOT_RUN}; a typed refusal counts only
 * while the attempt is {@code SENT}; once the attempt has ended, no event lowers its verdict, and a
 * late complete answer raises it to {@code RAN}.
 *
 * <p>Thread safety: not safe; owned by the event loop.
 */
public final class AttemptStateMachine {
    private State mState = State.IDLE;
    private boolean mSent;
    private Verdict mVerdict = Verdict.NOT_RUN;

    /** Returns the current state. */
    public State state() {
        return mState;
    }

    /** Returns the verdict as far as the events show. */
    public Verdict verdict() {
        return mVerdict;
    }

    /** Returns true when the attempt is over. */
    public boolean hasEnded() {
        return mState.mEnd;
    }

    /** Returns true while the first byte may still be handed to the socket. */
    public boolean maySend() {
        return !mSent && !hasEnded();
    }

    /** Applies an event; events that arrive after the end only ever raise the verdict. */
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
            case CONNECT_FAILED, BAD_ANSWER, RESET, TIMEOUT, CANCEL -> endAs(State.LOST);
            default -> throw new AssertionError(event);
        }
    }

    private void onFirstByte() {
        boolean repeated = mSent;
        mSent = true;
        if (!hasEnded()) {
            mState = State.SENT;
        }
        // A repeated event carries no information; it must not undo a typed refusal.
        if (!repeated) {
            mVerdict = mVerdict.combinedWith(Verdict.MAY_HAVE_RUN);
        }
    }

    private void onRefusal() {
        if (mState == State.SENT) {
            mVerdict = Verdict.NOT_RUN;
            mState = State.REFUSED;
        } else {
            // A refusal before the first byte answers some other request on the connection.
            endAs(State.LOST);
        }
    }

    private void endAs(State end) {
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
        IDLE(false),
        CONNECTING(false),
        SENT(false),
        ANSWERED(true),
        REFUSED(true),
        LOST(true);

        private final boolean mEnd;

        State(boolean end) {
            mEnd = end;
        }
    }

    /**
     * What an adapter observes of an attempt.
     *
     * <p>Thread safety: immutable.
     */
    public enum Event {
        CONNECT_STARTED,
        CONNECT_FAILED,
        /** Reported before the byte is handed to the socket, and only while {@link #maySend()}. */
        FIRST_BYTE,
        /** Refusal with {@code X-Not-Run}. */
        TYPED_REFUSAL,
        /** Complete answer with the id of this attempt. */
        COMPLETE_ANSWER,
        /** Foreign or truncated answer. */
        BAD_ANSWER,
        RESET,
        TIMEOUT,
        CANCEL
    }
}
