package org.bulrushvale.adapters.peer;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * A frame to be written, with the future of its request if it is one.
 *
 * <p>Invariant: {@link #mayHaveLeft} is set no later than the first byte reaches the socket, so a
 * failure before it proves that the peer received nothing.
 *
 * <p>Thread safety: after creation owned by the transport's thread; the future is thread-safe.
 */
final class OutFrame {
    private final ByteBuffer mBytes;
    private final int mSize;
    private final @Nullable SendBudget mBudget;
    private final long mCorrelation;
    private final long mDeadlineNanos;
    private final @Nullable CompletableFuture<PeerMessage> mAnswer;
    private boolean mMayHaveLeft;
    private boolean mReleased;

    private OutFrame(
            ByteBuffer bytes,
            @Nullable SendBudget budget,
            long correlation,
            long deadlineNanos,
            @Nullable CompletableFuture<PeerMessage> answer) {
        mBytes = bytes;
        mSize = bytes.remaining();
        mBudget = budget;
        mCorrelation = correlation;
        mDeadlineNanos = deadlineNanos;
        mAnswer = answer;
    }

    static OutFrame oneWay(ByteBuffer bytes, @Nullable SendBudget budget) {
        return new OutFrame(bytes, budget, 0, 0, null);
    }

    static OutFrame request(
            ByteBuffer bytes,
            SendBudget budget,
            long correlation,
            long deadlineNanos,
            CompletableFuture<PeerMessage> answer) {
        return new OutFrame(bytes, budget, correlation, deadlineNanos, answer);
    }

    ByteBuffer bytes() {
        return mBytes;
    }

    long correlation() {
        return mCorrelation;
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

    boolean mayHaveLeft() {
        return mMayHaveLeft;
    }

    void markLeft() {
        mMayHaveLeft = true;
    }

    /** Returns the reserved bytes to the budget, once. */
    void release() {
        if (!mReleased && mBudget != null) {
            mBudget.release(mSize);
        }
        mReleased = true;
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
                    mMayHaveLeft
                            ? PeerException.unanswered(detail)
                            : PeerException.undelivered(detail));
        }
    }
}
