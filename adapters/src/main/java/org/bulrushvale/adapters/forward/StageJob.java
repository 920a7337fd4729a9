package org.bulrushvale.adapters.forward;

import java.util.List;

/**
 * The pieces of one stage of one request.
 *
 * <p>Times are relative, because the clocks of two processes differ. Thread safety: immutable.
 *
 * @param service stage service that makes the pieces
 * @param targetMillis time within which the request should be answered
 * @param deadlineMillis time after which nobody waits
 * @param resultBytes approximate size of one result
 */
public record StageJob(
        String service,
        List<PieceOrder> pieces,
        long targetMillis,
        long deadlineMillis,
        long resultBytes) {
    public StageJob {
        pieces = List.copyOf(pieces);
    }
}
