package org.bulrushvale.daemon;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.bulrushvale.decision.retry.PoisonRecord;
import org.bulrushvale.decision.retry.PoisonTable;

/**
 * Turns lost connections into strikes and delays what follows until peers know of them.
 *
 * <p>Invariant: every {@code then} runs exactly once, after the records of its crash were spread or
 * the server was found alive; a lost connection to a server that still runs is no strike. Thread
 * safety: owned by the event loop.
 */
final class PoisonGuard {
    private final PoisonTable mTable;
    private final ServerPicker mPicker;
    private final Map<String, List<Runnable>> mSpreading = new HashMap<>();
    private Spread mSpread = (records, whenSpread) -> whenSpread.run();
    private Probe mProbe = (server, epoch, onResult) -> onResult.accept(false);

    PoisonGuard(PoisonTable table, ServerPicker picker) {
        mTable = table;
        mPicker = picker;
    }

    /**
     * Tells peers about suspects and convictions.
     *
     * <p>Thread safety: called on the event loop.
     */
    @FunctionalInterface
    interface Spread {
        /**
         * Spreads records; runs {@code whenSpread} on the event loop exactly once, when all peers
         * have acknowledged or the wait has ended.
         */
        void onPoisonRecords(List<PoisonRecord> records, Runnable whenSpread);
    }

    /**
     * Asks a server whether it is still the same process.
     *
     * <p>Thread safety: called on the event loop.
     */
    @FunctionalInterface
    interface Probe {
        /** Gives true on the event loop, exactly once, when the server answers with this epoch. */
        void isSameProcess(String server, String epoch, Consumer<Boolean> onResult);
    }

    /** Sets what tells a crash from a lost connection; without it each loss counts as a crash. */
    void probe(Probe probe) {
        mProbe = probe;
    }

    /** Sets what spreads the records; without it nothing is delayed. */
    void spread(Spread spread) {
        mSpread = spread;
    }

    PoisonTable table() {
        return mTable;
    }

    /**
     * Records that a server crashed under an attempt.
     *
     * @param epoch epoch of the server when the attempt was sent
     * @param then the consequences for the attempt
     */
    void onCrash(String server, String epoch, Runnable then) {
        List<Runnable> waiting = mSpreading.get(server);
        if (waiting != null) {
            waiting.add(then);
            return;
        }
        // What runs on a later process of the server is not struck for the end of this one.
        List<PoisonRecord> changed =
                epoch.equals(mPicker.epoch(server)) ? mTable.onCrash(server, epoch) : List.of();
        if (changed.isEmpty()) {
            then.run();
            return;
        }
        List<Runnable> all = new ArrayList<>(List.of(then));
        mSpreading.put(server, all);
        Runnable proceed =
                () -> {
                    mSpreading.remove(server, all);
                    all.forEach(Runnable::run);
                };
        mProbe.isSameProcess(
                server,
                epoch,
                same -> {
                    if (same) {
                        mTable.retractCrash(server, epoch);
                        proceed.run();
                    } else {
                        mSpread.onPoisonRecords(changed, proceed);
                    }
                });
    }
}
