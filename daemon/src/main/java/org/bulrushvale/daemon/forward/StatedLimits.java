package org.bulrushvale.daemon.forward;

import java.util.List;
import java.util.OptionalDouble;
import org.bulrushvale.adapters.forward.BackendResponseMetadata;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.daemon.FleetNotices;
import org.bulrushvale.decision.forward.PublishedBackend;
import org.bulrushvale.decision.forward.StatedRate;
import org.bulrushvale.decision.forward.StatedRateLimits;

/**
 * Reads the request rates that backend servers state in their answers, and shares them with the
 * other entries.
 *
 * <p>Thread safety: used on the event loop.
 */
final class StatedLimits {
    private final StatedRateLimits mLimits;
    private final DecisionLog mLog;
    private final FleetNotices<StatedRate> mNotices;
    // Read by the thread that serves the metrics.
    private volatile int mLimitedServers;

    StatedLimits(StatedRateLimits limits, ForwardServices.ForwardTelemetry telemetry) {
        mLimits = limits;
        mLog = telemetry.log();
        mNotices =
                new FleetNotices<>(
                        limits,
                        PeerMessage.RateNotice::new,
                        StatedRateLimits.MAX_RECORDS_PER_NOTICE,
                        changed -> log(changed, "peer"));
        telemetry.metrics().gauge("bulrushvale.limited.servers", () -> mLimitedServers);
    }

    StatedRateLimits limits() {
        return mLimits;
    }

    FleetNotices<StatedRate> notices() {
        return mNotices;
    }

    /** Records what a server states in an answer. */
    void onAnswer(PublishedBackend server, BackendResponseMetadata metadata) {
        OptionalDouble rate = metadata.requestsPerSecond();
        // Only an answer of the server itself shows that it states no rate any more.
        if (rate.isPresent() || metadata.signed()) {
            List<StatedRate> changed = mLimits.onAnswer(server.processName(), rate);
            log(changed, "own");
            mNotices.push(changed);
        }
    }

    private void log(List<StatedRate> changed, String source) {
        mLimitedServers = changed.isEmpty() ? mLimitedServers : mLimits.count();
        for (StatedRate rate : changed) {
            OptionalDouble value = rate.requestsPerSecond();
            mLog.line("server_limit")
                    .with("process", rate.process())
                    .with(
                            "requests_per_s",
                            value.isPresent() ? String.valueOf(value.getAsDouble()) : "none")
                    .with("source", source)
                    .write();
        }
    }
}
