package org.bulrushvale.decision.warmup;

/**
 * How an attempt on a backend server ended, as far as its warmth is concerned.
 *
 * <p>Thread safety: immutable.
 */
public enum AttemptOutcome {
    /** The server answered completely. */
    COMPLETED(false, false),
    /** The server answered with an error and no longer works on the attempt. */
    FAILED(true, false),
    /** The server refused the attempt before any work, or never received it. */
    NOT_RUN(false, false),
    /** The connection was lost or silent; the server may still work on the attempt. */
    LOST(true, true),
    /** This entry gave up; the server may still work on the attempt. */
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
