package org.bulrushvale.decision.keys;

/**
 * Bound on the records and the stored outputs of all key spaces of one process.
 *
 * <p>Invariant: neither count exceeds its limit or becomes negative. Thread safety: not safe; owned
 * by the event loop.
 */
public final class KeyMemoryBudget {
    private final int mMaxRecords;
    private final long mMaxOutputChars;
    private int mRecords;
    private long mOutputChars;

    private KeyMemoryBudget(int maxRecords, long maxOutputChars) {
        mMaxRecords = maxRecords;
        mMaxOutputChars = maxOutputChars;
    }

    /** Returns an empty account with the given limits. */
    public static KeyMemoryBudget limitedTo(int maxRecords, long maxOutputChars) {
        if (maxRecords < 1 || maxOutputChars < 0) {
            throw new IllegalArgumentException("limits must be positive");
        }
        return new KeyMemoryBudget(maxRecords, maxOutputChars);
    }

    /** Returns the number of records held. */
    public int records() {
        return mRecords;
    }

    /** Returns the number of characters of stored outputs. */
    public long outputChars() {
        return mOutputChars;
    }

    boolean reserveRecords(int count) {
        if (mRecords + count > mMaxRecords) {
            return false;
        }
        mRecords += count;
        return true;
    }

    void releaseRecords(int count) {
        mRecords -= count;
    }

    boolean reserveOutput(int chars) {
        if (mOutputChars + chars > mMaxOutputChars) {
            return false;
        }
        mOutputChars += chars;
        return true;
    }

    void releaseOutput(int chars) {
        mOutputChars -= chars;
    }
}
