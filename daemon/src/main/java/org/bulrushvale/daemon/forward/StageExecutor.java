package org.bulrushvale.daemon.forward;

import java.util.List;
import java.util.function.Consumer;
import org.bulrushvale.adapters.forward.CompletedPiece;
import org.bulrushvale.adapters.forward.PieceResult;
import org.bulrushvale.adapters.forward.StageJob;

/**
 * Executes stage jobs, each of which is a set of pieces for one stage service.
 *
 * <p>Thread safety: used on the event loop.
 */
interface StageExecutor {
    /**
     * Executes a job.
     *
     * @param onDone called once with one result for each piece
     * @return a task that cancels the job
     */
    Runnable execute(StageJob job, Consumer<List<PieceResult>> onDone);

    /** Releases results that a service made. */
    void release(String service, List<CompletedPiece> pieces);
}
