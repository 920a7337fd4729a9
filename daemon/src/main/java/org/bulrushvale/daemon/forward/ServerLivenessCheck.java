package org.bulrushvale.daemon.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.bulrushvale.adapters.forward.UpstreamClient;
import org.bulrushvale.adapters.metrics.EntryMetrics;
import org.bulrushvale.decision.forward.PublishedBackend;
import org.bulrushvale.kernel.event.EventLoop;

/**
 * Finds out whether a backend server that lost a connection has crashed: a server that lives
 * accepts a new connection.
 *
 * <p>Invariant: at most one check of a process is in progress; connections that it loses meanwhile
 * share the result. Thread safety: used on the event loop.
 */
final class ServerLivenessCheck {
    // A server on the same network accepts within milliseconds unless its host is gone.
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

    private final EventLoop mLoop;
    private final UpstreamClient mClient;
    private final DecisionLog mLog;
    private final EntryMetrics mMetrics;
    private final Map<String, Consumer<Boolean>> mInProgress = new HashMap<>();

    ServerLivenessCheck(
            EventLoop loop, UpstreamClient client, ForwardServices.ForwardTelemetry telemetry) {
        mLoop = loop;
        mClient = client;
        mLog = telemetry.log();
        mMetrics = telemetry.metrics();
    }

    /**
     * Checks the process unless a check of it is in progress.
     *
     * @param onResult called once on the event loop, with true when the server accepts connections
     */
    void check(PublishedBackend server, Consumer<Boolean> onResult) {
        String process = server.processName();
        Consumer<Boolean> waiting = mInProgress.get(process);
        mInProgress.put(process, waiting == null ? onResult : waiting.andThen(onResult));
        if (waiting == null) {
            mClient.checkAccepting(
                    server.host(),
                    server.port(),
                    CONNECT_TIMEOUT,
                    accepting -> mLoop.execute(() -> onChecked(server, accepting)));
        }
    }

    private void onChecked(PublishedBackend server, boolean accepting) {
        mLog.line("connection_lost_check")
                .with("server", server.id())
                .with("process", server.processName())
                .with("accepting", String.valueOf(accepting))
                .write();
        mMetrics.count(
                "bulrushvale.lost.connection.checks", "accepting", String.valueOf(accepting));
        Consumer<Boolean> waiting = mInProgress.remove(server.processName());
        if (waiting != null) {
            waiting.accept(accepting);
        }
    }
}
