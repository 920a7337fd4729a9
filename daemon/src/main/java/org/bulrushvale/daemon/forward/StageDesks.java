package org.bulrushvale.daemon.forward;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.bulrushvale.adapters.forward.CompletedPiece;
import org.bulrushvale.adapters.forward.PieceOrder;
import org.bulrushvale.adapters.forward.PieceResult;
import org.bulrushvale.adapters.forward.StageJob;
import org.jspecify.annotations.Nullable;

/**
 * The desks of this process, one for each stage service.
 *
 * <p>Thread safety: used on the event loop.
 */
final class StageDesks implements StageWork {
    private final ForwardServices mServices;
    private final Map<String, StageDesk> mDesks = new HashMap<>();

    StageDesks(ForwardServices services) {
        mServices = services;
    }

    @Override
    public Runnable make(StageJob job, Consumer<List<PieceResult>> onDone) {
        long now = mServices.clock().monotonicNanos();
        StageDesk desk = desk(job.service());
        Collected collected = new Collected(job.pieces().size(), onDone);
        List<StagePiece> pieces = new ArrayList<>();
        for (int i = 0; i < job.pieces().size(); i++) {
            int index = i;
            PieceOrder order = job.pieces().get(i);
            pieces.add(new StagePiece(job, order, now, result -> collected.add(index, result)));
        }
        desk.add(pieces);
        return () -> {
            pieces.forEach(StagePiece::abandon);
            desk.release(collected.incomplete(job));
        };
    }

    @Override
    public void release(String service, List<CompletedPiece> pieces) {
        desk(service).release(pieces);
    }

    /** Starts calls that became possible, such as after a change of the published servers. */
    void dispatch() {
        mDesks.values().forEach(StageDesk::dispatch);
    }

    private StageDesk desk(String service) {
        return mDesks.computeIfAbsent(service, name -> new StageDesk(mServices, name));
    }

    /**
     * Results of one job.
     *
     * <p>Thread safety: used on the event loop.
     */
    private static final class Collected {
        private final @Nullable PieceResult[] mResults;
        private final Consumer<List<PieceResult>> mOnDone;
        private int mMissing;

        Collected(int pieces, Consumer<List<PieceResult>> onDone) {
            mResults = new PieceResult[pieces];
            mMissing = pieces;
            mOnDone = onDone;
        }

        /** Returns what was made of a job that is not complete. */
        List<CompletedPiece> incomplete(StageJob job) {
            return mMissing > 0 ? job.completedPieces(Arrays.asList(mResults)) : List.of();
        }

        void add(int index, PieceResult result) {
            mResults[index] = result;
            mMissing--;
            if (mMissing == 0) {
                mOnDone.accept(Arrays.asList(mResults));
            }
        }
    }
}
