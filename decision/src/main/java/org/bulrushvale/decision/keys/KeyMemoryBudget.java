package org.bulrushvale.decision.keys;

/**
 * Limits the number of records and the size of stored outputs over all key spaces of one process.
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

    /** Returns a budget with the given limits, of which nothing is used. */
    public static KeyMemoryBudget limitedTo(int maxRecords, long maxOutputChars) {
        if (maxRecords < 1 || maxOutputChars < 0) {
            throw new IllegalArgumentException("limits must be at least 1 record and 0 characters");
        }
        return new KeyMemoryBudget(maxRecords, maxOutputChars);
    }

    /** Returns the number of reserved records. */
    public int records() {
        return mRecords;
    }

    /** Returns the total length of stored outputs, in characters. */
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
