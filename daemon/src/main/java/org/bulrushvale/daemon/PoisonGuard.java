package org.bulrushvale.daemon;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.decision.retry.CrashRecord;
import org.bulrushvale.decision.retry.CrashSuspects;
import org.bulrushvale.decision.retry.PoisonRecord;
import org.bulrushvale.decision.retry.PoisonTable;
import org.jboss.logging.Logger;

/**
 * Records the crash of a server against the content that it was processing, and delays the affected
 * requests until the peers know of the crash.
 *
 * <p>Invariant: every continuation runs exactly once, after the records of its crash were sent to
 * the peers or the server was found alive; a lost connection to a server that still runs does not
 * count as a crash. Thread safety: owned by the event loop.
 */
final class PoisonGuard {
    private static final Logger LOG = Logger.getLogger(PoisonGuard.class);

    private final PoisonTable mTable;
    private final CrashSuspects mSuspects;
    private final FleetNotices<CrashRecord> mNotices;
    private final ServerPicker mPicker;
    private final Map<String, List<LostAttempt>> mLostAttemptsByServer = new HashMap<>();
    private RecordSpreader mSpreader = (records, continuation) -> continuation.run();
    private ProcessProbe mProbe = (server, epoch, onResult) -> onResult.accept(false);

    PoisonGuard(PoisonTable table, CrashSuspects suspects, ServerPicker picker) {
        mTable = table;
        mSuspects = suspects;
        mPicker = picker;
        mNotices =
                new FleetNotices<>(
                        suspects,
                        PeerMessage.CrashNotice::new,
                        CrashSuspects.MAX_RECORDS_PER_NOTICE,
                        this::logQuarantined);
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

    /** Returns the exchange of crashes beside lines of inputs with the other entries. */
    FleetNotices<CrashRecord> notices() {
        return mNotices;
    }

    /** Returns true when no request with this content may be sent to a server. */
    boolean isPoison(InputContent content) {
        return mTable.isPoison(content.whole());
    }

    /** Returns true when the request shares a line with requests that crash servers. */
    boolean isHeldBack(InputContent content, Object request) {
        return !mSuspects.isEmpty() && mSuspects.findHeldBack(content.lines(), request).isPresent();
    }

    /**
     * Records that an attempt begins.
     *
     * @return the number of crashes known so far, to be kept with the attempt
     */
    long onAttemptStarted(InputContent content, Object request) {
        return mSuspects.onAttemptStarted(content.lines(), request);
    }

    /** Records that a request with this content was answered completely. */
    void onCompleted(InputContent content) {
        mTable.onCompleted(content.whole());
        mNotices.push(mSuspects.onAnswered(content.lines()));
    }

    /**
     * Records that a server lost the connection of an attempt, which may be a crash.
     *
     * @param epoch epoch of the server when the attempt was sent
     * @param knownAtStart result of {@link #onAttemptStarted} for the attempt
     * @param continuation continues the request of the attempt; runs exactly once
     */
    void onCrash(
            String server,
            String epoch,
            InputContent content,
            long knownAtStart,
            Runnable continuation) {
        LostAttempt lost = new LostAttempt(content, knownAtStart, continuation);
        List<LostAttempt> pending = mLostAttemptsByServer.get(server);
        if (pending != null) {
            pending.add(lost);
            return;
        }
        // Content that runs on a later process of the server is not blamed for the end of this one.
        List<PoisonRecord> changed =
                epoch.equals(mPicker.epoch(server)) ? mTable.onCrash(server, epoch) : List.of();
        if (changed.isEmpty()) {
            continuation.run();
            return;
        }
        List<LostAttempt> attempts = new ArrayList<>(List.of(lost));
        mLostAttemptsByServer.put(server, attempts);
        Runnable runContinuations =
                () -> {
                    mLostAttemptsByServer.remove(server, attempts);
                    attempts.forEach(attempt -> attempt.continuation().run());
                };
        mProbe.isSameProcess(
                server,
                epoch,
                same -> {
                    if (same) {
                        mTable.retractCrash(server, epoch);
                        runContinuations.run();
                    } else {
                        List.copyOf(attempts).forEach(a -> blameLines(server + "/" + epoch, a));
                        mSpreader.spread(changed, runContinuations);
                    }
                });
    }

    private void blameLines(String process, LostAttempt attempt) {
        List<CrashRecord> changed =
                mSuspects.onCrash(attempt.content().lines(), process, attempt.knownAtStart());
        logQuarantined(changed);
        mNotices.push(changed);
    }

    private void logQuarantined(List<CrashRecord> changed) {
        for (CrashRecord record : changed) {
            if (mSuspects.isQuarantined(record.content())) {
                LOG.infof(
                        "requests with line %016x of their input are refused after %d crashes",
                        record.content().high(), record.crashes().size());
            }
        }
    }

    /**
     * An attempt whose server may have crashed.
     *
     * <p>Thread safety: immutable.
     */
    private record LostAttempt(InputContent content, long knownAtStart, Runnable continuation) {}
}
