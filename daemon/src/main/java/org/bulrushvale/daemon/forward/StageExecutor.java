package org.bulrushvale.daemon.forward;

import java.util.List;
import java.util.function.Consumer;
import org.bulrushvale.adapters.forward.CompletedPiece;
import org.bulrushvale.adapters.forward.StageJob;
import org.bulrushvale.adapters.peer.PeerMessage.StageResults;

/**
 * Executes stage jobs, each of which is a set of pieces for one stage service.
 *
 * <p>Thread safety: used on the event loop.
 */
interface StageExecutor {
    /**
     * Executes a job.
     *
     * @param onInputsRead called at most once, when the servers have read the inputs of all pieces
     * @param onDone called once with one result for each piece and, for a refused job, the time
     *     after which its caller should return
     * @return a task that cancels the job
     */
    Runnable execute(StageJob job, Runnable onInputsRead, Consumer<StageResults> onDone);

    /** Releases results that a service made. */
    void release(String service, List<CompletedPiece> pieces);
}
