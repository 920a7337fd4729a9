package org.bulrushvale.daemon;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.bulrushvale.decision.retry.PoisonRecord;
import org.bulrushvale.decision.retry.PoisonTable;

/**
 * Records the crash of a server against the content that it was processing, and delays the affected
 * requests until the peers know of the crash.
 *
 * <p>Invariant: every continuation runs exactly once, after the records of its crash were sent to
 * the peers or the server was found alive; a lost connection to a server that still runs does not
 * count as a crash. Thread safety: owned by the event loop.
 */
final class PoisonGuard {
    private final PoisonTable mTable;
    private final ServerPicker mPicker;
    private final Map<String, List<Runnable>> mContinuationsByServer = new HashMap<>();
    private RecordSpreader mSpreader = (records, continuation) -> continuation.run();
    private ProcessProbe mProbe = (server, epoch, onResult) -> onResult.accept(false);

    PoisonGuard(PoisonTable table, ServerPicker picker) {
        mTable = table;
        mPicker = picker;
    }

    /**
     * Sends records of suspected and confirmed poison requests to the peers.
     *
     * <p>Thread safety: called on the event loop.
     */
    @FunctionalInterface
    interface RecordSpreader {
        /**
         * Sends records to all peers; runs {@code continuation} on the event loop exactly once,
         * when all peers have acknowledged or the time limit has passed.
         */
        void spread(List<PoisonRecord> records, Runnable continuation);
    }

    /**
     * Asks a server whether it still runs as the same process.
     *
     * <p>Thread safety: called on the event loop.
     */
    @FunctionalInterface
    interface ProcessProbe {
        /**
         * Calls {@code onResult} on the event loop exactly once, with true if the server answers
         * with this epoch.
         */
        void isSameProcess(String server, String epoch, Consumer<Boolean> onResult);
    }

    /**
     * Sets the probe that distinguishes a crash from a lost connection; without a probe every lost
     * connection counts as a crash.
     */
    void probe(ProcessProbe probe) {
        mProbe = probe;
    }

    /** Sets the spreader of the records to the peers; without one no request is delayed. */
    void spreader(RecordSpreader spreader) {
        mSpreader = spreader;
    }

    PoisonTable table() {
        return mTable;
    }

    /**
     * Records that a server lost the connection of an attempt, which may be a crash.
     *
     * @param epoch epoch of the server when the attempt was sent
     * @param continuation continues the request of the attempt; runs exactly once
     */
    void onCrash(String server, String epoch, Runnable continuation) {
        List<Runnable> pending = mContinuationsByServer.get(server);
        if (pending != null) {
            pending.add(continuation);
            return;
        }
        // Content that runs on a later process of the server is not blamed for the end of this one.
        List<PoisonRecord> changed =
                epoch.equals(mPicker.epoch(server)) ? mTable.onCrash(server, epoch) : List.of();
        if (changed.isEmpty()) {
            continuation.run();
            return;
        }
        List<Runnable> continuations = new ArrayList<>(List.of(continuation));
        mContinuationsByServer.put(server, continuations);
        Runnable runContinuations =
                () -> {
                    mContinuationsByServer.remove(server, continuations);
                    continuations.forEach(Runnable::run);
                };
        mProbe.isSameProcess(
                server,
                epoch,
                same -> {
                    if (same) {
                        mTable.retractCrash(server, epoch);
                        runContinuations.run();
                    } else {
                        mSpreader.spread(changed, runContinuations);
                    }
                });
    }
}
