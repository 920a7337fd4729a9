package org.bulrushvale.decision.forward;

/**
 * The waiting pieces of one group, which are useful only together.
 *
 * <p>Thread safety: not safe; used by the event loop.
 */
final class WaitingGroup {
    private final StageQueue.Piece mFirst;
    private int mPieces;
    private boolean mPromoted;
    private boolean mExpectedLate;
    private boolean mPartlyStarted;
    private double mVirtualStart;

    WaitingGroup(StageQueue.Piece first) {
        mFirst = first;
    }

    /** Returns a group that does not wait yet. */
    static WaitingGroup of(StageQueue.Piece first, int pieces) {
        WaitingGroup group = new WaitingGroup(first);
        group.mPieces = pieces;
        return group;
    }

    String name() {
        return mFirst.group();
    }

    int rank() {
        return mFirst.rank();
    }

    String workspace() {
        return mFirst.workspace();
    }

    /** Returns true when both groups use the same share of the same rank. */
    boolean isOfSameWorkspace(WaitingGroup other) {
        return rank() == other.rank() && workspace().equals(other.workspace());
    }

    /**
     * Returns the virtual time at which the share of its workspace lets the group start; zero while
     * the service is not short of capacity.
     */
    double virtualStart() {
        return mVirtualStart;
    }

    void setVirtualStart(double virtualStart) {
        mVirtualStart = virtualStart;
    }

    boolean hasInputs() {
        return mFirst.hasInputs();
    }

    long latestStartNanos() {
        return mFirst.latestStartNanos();
    }

    long giveUpNanos() {
        return mFirst.giveUpNanos();
    }

    long deadlineNanos() {
        return mFirst.deadlineNanos();
    }

    /** Returns the number of pieces that wait. */
    int pieces() {
        return mPieces;
    }

    /** Returns the memory that the results of the waiting pieces need. */
    long bytes() {
        return mFirst.resultBytes() * mPieces;
    }

    void addPiece() {
        mPieces++;
    }

    void removePiece() {
        mPieces--;
    }

    /** Returns true when the group can start too late for its target only. */
    boolean isLate(long nowNanos) {
        return latestStartNanos() - nowNanos <= 0;
    }

    /** Returns true when the forecast says that the group will start too late for its target. */
    boolean isExpectedLate(long nowNanos) {
        return mExpectedLate || isLate(nowNanos);
    }

    void setExpectedLate(boolean expectedLate) {
        mExpectedLate = expectedLate;
    }

    /** Returns true when the late group comes first, because it would miss its last start. */
    boolean isPromoted() {
        return mPromoted;
    }

    void setPromoted(boolean promoted) {
        mPromoted = promoted;
    }

    /** Returns true when some pieces have started, so that a refusal would waste work. */
    boolean isPartlyStarted() {
        return mPartlyStarted;
    }

    void markPartlyStarted() {
        mPartlyStarted = true;
    }
}
