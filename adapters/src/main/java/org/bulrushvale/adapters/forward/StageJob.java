package org.bulrushvale.adapters.forward;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The pieces of one stage of one request, to be computed by a stage service.
 *
 * <p>Times are durations rather than points in time, because the clocks of two processes differ.
 * Thread safety: immutable.
 *
 * @param service stage service that computes the pieces
 * @param startByMillis time within which the pieces must start to meet the request's target
 * @param giveUpMillis time after which waiting for a server is useless
 * @param rank rank of the request; 0 is the most important
 * @param workspace name of the caller's workspace; empty when it has none
 * @param resultBytes approximate size of one result in bytes
 * @param preferredDomain failure domain that avoids moving large results; empty for none
 */
public record StageJob(
        String service,
        List<PieceOrder> pieces,
        long startByMillis,
        long giveUpMillis,
        int rank,
        String workspace,
        long resultBytes,
        String preferredDomain) {
    public StageJob {
        pieces = List.copyOf(pieces);
    }

    /** Returns the computed pieces; a null in {@code results} stands for a missing result. */
    public List<CompletedPiece> completedPieces(List<@Nullable PieceResult> results) {
        List<CompletedPiece> completed = new ArrayList<>();
        for (int i = 0; i < Math.min(pieces.size(), results.size()); i++) {
            PieceResult result = results.get(i);
            if (result != null && result.outcome() == PieceResult.Outcome.MADE) {
                completed.add(CompletedPiece.of(pieces.get(i), result));
            }
        }
        return completed;
    }
}
