package org.bulrushvale.decision.forward;

/**
 * How often a request of a route may run.
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

    /**
     * Returns true when a request that may have run may be sent again.
     *
     * @param resumable whether a stream can be continued after the last event that was delivered
     */
    public abstract boolean mayRepeat(boolean resumable);
}
