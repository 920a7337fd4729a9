package org.bulrushvale.decision.forward;

import java.time.Duration;

/**
 * How an entry reads the published state from the store.
 *
 * <p>Thread safety: immutable.
 */
public enum StoreReading {
    /** Another entry passes the state on; nothing is read. */
    OFF {
        @Override
        public Duration watchWait(Duration freshness) {
            throw new IllegalStateException("the store is not watched");
        }
    },

    /** The state is read for this entry alone. */
    OWN_USE {
        @Override
        public Duration watchWait(Duration freshness) {
            // The longest wait with which a silent connection is detected in time.
            return freshness.multipliedBy(3).dividedBy(4);
        }
    },

    /**
     * The state is also passed on to other entries. These must notice early enough to read the
     * store themselves that this entry no longer reaches it, so the watches are shorter.
     */
    FOR_OTHERS {
        @Override
        public Duration watchWait(Duration freshness) {
            return freshness.dividedBy(4);
        }
    };

    /**
     * Returns the longest time for which the store holds a watch open.
     *
     * @param freshness time within which a change must take effect
     */
    public abstract Duration watchWait(Duration freshness);

    /** Returns true when the store is read. */
    public boolean isActive() {
        return this != OFF;
    }
}
