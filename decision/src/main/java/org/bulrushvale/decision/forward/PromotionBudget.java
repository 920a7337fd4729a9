package org.bulrushvale.decision.forward;

/**
 * Limits the pieces of late groups that start before groups in time to a share of all pieces.
 *
 * <p>Thread safety: not safe; used by the event loop.
 */
final class PromotionBudget {
    /** Part of the started pieces that promotions may account for. */
    static final double SHARE = 0.2;

    // Some seconds of work; older starts lose their weight, so that a quiet time earns no burst.
    private static final double MEMORY_PIECES = 1_000;

    private double mStarted;
    private double mPromoted;

    /** Returns true when a group of this size may be promoted besides {@code planned} pieces. */
    boolean allows(int planned, int pieces) {
        return mPromoted + planned + pieces <= SHARE * (mStarted + planned + pieces);
    }

    /** Records a piece that starts. */
    void recordStarted(boolean promoted) {
        mStarted++;
        mPromoted += promoted ? 1 : 0;
        if (mStarted > MEMORY_PIECES) {
            mStarted /= 2;
            mPromoted /= 2;
        }
    }
}
