package org.bulrushvale.daemon.forward;

import java.util.List;
import java.util.function.Consumer;
import org.bulrushvale.adapters.forward.CompletedPiece;
import org.bulrushvale.adapters.forward.PieceResult;
import org.bulrushvale.adapters.forward.StageJob;

/**
 * Makes the pieces of stages.
 *
 * <p>Thread safety: used on the event loop.
 */
interface StageWork {
    /**
     * Makes the pieces of a job.
     *
     * @param onDone receives one result for each piece, once
     * @return gives the job up
     */
    Runnable make(StageJob job, Consumer<List<PieceResult>> onDone);

    /** Gives up results of a service. */
    void release(String service, List<CompletedPiece> pieces);
}
