package org.bulrushvale.decision.warmup;

/**
 * How an attempt on a backend server ended, as far as the warm-up of the server depends on it.
 *
 * <p>Thread safety: immutable.
 */
public enum AttemptOutcome {
    /** The server answered completely. */
    COMPLETED(false, false),
    /** The server answered with an error and no longer works on the attempt. */
    FAILED(true, false),
    /** The server refused the attempt before it did any work, or never received it. */
    NOT_RUN(false, false),
    /** The connection failed or timed out; the server may still work on the attempt. */
    LOST(true, true),
    /** This entry cancelled the attempt; the server may still work on it. */
    CANCELLED(false, true);

    private final boolean mFailure;
    private final boolean mMayStillRun;

    AttemptOutcome(boolean failure, boolean mayStillRun) {
        mFailure = failure;
        mMayStillRun = mayStillRun;
    }

    boolean isFailure() {
        return mFailure;
    }

    boolean mayStillRun() {
        return mMayStillRun;
    }
}
