package org.bulrushvale.daemon.forward;

import java.time.Duration;
import java.util.List;
import org.bulrushvale.adapters.forward.BackendResponseMetadata;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.daemon.FleetNotices;
import org.bulrushvale.decision.forward.BackendDirectory;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.decision.forward.LeavingServer;
import org.bulrushvale.decision.forward.LeavingServers;
import org.bulrushvale.decision.forward.ServerFacts;
import org.bulrushvale.kernel.time.Clock;

/**
 * Records what backend servers state about themselves in answers that belong to a request of this
 * entry: that they leave, want a pause, and how busy they are. Tells the other entries which
 * processes leave.
 *
 * <p>Thread safety: used on the event loop.
 */
final class ServerReports {
    private static final int UNAVAILABLE = 503;

    private final Clock mClock;
    private final BackendDirectory mDirectory;
    private final DecisionLog mLog;
    private final FleetNotices<LeavingServer> mLeavingNotices;
    // Read by the thread that serves the metrics.
    private volatile int mLeavingServers;
    private volatile int mPausedServers;

    ServerReports(
            Clock clock, BackendDirectory directory, ForwardServices.ForwardTelemetry telemetry) {
        mClock = clock;
        mDirectory = directory;
        mLog = telemetry.log();
        mLeavingNotices =
                new FleetNotices<>(
                        directory.leavingServers(),
                        PeerMessage.LeavingNotice::new,
                        LeavingServers.MAX_RECORDS_PER_NOTICE,
                        learned -> logLeaving(learned, "peer"));
        telemetry.metrics().gauge("bulrushvale.servers.leaving", () -> mLeavingServers);
        telemetry.metrics().gauge("bulrushvale.servers.paused", () -> mPausedServers);
    }

    FleetNotices<LeavingServer> leavingNotices() {
        return mLeavingNotices;
    }

    /** Records what a process states in an answer to this entry. */
    void onAnswer(Server server, int status, BackendResponseMetadata metadata) {
        if (metadata.leaving()) {
            List<LeavingServer> learned =
                    mDirectory.leavingServers().record(server.published().processName());
            logLeaving(learned, "own");
            mLeavingNotices.push(learned);
        }
        long now = mClock.monotonicNanos();
        if (status == UNAVAILABLE && metadata.pauseSeconds().isPresent()) {
            double seconds = metadata.pauseSeconds().getAsDouble();
            logPause(server, seconds, server.facts().recordPause(seconds, now));
        }
        metadata.load()
                .ifPresent(load -> server.facts().recordLoad(load, ServerFacts.Source.ANSWER, now));
    }

    /** Refreshes the figures that change as time passes. */
    void updateMetrics() {
        mLeavingServers = mDirectory.leavingServers().count();
        mPausedServers = mDirectory.pausedCount();
    }

    private void logPause(Server server, double seconds, Duration pause) {
        mLog.line("server_pause")
                .with("server", server.published().id())
                .with("process", server.published().processName())
                .with("stated_s", Double.isNaN(seconds) ? "not a number" : String.valueOf(seconds))
                .with("effect", effect(seconds, pause))
                .with("pause_ms", pause.toMillis())
                .write();
    }

    private static String effect(double seconds, Duration pause) {
        if (Double.isNaN(seconds)) {
            return "ignored";
        }
        if (pause.isZero()) {
            return "none";
        }
        return seconds > ServerFacts.MAX_PAUSE.toSeconds() ? "limited" : "paused";
    }

    private void logLeaving(List<LeavingServer> learned, String source) {
        for (LeavingServer server : learned) {
            mLog.line("server_leaving")
                    .with("process", server.process())
                    .with("source", source)
                    .with("age_ms", server.ageMillis())
                    .write();
        }
    }
}
