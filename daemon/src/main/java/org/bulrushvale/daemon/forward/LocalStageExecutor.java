package org.bulrushvale.daemon.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.bulrushvale.adapters.forward.CompletedPiece;
import org.bulrushvale.adapters.forward.PieceOrder;
import org.bulrushvale.adapters.forward.StageJob;
import org.bulrushvale.adapters.peer.PeerMessage.StageResults;

/**
 * Executes stage jobs in this process, with one dispatcher per stage service.
 *
 * <p>Thread safety: used on the event loop.
 */
final class LocalStageExecutor implements StageExecutor {
    private final ForwardServices mServices;
    private final Map<String, StageDispatcher> mDispatchers = new HashMap<>();
    private final CollectorReport mCollectorReport;

    LocalStageExecutor(ForwardServices services) {
        mServices = services;
        mCollectorReport = new CollectorReport(services);
    }

    @Override
    public Runnable execute(StageJob job, Runnable onInputsRead, Consumer<StageResults> onDone) {
        long now = mServices.clock().monotonicNanos();
        StageDispatcher dispatcher = dispatcher(job.service());
        StageJobResults jobResults = new StageJobResults(job.pieces().size(), onInputsRead, onDone);
        List<QueuedPiece> pieces = new ArrayList<>();
        for (int i = 0; i < job.pieces().size(); i++) {
            int index = i;
            PieceOrder order = job.pieces().get(i);
            QueuedPiece piece =
                    new QueuedPiece(
                            job,
                            order,
                            now,
                            (result, returnMillis) -> jobResults.add(index, result, returnMillis));
            piece.setInputReads(jobResults);
            pieces.add(piece);
        }
        dispatcher.add(pieces);
        return () -> {
            pieces.forEach(QueuedPiece::abandon);
            dispatcher.release(jobResults.partialResults(job));
        };
    }

    @Override
    public void release(String service, List<CompletedPiece> pieces) {
        dispatcher(service).release(pieces);
    }

    /** Starts the calls that can start now, for example after a change of the servers. */
    void dispatch() {
        mDispatchers.values().forEach(StageDispatcher::dispatch);
    }

    /** Determines the collectors of all stage services and logs changes. */
    void updateCollectors() {
        mCollectorReport.update();
    }

    /** Returns the number of pieces that wait for a call. */
    int waitingPieces() {
        return mDispatchers.values().stream().mapToInt(StageDispatcher::waiting).sum();
    }

    private StageDispatcher dispatcher(String service) {
        StageDispatcher dispatcher = mDispatchers.get(service);
        if (dispatcher == null || dispatcher.isOutdated()) {
            dispatcher = new StageDispatcher(mServices, service);
            mDispatchers.put(service, dispatcher);
        }
        return dispatcher;
    }
}
