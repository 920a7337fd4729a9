package org.bulrushvale.decision.drain;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.bulrushvale.kernel.time.Clock;

/**
 * State machine of the graceful shutdown of an entry, which does not interrupt accepted requests.
 *
 * <pre>{@code
 * DrainSequence drain = new DrainSequence(clock, DrainTimeouts.DEFAULT);
 * drain.begin();
 * for (DrainState entered : drain.tick()) { ... }
 * }</pre>
 *
 * <p>Invariants: an accepted request keeps its own deadline; the sequence leaves {@code FINISHING}
 * only when all accepted requests have ended, or when the grace time after their latest deadline
 * has passed. It stops only when no connection has a request in progress, or when the time for
 * closing them has passed. Each state is entered once, in order. After a pause of the process, one
 * tick may enter several states.
 *
 * <p>Thread safety: not safe; owned by the event loop.
 */
public final class DrainSequence {
    private final Clock mClock;
    private final DrainTimeouts mTimeouts;
    private DrainState mState = DrainState.SERVING;
    private long mEnteredNanos;
    private long mLatestDeadlineNanos;
    private int mInFlight;
    private boolean mHandoverDone;
    private boolean mConnectionsClosed;
    private int mAbandonedRequests;

    /** Creates a sequence in the state {@code SERVING}. */
    public DrainSequence(Clock clock, DrainTimeouts timeouts) {
        mClock = clock;
        mTimeouts = timeouts;
        mEnteredNanos = clock.monotonicNanos();
        mLatestDeadlineNanos = mEnteredNanos;
    }

    /**
     * Accepts a request with its deadline; returns false when the entry accepts no more requests.
     */
    public boolean tryAccept(long deadlineNanos) {
        if (!mState.accepts()) {
            return false;
        }
        mInFlight++;
        if (deadlineNanos - mLatestDeadlineNanos > 0) {
            mLatestDeadlineNanos = deadlineNanos;
        }
        return true;
    }

    /** Records that an accepted request has ended. */
    public void onRequestEnded() {
        if (mInFlight == 0) {
            throw new IllegalStateException("more requests ended than were accepted");
        }
        mInFlight--;
    }

    /** Begins the shutdown; has no effect when it has already begun. */
    public void begin() {
        if (mState == DrainState.SERVING) {
            enter(DrainState.UNREADY);
        }
    }

    /** Records that all key spaces were handed over, or that there were none. */
    public void onHandedOver() {
        mHandoverDone = true;
    }

    /** Records that every connection was closed or has ended with its last answer. */
    public void onConnectionsClosed() {
        mConnectionsClosed = true;
    }

    /**
     * Enters the next states as far as time and requests permit; returns the entered states in
     * order.
     */
    public List<DrainState> tick() {
        List<DrainState> entered = new ArrayList<>();
        while (mayEnterNext()) {
            if (mState == DrainState.FINISHING) {
                mAbandonedRequests = mInFlight;
            }
            enter(DrainState.values()[mState.ordinal() + 1]);
            entered.add(mState);
        }
        return entered;
    }

    /** Returns the current state. */
    public DrainState state() {
        return mState;
    }

    /** Returns the number of accepted requests that have not ended. */
    public int inFlight() {
        return mInFlight;
    }

    /** Returns the number of requests that had not ended when {@code FINISHING} ended. */
    public int abandonedRequests() {
        return mAbandonedRequests;
    }

    /** Returns true once no connection has a request in progress. */
    public boolean connectionsClosed() {
        return mConnectionsClosed;
    }

    private boolean mayEnterNext() {
        long now = mClock.monotonicNanos();
        Duration timeInState = mClock.elapsedSince(mEnteredNanos);
        switch (mState) {
            case UNREADY:
                return timeInState.compareTo(mTimeouts.unready()) >= 0;
            case LISTENERS_CLOSED:
                return timeInState.compareTo(mTimeouts.settle()) >= 0;
            case FINISHING:
                return mInFlight == 0 || now - mLatestDeadlineNanos >= mTimeouts.grace().toNanos();
            case HANDING_OVER:
                return mHandoverDone || timeInState.compareTo(mTimeouts.handover()) >= 0;
            case CLOSING_CONNECTIONS:
                return mConnectionsClosed || timeInState.compareTo(mTimeouts.closing()) >= 0;
            case SERVING:
            case STOPPED:
            default:
                return false;
        }
    }

    private void enter(DrainState state) {
        mState = state;
        mEnteredNanos = mClock.monotonicNanos();
    }
}
