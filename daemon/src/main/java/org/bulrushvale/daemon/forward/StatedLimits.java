package org.bulrushvale.daemon.forward;

import java.util.HashMap;
import java.util.Map;
import org.bulrushvale.adapters.forward.BackendResponseMetadata;
import org.bulrushvale.decision.forward.PublishedBackend;

/**
 * The request rates that backend servers state in their answers.
 *
 * <p>Thread safety: used on the event loop.
 */
final class StatedLimits {
    private final DecisionLog mLog;
    private final Map<String, Double> mRates = new HashMap<>();

    StatedLimits(ForwardServices.ForwardTelemetry telemetry) {
        mLog = telemetry.log();
        telemetry.metrics().gauge("bulrushvale.limited.servers", mRates::size);
    }

    /** Records what a server states in an answer. */
    void onAnswer(PublishedBackend server, BackendResponseMetadata metadata) {
        String process = server.processName();
        Double before = mRates.get(process);
        if (metadata.requestsPerSecond().isPresent()) {
            mRates.put(process, metadata.requestsPerSecond().getAsDouble());
        } else if (metadata.signed()) {
            mRates.remove(process);
        }
        Double after = mRates.get(process);
        if (before == null ? after != null : !before.equals(after)) {
            mLog.line("server_limit")
                    .with("server", server.id())
                    .with("process", process)
                    .with("requests_per_s", after == null ? "none" : after.toString())
                    .write();
        }
    }
}
