package org.bulrushvale.daemon;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.bulrushvale.adapters.backend.BackendAddress;
import org.bulrushvale.adapters.backend.BackendClient;
import org.bulrushvale.adapters.backend.BackendLoadReport;
import org.bulrushvale.decision.config.BackendServer;
import org.bulrushvale.decision.config.PublishedConfig;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Reads the load reports of the servers that this entry may use, periodically and immediately after
 * a lost connection.
 *
 * <p>Invariant: at most {@value #MAX_CONCURRENT_CALLS} calls run at the same time and one per
 * server; a report requested before the last loss of a connection is not used. Thread safety: owned
 * by the event loop, except {@link #connectionLost}.
 */
final class LoadPoller {
    private static final int MAX_CONCURRENT_CALLS = 16;

    /** Limits the call rate to a server that closes every connection immediately. */
    private static final Duration MIN_POLL_SPACING = Duration.ofMillis(50);

    private static final double JITTER_FRACTION = 0.2;

    private final EventLoop mLoop;
    private final Clock mClock;
    private final BackendClient mClient;
    private final BackendRouting mRouting;
    private final Duration mInterval;
    private final SplittableRandom mRandom;
    private final Consumer<String> mOnReport;
    private final Map<String, PolledServer> mServers = new HashMap<>();
    private final Deque<PolledServer> mPollQueue = new ArrayDeque<>();
    private int mRunningCalls;

    /**
     * Creates a poller without servers.
     *
     * @param onReport receives the pool of each server that was read or has failed
     */
    LoadPoller(
            EventLoop loop,
            Clock clock,
            BackendClient client,
            BackendRouting routing,
            Duration interval,
            SplittableRandom random,
            Consumer<String> onReport) {
        mLoop = loop;
        mClock = clock;
        mClient = client;
        mRouting = routing;
        mInterval = interval;
        mRandom = random;
        mOnReport = onReport;
    }

    /** Applies an accepted configuration; servers that are not in service are not polled. */
    void config(PublishedConfig config) {
        mServers.entrySet()
                .removeIf(
                        entry -> {
                            PolledServer polled = entry.getValue();
                            BackendServer now = config.backend(entry.getKey()).orElse(null);
                            boolean removed =
                                    now == null
                                            || !config.isInService(now)
                                            || !address(now).equals(address(polled.mServer));
                            if (removed) {
                                polled.mRemoved = true;
                                mRouting.warmupLimiter().connectionClosed(entry.getKey(), now());
                            }
                            return removed;
                        });
        for (BackendServer server : config.backends()) {
            if (config.isInService(server) && !mServers.containsKey(server.name())) {
                PolledServer polled = new PolledServer(server);
                mServers.put(server.name(), polled);
                poll(polled);
            }
        }
    }

    /** Returns true when a poll of every server that this entry may use has succeeded or failed. */
    boolean hasPolledAll() {
        return !mServers.isEmpty()
                && mServers.values().stream()
                        .allMatch(
                                polled ->
                                        polled.mHasResult
                                                || !mRouting.warmupLimiter()
                                                        .mayEverSendTo(polled.mServer.name()));
    }

    /** Polls all servers now, because a new VM list may have made them usable. */
    void pollAll() {
        mServers.values().forEach(polled -> scheduleIn(polled, Duration.ZERO));
    }

    /** Records that a connection to a server was lost; may be called from any thread. */
    void connectionLost(String server) {
        mLoop.execute(() -> onConnectionLost(server));
    }

    private void onConnectionLost(String server) {
        mRouting.warmupLimiter().connectionClosed(server, now());
        PolledServer polled = mServers.get(server);
        if (polled != null) {
            polled.mConnected = false;
            scheduleIn(polled, Duration.ZERO);
        }
    }

    private void scheduleIn(PolledServer polled, Duration delay) {
        EventLoop.ScheduledTask timer = polled.mTimer;
        if (timer != null) {
            timer.cancel();
        }
        long earliest = polled.mPolledNanos + MIN_POLL_SPACING.toNanos() - now();
        long nanos = polled.mPolledBefore ? Math.max(delay.toNanos(), earliest) : delay.toNanos();
        polled.mTimer = mLoop.schedule(Duration.ofNanos(Math.max(0, nanos)), () -> poll(polled));
    }

    private void poll(PolledServer polled) {
        if (polled.mRemoved || polled.mQueued) {
            return;
        }
        if (polled.mCallRunning) {
            polled.mPollAgain = true;
        } else if (!mRouting.warmupLimiter().mayEverSendTo(polled.mServer.name())) {
            scheduleIn(polled, nextInterval());
        } else if (mRunningCalls >= MAX_CONCURRENT_CALLS) {
            polled.mQueued = true;
            mPollQueue.add(polled);
        } else {
            readLoad(polled);
        }
    }

    private void readLoad(PolledServer polled) {
        long polledNanos = now();
        if (!polled.mConnected) {
            polled.mConnected = true;
            polled.mConnectedNanos = polledNanos;
            polled.mGeneration =
                    mRouting.warmupLimiter().connectionOpened(polled.mServer.name(), polledNanos);
        }
        int generation = polled.mGeneration;
        polled.mCallRunning = true;
        polled.mPolledBefore = true;
        polled.mPolledNanos = polledNanos;
        mRunningCalls++;
        mClient.readLoad(
                address(polled.mServer),
                report -> mLoop.execute(() -> onReport(polled, report, generation, polledNanos)),
                failure -> mLoop.execute(() -> onCallFailed(polled)));
    }

    private void onReport(
            PolledServer polled, BackendLoadReport report, int generation, long polledNanos) {
        Duration next = nextInterval();
        try {
            next = applyReport(polled, report, generation, polledNanos, next);
        } finally {
            // After an unexpected error the server must still be polled again.
            onCallEnded(polled, next);
        }
        mOnReport.accept(polled.mServer.pool());
    }

    /** Applies a report and returns the time until the next poll, at most the given interval. */
    private Duration applyReport(
            PolledServer polled,
            BackendLoadReport report,
            int generation,
            long polledNanos,
            Duration interval) {
        long measuredNanos =
                polledNanos - Clock.boundedNanos(Duration.ofMillis(report.ageMillis()));
        boolean current = polled.mConnected && generation == polled.mGeneration;
        if (polled.mRemoved || !current || !report.server().equals(polled.mServer.name())) {
            return interval;
        }
        mRouting.report(
                new org.bulrushvale.decision.warmup.ReportedLoad(
                        report.server(),
                        report.epoch(),
                        report.state(),
                        report.slots(),
                        report.coldConcurrency(),
                        report.running(),
                        report.queued()),
                generation,
                measuredNanos);
        mRouting.statedRate(report.server(), report.epoch(), report.requestsPerSecond());
        // A report measured before the connection was opened is not used. The server has a newer
        // report once untilUsableNanos have passed, or earlier if its reports are late no more.
        long untilUsableNanos = polled.mConnectedNanos - measuredNanos;
        polled.mHasResult |= untilUsableNanos <= 0;
        boolean usableSooner = untilUsableNanos > 0 && untilUsableNanos < interval.toNanos();
        return usableSooner ? Duration.ofNanos(untilUsableNanos) : interval;
    }

    private void onCallFailed(PolledServer polled) {
        polled.mHasResult = true;
        onCallEnded(polled, nextInterval());
        mOnReport.accept(polled.mServer.pool());
    }

    private void onCallEnded(PolledServer polled, Duration next) {
        polled.mCallRunning = false;
        mRunningCalls--;
        scheduleIn(polled, polled.mPollAgain ? Duration.ZERO : next);
        polled.mPollAgain = false;
        PolledServer queued = mPollQueue.poll();
        if (queued != null) {
            queued.mQueued = false;
            poll(queued);
        }
    }

    private Duration nextInterval() {
        double factor = 1 + JITTER_FRACTION * (2 * mRandom.nextDouble() - 1);
        return Duration.ofNanos((long) (mInterval.toNanos() * factor));
    }

    private long now() {
        return mClock.monotonicNanos();
    }

    private static BackendAddress address(BackendServer server) {
        return new BackendAddress(server.name(), server.address(), server.port());
    }

    /**
     * The polling state of one server.
     *
     * <p>Thread safety: owned by the event loop.
     */
    private static final class PolledServer {
        private final BackendServer mServer;
        private EventLoop.@Nullable ScheduledTask mTimer;
        private boolean mRemoved;
        private boolean mCallRunning;
        private boolean mQueued;
        private boolean mPollAgain;
        private boolean mConnected;
        private boolean mPolledBefore;
        private boolean mHasResult;
        private int mGeneration;
        private long mConnectedNanos;
        private long mPolledNanos;

        private PolledServer(BackendServer server) {
            mServer = server;
        }
    }
}
