package org.bulrushvale.adapters.peer;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * A frame to be written and, if it is a request, the future of its answer.
 *
 * <p>Invariant: {@link #mayHaveBeenSent} is true after the first write that may have passed a byte
 * to the socket, so a frame that fails while it is false never reached the peer.
 *
 * <p>Thread safety: owned by the transport's thread after creation; the future is thread-safe.
 */
final class OutboundFrame {
    private final ByteBuffer mBytes;
    private final int mSizeBytes;
    private final @Nullable SendBudget mBudget;
    private final long mCorrelationId;
    private final long mDeadlineNanos;
    private final @Nullable CompletableFuture<PeerMessage> mAnswer;
    private boolean mMayHaveBeenSent;
    private boolean mBudgetReleased;

    private OutboundFrame(
            ByteBuffer bytes,
            @Nullable SendBudget budget,
            long correlation,
            long deadlineNanos,
            @Nullable CompletableFuture<PeerMessage> answer) {
        mBytes = bytes;
        mSizeBytes = bytes.remaining();
        mBudget = budget;
        mCorrelationId = correlation;
        mDeadlineNanos = deadlineNanos;
        mAnswer = answer;
    }

    static OutboundFrame oneWay(ByteBuffer bytes, @Nullable SendBudget budget) {
        return new OutboundFrame(bytes, budget, 0, 0, null);
    }

    static OutboundFrame request(
            ByteBuffer bytes,
            SendBudget budget,
            long correlation,
            long deadlineNanos,
            CompletableFuture<PeerMessage> answer) {
        return new OutboundFrame(bytes, budget, correlation, deadlineNanos, answer);
    }

    ByteBuffer bytes() {
        return mBytes;
    }

    long correlation() {
        return mCorrelationId;
    }

    boolean isRequest() {
        return mAnswer != null;
    }

    boolean isOverdue(long nowNanos) {
        return mAnswer != null && nowNanos - mDeadlineNanos >= 0;
    }

    long deadlineNanos() {
        return mDeadlineNanos;
    }

    boolean mayHaveBeenSent() {
        return mMayHaveBeenSent;
    }

    void markMaybeSent() {
        mMayHaveBeenSent = true;
    }

    /** Returns the reserved bytes to the budget; later calls have no effect. */
    void release() {
        if (!mBudgetReleased && mBudget != null) {
            mBudget.release(mSizeBytes);
        }
        mBudgetReleased = true;
    }

    void complete(PeerMessage answer) {
        if (mAnswer != null) {
            mAnswer.complete(answer);
        }
    }

    void fail(String detail) {
        release();
        if (mAnswer != null) {
            mAnswer.completeExceptionally(
                    mMayHaveBeenSent
                            ? PeerException.unanswered(detail)
                            : PeerException.undelivered(detail));
        }
    }
}
