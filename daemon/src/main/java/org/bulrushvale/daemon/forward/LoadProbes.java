package org.bulrushvale.daemon.forward;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bulrushvale.adapters.backend.BackendFailure;
import org.bulrushvale.adapters.forward.ForwardProtocol;
import org.bulrushvale.adapters.forward.UpstreamClient;
import org.bulrushvale.adapters.metrics.EntryMetrics;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.decision.forward.PublishedBackend;
import org.bulrushvale.decision.forward.ServerFacts;
import org.bulrushvale.decision.forward.ServerLoad;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.time.Clock;

/**
 * Asks servers for their load before a request is sent.
 *
 * <p>Invariants: a process is asked at most once in 500 ms, and once in 5 s while it sends no
 * usable report; a report is asked for on a connection of its own, so that it cannot be a late
 * answer to something else. Thread safety: used on the event loop.
 */
final class LoadProbes {
    // A longer wait costs more than a better choice gains.
    private static final Duration WAIT = Duration.ofMillis(20);

    // A report that arrives later than the wait still serves the next requests.
    private static final Duration TIME_LIMIT = Duration.ofMillis(200);

    // Each report is charged, so a server that sends no usable one is seldom asked.
    private static final Duration FAILURE_PERIOD = Duration.ofSeconds(5);
    private static final int MAX_REPORT_BYTES = 4_096;
    private static final int OK = 200;

    private final EventLoop mLoop;
    private final Clock mClock;
    private final UpstreamClient mClient;
    private final ForwardProtocol mProtocol;
    private final EntryMetrics mMetrics;
    private final Map<String, Long> mNotBeforeNanos = new HashMap<>();

    LoadProbes(
            EventLoop loop,
            Clock clock,
            UpstreamClient client,
            ForwardProtocol protocol,
            EntryMetrics metrics) {
        mLoop = loop;
        mClock = clock;
        mClient = client;
        mProtocol = protocol;
        mMetrics = metrics;
    }

    /**
     * Asks those of the servers that were not asked lately.
     *
     * @param next runs once when all have answered or the wait is over
     * @return false when none is asked; {@code next} is not called then
     */
    boolean ask(List<Server> servers, Runnable next) {
        long now = mClock.monotonicNanos();
        mNotBeforeNanos.values().removeIf(notBefore -> notBefore - now <= 0);
        List<Server> asked =
                servers.stream()
                        .filter(s -> !mNotBeforeNanos.containsKey(s.published().processName()))
                        .toList();
        if (asked.isEmpty()) {
            return false;
        }
        Wait wait = new Wait(asked.size(), next);
        for (Server server : asked) {
            // Holds until an answer is used.
            mNotBeforeNanos.put(server.published().processName(), now + FAILURE_PERIOD.toNanos());
            start(server, wait);
        }
        mLoop.schedule(WAIT, wait::end);
        return true;
    }

    private void start(Server server, Wait wait) {
        PublishedBackend backend = server.published();
        HeaderMap headers = new HeaderMap();
        headers.put(Headers.HOST, backend.address());
        UpstreamClient.Request request =
                new UpstreamClient.Request(
                        backend.host(),
                        backend.port(),
                        Methods.GET,
                        mProtocol.loadReportPath(),
                        headers,
                        new byte[0],
                        TIME_LIMIT,
                        false);
        mClient.start(request, new Report(server, wait));
    }

    private void onEnd(Wait wait, String outcome) {
        mMetrics.count("bulrushvale.load.probes", "outcome", outcome);
        wait.onAnswer();
    }

    /**
     * A request that waits for reports.
     *
     * <p>Thread safety: used on the event loop.
     */
    private static final class Wait {
        private final Runnable mNext;
        private int mMissing;
        private boolean mEnded;

        Wait(int missing, Runnable next) {
            mMissing = missing;
            mNext = next;
        }

        void onAnswer() {
            mMissing--;
            if (mMissing == 0) {
                end();
            }
        }

        void end() {
            if (!mEnded) {
                mEnded = true;
                mNext.run();
            }
        }
    }

    /**
     * The answer of one server.
     *
     * <p>Thread safety: called on the I/O thread.
     */
    private final class Report extends UpstreamClient.BufferedResponseListener {
        private final Server mServer;
        private final Wait mWait;

        Report(Server server, Wait wait) {
            super(MAX_REPORT_BYTES);
            mServer = server;
            mWait = wait;
        }

        @Override
        public boolean extendsTimeLimit() {
            return false;
        }

        /** The connection is closed, because nothing in a report shows which call it answers. */
        @Override
        protected boolean isIdentified(int status, byte[] body) {
            return false;
        }

        @Override
        protected void complete(int status, HeaderMap headers, byte[] body) {
            mLoop.execute(() -> onReport(status, body));
        }

        private void onReport(int status, byte[] body) {
            long now = mClock.monotonicNanos();
            Optional<ServerLoad> load =
                    status == OK ? mProtocol.parseLoadReport(body) : Optional.empty();
            load.ifPresent(
                    stated -> {
                        mServer.facts().recordLoad(stated, ServerFacts.Source.PROBE, now);
                        mNotBeforeNanos.put(
                                mServer.published().processName(),
                                now + ServerFacts.LOAD_LIFETIME.toNanos());
                    });
            onEnd(mWait, load.isPresent() ? "used" : "unusable");
        }

        @Override
        public void failed(boolean sent, BackendFailure failure, String detail) {
            mLoop.execute(() -> onEnd(mWait, "failed"));
        }
    }
}
