package org.bulrushvale.decision.drain;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.bulrushvale.kernel.time.Clock;

/**
 * Leads an entry from serving to stopped without interrupting a request.
 *
 * <pre>{@code
 * DrainSequence drain = new DrainSequence(clock, DrainTimeouts.DEFAULT);
 * drain.begin();
 * for (DrainState entered : drain.tick()) { ... }
 * }</pre>
 *
 * <p>Invariants: an accepted request keeps its own deadline; the sequence leaves {@code FINISHING}
 * only when none is left or when the last accepted deadline and the grace have passed. States are
 * entered in order, each once. After a pause of the process one tick may enter several states.
 *
 * <p>Thread safety: not safe; owned by the event loop.
 */
public final class DrainSequence {
    private final Clock mClock;
    private final DrainTimeouts mLimits;
    private DrainState mState = DrainState.SERVING;
    private long mSince;
    private long mLastDeadline;
    private int mInFlight;
    private boolean mHandedOver;
    private int mAbandoned;

    /** Creates a sequence in the state {@code SERVING}. */
    public DrainSequence(Clock clock, DrainTimeouts limits) {
        mClock = clock;
        mLimits = limits;
        mSince = clock.monotonicNanos();
        mLastDeadline = mSince;
    }

    /** Accepts a request with its deadline; returns false when it must be refused as draining. */
    public boolean tryAccept(long deadlineNanos) {
        if (!mState.accepts()) {
            return false;
        }
        mInFlight++;
        if (deadlineNanos - mLastDeadline > 0) {
            mLastDeadline = deadlineNanos;
        }
        return true;
    }

    /** Records that an accepted request has been answered. */
    public void onRequestEnded() {
        if (mInFlight == 0) {
            throw new IllegalStateException("more requests ended than were accepted");
        }
        mInFlight--;
    }

    /** Begins the shutdown; has no effect when it has begun before. */
    public void begin() {
        if (mState == DrainState.SERVING) {
            enter(DrainState.UNREADY);
        }
    }

    /** Records that every key space was handed over, or that there was none. */
    public void onHandedOver() {
        mHandedOver = true;
    }

    /** Moves on as far as time and requests permit; returns the states entered, in order. */
    public List<DrainState> tick() {
        List<DrainState> entered = new ArrayList<>();
        while (mayLeave()) {
            if (mState == DrainState.FINISHING) {
                mAbandoned = mInFlight;
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

    /** Returns the number of requests that had not ended at the end of {@code FINISHING}. */
    public int abandoned() {
        return mAbandoned;
    }

    private boolean mayLeave() {
        long now = mClock.monotonicNanos();
        Duration age = mClock.elapsedSince(mSince);
        switch (mState) {
            case UNREADY:
                return age.compareTo(mLimits.unready()) >= 0;
            case LISTENERS_CLOSED:
                return age.compareTo(mLimits.settle()) >= 0;
            case FINISHING:
                return mInFlight == 0 || now - mLastDeadline >= mLimits.grace().toNanos();
            case HANDING_OVER:
                return mHandedOver || age.compareTo(mLimits.handover()) >= 0;
            case SERVING:
            case STOPPED:
            default:
                return false;
        }
    }

    private void enter(DrainState state) {
        mState = state;
        mSince = mClock.monotonicNanos();
    }
}
