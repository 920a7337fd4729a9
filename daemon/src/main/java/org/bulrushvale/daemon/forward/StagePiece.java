package org.bulrushvale.daemon.forward;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.bulrushvale.adapters.forward.PieceOrder;
import org.bulrushvale.adapters.forward.PieceResult;
import org.bulrushvale.decision.forward.StageQueue;

/**
 * A piece that waits at a desk, with who waits for it.
 *
 * <p>Invariant: the result is delivered once. Thread safety: not safe; used by the event loop.
 */
final class StagePiece implements StageQueue.Piece {
    private final PieceOrder mOrder;
    private final long mTargetNanos;
    private final long mDeadlineNanos;
    private final long mResultBytes;
    private final Consumer<PieceResult> mOnResult;
    private final Set<String> mAvoided = new HashSet<>();
    private boolean mDelivered;

    StagePiece(
            PieceOrder order,
            long targetNanos,
            long deadlineNanos,
            long resultBytes,
            Consumer<PieceResult> onResult) {
        mOrder = order;
        mTargetNanos = targetNanos;
        mDeadlineNanos = deadlineNanos;
        mResultBytes = resultBytes;
        mOnResult = onResult;
    }

    PieceOrder order() {
        return mOrder;
    }

    /** Returns the servers that failed to make the piece. */
    int failures() {
        return mAvoided.size();
    }

    void avoid(String server) {
        mAvoided.add(server);
    }

    void deliver(PieceResult result) {
        if (!mDelivered) {
            mDelivered = true;
            mOnResult.accept(result);
        }
    }

    @Override
    public String name() {
        return name(mOrder.requestId(), mOrder.stage(), mOrder.piece());
    }

    static String name(String requestId, int stage, int piece) {
        return requestId + "/" + stage + "/" + piece;
    }

    @Override
    public long targetNanos() {
        return mTargetNanos;
    }

    @Override
    public long deadlineNanos() {
        return mDeadlineNanos;
    }

    @Override
    public long resultBytes() {
        return mResultBytes;
    }

    @Override
    public boolean isAbandoned() {
        return mDelivered;
    }

    @Override
    public boolean avoids(String server) {
        return mAvoided.contains(server);
    }

    /** Gives the piece up; nobody is told. */
    void abandon() {
        mDelivered = true;
    }
}
