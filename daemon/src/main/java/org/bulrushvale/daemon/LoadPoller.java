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
 * Reads the load reports of the servers that this entry may use, at once after a lost connection
 * and regularly otherwise.
 *
 * <p>Invariant: at most {@value #MAX_CALLS} calls run at the same time and one per server; a report
 * asked for before the last loss of a connection is not used. Thread safety: owned by the event
 * loop, but {@link #connectionLost}.
 */
final class LoadPoller {
    private static final int MAX_CALLS = 16;

    /** Bounds the calls to a server that closes every connection at once. */
    private static final Duration MIN_SPACING = Duration.ofMillis(50);

    private static final double JITTER = 0.2;

    private final EventLoop mLoop;
    private final Clock mClock;
    private final BackendClient mClient;
    private final BackendRouting mRouting;
    private final Duration mInterval;
    private final SplittableRandom mRandom;
    private final Consumer<String> mOnReport;
    private final Map<String, Target> mTargets = new HashMap<>();
    private final Deque<Target> mBacklog = new ArrayDeque<>();
    private int mCalls;

    /**
     * Creates a poller without servers.
     *
     * @param onReport receives the pool of each server that was asked
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

    /** Takes an accepted configuration; servers out of service are not read. */
    void config(PublishedConfig config) {
        mTargets.entrySet()
                .removeIf(
                        entry -> {
                            Target target = entry.getValue();
                            BackendServer now = config.backend(entry.getKey()).orElse(null);
                            boolean gone =
                                    now == null
                                            || !config.isInService(now)
                                            || !address(now).equals(address(target.mServer));
                            if (gone) {
                                target.mRemoved = true;
                                mRouting.warmth().connectionClosed(entry.getKey(), now());
                            }
                            return gone;
                        });
        for (BackendServer server : config.backends()) {
            if (config.isInService(server) && !mTargets.containsKey(server.name())) {
                Target target = new Target(server);
                mTargets.put(server.name(), target);
                poll(target);
            }
        }
    }

    /** Returns true when every server that this entry may use has been read or has failed. */
    boolean isSettled() {
        return !mTargets.isEmpty()
                && mTargets.values().stream()
                        .allMatch(
                                target ->
                                        target.mSettled
                                                || !mRouting.warmth()
                                                        .mayEverSendTo(target.mServer.name()));
    }

    /** Reads all servers at once, because the VM list has made them usable. */
    void pollAll() {
        mTargets.values().forEach(target -> scheduleIn(target, Duration.ZERO));
    }

    /** Records that a connection to a server was lost; may be called from any thread. */
    void connectionLost(String server) {
        mLoop.execute(() -> lostOnLoop(server));
    }

    private void lostOnLoop(String server) {
        mRouting.warmth().connectionClosed(server, now());
        Target target = mTargets.get(server);
        if (target != null) {
            target.mOpened = false;
            scheduleIn(target, Duration.ZERO);
        }
    }

    private void scheduleIn(Target target, Duration delay) {
        EventLoop.ScheduledTask timer = target.mTimer;
        if (timer != null) {
            timer.cancel();
        }
        long earliest = target.mAskedNanos + MIN_SPACING.toNanos() - now();
        long nanos = target.mAsked ? Math.max(delay.toNanos(), earliest) : delay.toNanos();
        target.mTimer = mLoop.schedule(Duration.ofNanos(Math.max(0, nanos)), () -> poll(target));
    }

    private void poll(Target target) {
        if (target.mRemoved || target.mQueued) {
            return;
        }
        if (target.mRunning) {
            target.mAgain = true;
        } else if (!mRouting.warmth().mayEverSendTo(target.mServer.name())) {
            scheduleIn(target, jittered());
        } else if (mCalls >= MAX_CALLS) {
            target.mQueued = true;
            mBacklog.add(target);
        } else {
            ask(target);
        }
    }

    private void ask(Target target) {
        long asked = now();
        if (!target.mOpened) {
            target.mOpened = true;
            target.mOpenedNanos = asked;
            target.mGeneration = mRouting.warmth().connectionOpened(target.mServer.name(), asked);
        }
        int generation = target.mGeneration;
        target.mRunning = true;
        target.mAsked = true;
        target.mAskedNanos = asked;
        mCalls++;
        mClient.readLoad(
                address(target.mServer),
                report -> mLoop.execute(() -> taken(target, report, generation, asked)),
                failure -> mLoop.execute(() -> failed(target)));
    }

    private void taken(Target target, BackendLoadReport report, int generation, long asked) {
        long measured = asked - Duration.ofMillis(Math.max(0, report.ageMillis())).toNanos();
        boolean current = target.mOpened && generation == target.mGeneration;
        if (target.mRemoved || !current || !report.server().equals(target.mServer.name())) {
            ended(target, jittered());
            return;
        }
        mRouting.report(
                new org.bulrushvale.decision.warmup.ReportedLoad(
                        report.server(),
                        report.epoch(),
                        report.state(),
                        report.slots(),
                        report.bearable(),
                        report.running(),
                        report.queued()),
                generation,
                measured);
        // A report older than its connection is not used; a newer one exists after that time.
        long missing = target.mOpenedNanos - measured;
        target.mSettled |= missing <= 0;
        ended(target, missing > 0 ? Duration.ofNanos(missing) : jittered());
        mOnReport.accept(target.mServer.pool());
    }

    private void failed(Target target) {
        target.mSettled = true;
        ended(target, jittered());
        mOnReport.accept(target.mServer.pool());
    }

    private void ended(Target target, Duration next) {
        target.mRunning = false;
        mCalls--;
        scheduleIn(target, target.mAgain ? Duration.ZERO : next);
        target.mAgain = false;
        Target waiting = mBacklog.poll();
        if (waiting != null) {
            waiting.mQueued = false;
            poll(waiting);
        }
    }

    private Duration jittered() {
        double factor = 1 + JITTER * (2 * mRandom.nextDouble() - 1);
        return Duration.ofNanos((long) (mInterval.toNanos() * factor));
    }

    private long now() {
        return mClock.monotonicNanos();
    }

    private static BackendAddress address(BackendServer server) {
        return new BackendAddress(server.name(), server.address(), server.port());
    }

    /**
     * One server that is read.
     *
     * <p>Thread safety: owned by the event loop.
     */
    private static final class Target {
        private final BackendServer mServer;
        private EventLoop.@Nullable ScheduledTask mTimer;
        private boolean mRemoved;
        private boolean mRunning;
        private boolean mQueued;
        private boolean mAgain;
        private boolean mOpened;
        private boolean mAsked;
        private boolean mSettled;
        private int mGeneration;
        private long mOpenedNanos;
        private long mAskedNanos;

        private Target(BackendServer server) {
            mServer = server;
        }
    }
}
