package org.bulrushvale.decision.forward;

import java.time.Duration;

/**
 * How an entry reads the published state from the store.
 *
 * <p>Thread safety: immutable.
 */
public enum StoreReading {
    /** Another entry passes the state on; nothing is read. */
    OFF,

    /** The state is read for this entry alone. */
    OWN_USE,

    /** The state is also passed on to other entries. */
    FOR_OTHERS;

    // A silent connection is detected a quarter of the freshness after the end of a watch. Half of
    // the freshness is left for reading anew, or, for entries that this one reads for, for noticing
    // that it does not and reading the store themselves.
    private static final int WATCH_WAIT_DIVISOR = 4;

    /**
     * Returns the longest time for which the store holds a watch open.
     *
     * @param freshness time within which a change must take effect
     */
    public Duration watchWait(Duration freshness) {
        if (!isActive()) {
            throw new IllegalStateException("the store is not watched");
        }
        return freshness.dividedBy(WATCH_WAIT_DIVISOR);
    }

    /** Returns true when the store is read. */
    public boolean isActive() {
        return this != OFF;
    }
}
