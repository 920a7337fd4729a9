package org.bulrushvale.daemon.forward;

import java.util.Collection;
import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;
import org.bulrushvale.adapters.forward.PieceOrder;
import org.bulrushvale.adapters.forward.PieceResult;
import org.bulrushvale.adapters.forward.StageJob;
import org.bulrushvale.adapters.peer.PeerMessage.StageResults;
import org.bulrushvale.decision.forward.StageQueue;
import org.jspecify.annotations.Nullable;

/**
 * A piece in the queue of its stage service, with the consumer of its result.
 *
 * <p>A duplicate of a piece delivers to its original, so the first result wins and the later one is
 * not needed. A duplicate that fails is not repeated, because the original still runs.
 *
 * <p>Invariant: the result is delivered at most once. Thread safety: not safe; used by the event
 * loop.
 */
final class QueuedPiece implements StageQueue.Piece {
    private final StageJob mJob;
    private final PieceOrder mOrder;
    private final long mStartByNanos;
    private final long mGiveUpNanos;
    private final long mCreatedNanos;
    private final ObjLongConsumer<PieceResult> mOnResult;
    // The queue compares both often.
    private final String mName;
    private final String mGroup;
    private final Set<String> mAvoided = new HashSet<>();
    private boolean mDelivered;
    private boolean mInputsRead;
    private @Nullable StageJobResults mInputReads;
    private boolean mStarted;
    private boolean mDuplicated;
    private @Nullable QueuedPiece mOriginal;
    private Consumer<DuplicateEnd> mOnDuplicateEnd = end -> {};

    QueuedPiece(
            StageJob job, PieceOrder order, long nowNanos, ObjLongConsumer<PieceResult> onResult) {
        mJob = job;
        mOrder = order;
        mStartByNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(job.startByMillis());
        mGiveUpNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(job.giveUpMillis());
        mCreatedNanos = nowNanos;
        mOnResult = onResult;
        mName = name(order.requestId(), order.stage(), order.piece());
        mGroup = order.requestId() + "/" + order.stage();
    }

    PieceOrder order() {
        return mOrder;
    }

    /** Returns the monotonic time at which the job of the piece arrived. */
    long createdNanos() {
        return mCreatedNanos;
    }

    /** Sets what counts the pieces of the job whose inputs were read. */
    void setInputReads(StageJobResults inputReads) {
        mInputReads = inputReads;
    }

    /** Records that a server has read the inputs. */
    void recordInputsRead() {
        StageJobResults inputReads = mInputReads;
        if (inputReads != null && !mInputsRead && !mDelivered) {
            mInputsRead = true;
            inputReads.recordInputsRead();
        }
    }

    /** Records that another server has to read the inputs; returns false when they are released. */
    boolean recordRepeat() {
        StageJobResults inputReads = mInputReads;
        if (inputReads == null || !mInputsRead) {
            return true;
        }
        if (inputReads.areInputsReported()) {
            return false;
        }
        mInputsRead = false;
        inputReads.recordInputsUnread();
        return true;
    }

    /** Returns the number of servers that failed to make the piece. */
    int failedServerCount() {
        return mAvoided.size();
    }

    void avoid(String server) {
        mAvoided.add(server);
    }

    /** Records that a call with the piece has started. */
    void onStarted() {
        mStarted = true;
    }

    /** Returns true when the result is needed and neither copy nor original is a duplicate. */
    boolean mayDuplicate() {
        return !mDuplicated && mOriginal == null && !isAbandoned();
    }

    /**
     * Returns a duplicate of the piece for another server than the given ones.
     *
     * @param onEnd called once, when the duplicate has ended
     */
    QueuedPiece duplicate(Collection<String> unusable, Consumer<DuplicateEnd> onEnd) {
        QueuedPiece copy =
                new QueuedPiece(mJob, mOrder, mCreatedNanos, (result, returnMillis) -> {});
        copy.mAvoided.addAll(mAvoided);
        copy.mAvoided.addAll(unusable);
        copy.mOriginal = this;
        copy.mOnDuplicateEnd = onEnd;
        mDuplicated = true;
        return copy;
    }

    /** Returns true for a copy of a piece whose call is slow. */
    boolean isDuplicate() {
        return mOriginal != null;
    }

    /** Gives up a duplicate that no server could take at once. */
    void withdrawUnlessStarted() {
        if (!mStarted) {
            endIfDuplicate();
        }
    }

    /** Ends a duplicate without a result; returns false when the piece is no duplicate. */
    boolean endIfDuplicate() {
        if (isDuplicate()) {
            endDuplicate(DuplicateEnd.FAILED);
        }
        return isDuplicate();
    }

    private void endDuplicate(DuplicateEnd end) {
        if (!mDelivered) {
            mDelivered = true;
            mOnDuplicateEnd.accept(end);
        }
    }

    private boolean deliverToOriginal(QueuedPiece original, PieceResult result) {
        if (mDelivered || result.outcome() != PieceResult.Outcome.MADE) {
            endDuplicate(DuplicateEnd.FAILED);
            return false;
        }
        boolean first = original.deliver(result);
        endDuplicate(first ? DuplicateEnd.FIRST : DuplicateEnd.LATER);
        return first;
    }

    /** Delivers the result; returns false when the piece was delivered or abandoned before. */
    boolean deliver(PieceResult result) {
        return deliver(result, StageResults.NO_RETURN_TIME);
    }

    /** Refuses the piece and states when its caller should return, in ms. */
    void refuse(OptionalLong returnMillis) {
        deliver(
                PieceResult.failed(PieceResult.Outcome.LATE),
                returnMillis.orElse(StageResults.NO_RETURN_TIME));
    }

    private boolean deliver(PieceResult result, long returnMillis) {
        QueuedPiece original = mOriginal;
        if (original != null) {
            return deliverToOriginal(original, result);
        }
        if (mDelivered) {
            return false;
        }
        mDelivered = true;
        mOnResult.accept(result, returnMillis);
        return true;
    }

    @Override
    public String name() {
        return mName;
    }

    static String name(String requestId, int stage, int piece) {
        return requestId + "/" + stage + "/" + piece;
    }

    @Override
    public String group() {
        return mGroup;
    }

    @Override
    public int rank() {
        return mJob.rank();
    }

    @Override
    public String workspace() {
        return mJob.workspace();
    }

    @Override
    public long latestStartNanos() {
        return mStartByNanos;
    }

    @Override
    public long giveUpNanos() {
        return mGiveUpNanos;
    }

    @Override
    public long deadlineNanos() {
        return mCreatedNanos + TimeUnit.MILLISECONDS.toNanos(mOrder.remainingMillis());
    }

    @Override
    public long resultBytes() {
        return mJob.resultBytes();
    }

    @Override
    public String preferredDomain() {
        return mJob.preferredDomain();
    }

    @Override
    public boolean hasInputs() {
        return !mOrder.inputs().isEmpty();
    }

    @Override
    public boolean isAbandoned() {
        QueuedPiece original = mOriginal;
        return mDelivered || original != null && original.isAbandoned();
    }

    @Override
    public boolean avoids(String server) {
        return mAvoided.contains(server);
    }

    /** Gives the piece up without a result. */
    void abandon() {
        mDelivered = true;
    }

    /** How the duplicate of a piece ended. */
    enum DuplicateEnd {
        /** Its result came first. */
        FIRST,
        /** Its result was not needed any more. */
        LATER,
        /** It has no result. */
        FAILED
    }
}
