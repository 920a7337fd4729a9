package org.bulrushvale.decision.forward;

/**
 * What a route says about repeating its requests.
 *
 * <p>Thread safety: immutable.
 */
public enum RequestKind {
    /** May run any number of times. */
    SAFE {
        @Override
        public boolean mayRepeat(boolean resumable) {
            return true;
        }
    },
    /** Runs at most once. */
    UNSAFE {
        @Override
        public boolean mayRepeat(boolean resumable) {
            return false;
        }
    },
    /** Answers with events; runs at most once unless it can be resumed. */
    STREAM {
        @Override
        public boolean mayRepeat(boolean resumable) {
            return resumable;
        }
    };

    /** Returns true when a request that may have run may be sent again. */
    public abstract boolean mayRepeat(boolean resumable);
}
