package org.bulrushvale.daemon.forward;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.daemon.FleetNotices;
import org.bulrushvale.decision.forward.PublishedBackend;
import org.bulrushvale.decision.retry.ContentFingerprint;
import org.bulrushvale.decision.retry.CrashRecord;
import org.bulrushvale.decision.retry.CrashSuspects;

/**
 * Holds back requests with content that crashes backend servers, as all entries together see it.
 *
 * <p>Invariant: a lost connection counts as a crash only if the process accepts no other one.
 * Thread safety: used on the event loop.
 */
final class CrashGuard {
    private final CrashSuspects mSuspects;
    private final ServerLivenessCheck mLivenessCheck;
    private final DecisionLog mLog;
    private final Set<ContentFingerprint> mLoggedQuarantines = new HashSet<>();
    private final FleetNotices<CrashRecord> mNotices;
    // Read by the thread that serves the metrics.
    private volatile int mQuarantinedCount;

    CrashGuard(
            CrashSuspects suspects,
            ServerLivenessCheck livenessCheck,
            ForwardServices.ForwardTelemetry telemetry) {
        mSuspects = suspects;
        mLivenessCheck = livenessCheck;
        mLog = telemetry.log();
        mNotices =
                new FleetNotices<>(
                        suspects,
                        PeerMessage.CrashNotice::new,
                        CrashSuspects.MAX_RECORDS_PER_NOTICE,
                        changed -> logChanges(changed, "peer"));
        telemetry.metrics().gauge("bulrushvale.quarantined.contents", () -> mQuarantinedCount);
    }

    FleetNotices<CrashRecord> notices() {
        return mNotices;
    }

    /**
     * Records that an attempt begins.
     *
     * @return the number of crashes known so far, to be kept with the attempt
     */
    long onAttemptStarted(RequestContents contents) {
        return mSuspects.onAttemptStarted(
                mSuspects.isEmpty() ? List.of() : contents.all(), contents);
    }

    /** Returns a content of the request for which it must not be sent to a server. */
    Optional<ContentFingerprint> findHeldBack(RequestContents contents) {
        return mSuspects.isEmpty()
                ? Optional.empty()
                : mSuspects.findHeldBack(contents.all(), contents);
    }

    /** Returns true when a content of the request is known to have been at a crash. */
    boolean isSuspect(RequestContents contents) {
        return !mSuspects.isEmpty() && mSuspects.isSuspect(contents.all());
    }

    /**
     * Records that an attempt lost its connection before it was well into its answer.
     *
     * @param knownAtStart result of {@link #onAttemptStarted} for the attempt
     * @param continuation runs once, after the crash is recorded or ruled out
     */
    void onConnectionLost(
            PublishedBackend server,
            RequestContents contents,
            long knownAtStart,
            Runnable continuation) {
        mLivenessCheck.check(
                server,
                accepting -> {
                    if (!accepting) {
                        onCrash(server, contents, knownAtStart);
                    }
                    continuation.run();
                });
    }

    private void onCrash(PublishedBackend server, RequestContents contents, long knownAtStart) {
        publish(mSuspects.onCrash(contents.all(), server.processName(), knownAtStart));
    }

    /** Records that a server wrote an answer to the request without a crash. */
    void onAnswered(RequestContents contents) {
        publish(mSuspects.onAnswered(mSuspects.isEmpty() ? contents.parts() : contents.all()));
    }

    private void publish(List<CrashRecord> changed) {
        logChanges(changed, "own");
        mNotices.push(changed);
    }

    private void logChanges(List<CrashRecord> changed, String source) {
        changed.forEach(record -> logChange(record, source));
        if (!changed.isEmpty()) {
            // Contents whose quarantine has expired leave no record of it.
            mLoggedQuarantines.removeIf(content -> !mSuspects.isQuarantined(content));
            mQuarantinedCount = mLoggedQuarantines.size();
        }
    }

    private void logChange(CrashRecord record, String source) {
        boolean quarantined = mSuspects.isQuarantined(record.content());
        if (quarantined == mLoggedQuarantines.contains(record.content())) {
            return;
        }
        if (quarantined) {
            mLoggedQuarantines.add(record.content());
        } else {
            mLoggedQuarantines.remove(record.content());
        }
        mLog.line(quarantined ? "content_quarantined" : "content_released")
                .with("content", Long.toHexString(record.content().high()))
                .with("crashes", record.crashes().size())
                .with(
                        "depth",
                        record.crashes().stream()
                                .mapToInt(CrashRecord.Crash::depth)
                                .max()
                                .orElse(0))
                .with("answered_ms_ago", record.answeredAgeMillis().orElse(-1))
                .with("source", source)
                .write();
    }
}
