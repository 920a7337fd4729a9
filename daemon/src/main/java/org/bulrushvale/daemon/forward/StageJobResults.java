package org.bulrushvale.daemon.forward;

import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import org.bulrushvale.adapters.forward.CompletedPiece;
import org.bulrushvale.adapters.forward.PieceResult;
import org.bulrushvale.adapters.forward.StageJob;
import org.bulrushvale.adapters.peer.PeerMessage.StageResults;
import org.jspecify.annotations.Nullable;

/**
 * Collects the results of one stage job, and which of its pieces have read their inputs.
 *
 * <p>Invariant: the inputs are reported as read at most once, and only while no piece waits for a
 * call. Thread safety: used on the event loop.
 */
final class StageJobResults {
    private final @Nullable PieceResult[] mResults;
    private final Runnable mOnInputsRead;
    private final Consumer<StageResults> mOnDone;
    private int mMissingResults;
    private int mUnreadPieces;
    private boolean mInputsReported;
    private long mReturnMillis = StageResults.NO_RETURN_TIME;

    StageJobResults(int pieceCount, Runnable onInputsRead, Consumer<StageResults> onDone) {
        mResults = new PieceResult[pieceCount];
        mMissingResults = pieceCount;
        mUnreadPieces = pieceCount;
        mOnInputsRead = onInputsRead;
        mOnDone = onDone;
    }

    /** Returns the results made so far while the job is incomplete, an empty list after that. */
    List<CompletedPiece> partialResults(StageJob job) {
        return mMissingResults > 0 ? job.completedPieces(Arrays.asList(mResults)) : List.of();
    }

    /** Returns true when the inputs were reported as read, so that they may no longer exist. */
    boolean areInputsReported() {
        return mInputsReported;
    }

    /** Records that a server has read the inputs of a piece. */
    void recordInputsRead() {
        mUnreadPieces--;
        if (mUnreadPieces == 0 && mMissingResults > 0) {
            mInputsReported = true;
            mOnInputsRead.run();
        }
    }

    /** Records that a piece whose inputs were read has to read them again. */
    void recordInputsUnread() {
        mUnreadPieces++;
    }

    void add(int index, PieceResult result, long returnMillis) {
        mResults[index] = result;
        mReturnMillis = Math.max(mReturnMillis, returnMillis);
        mMissingResults--;
        if (mMissingResults == 0) {
            mOnDone.accept(new StageResults(Arrays.asList(mResults), mReturnMillis));
        }
    }
}
