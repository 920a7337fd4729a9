package org.bulrushvale.daemon.forward;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.bulrushvale.adapters.forward.ForwardServer;
import org.bulrushvale.decision.drain.GracePeriod;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.time.Clock;

/**
 * The graceful shutdown of a forwarding entry, driven by its {@link GracePeriod}.
 *
 * <p>A thread of its own begins the last steps and the end, which must not be late when the event
 * loop or its timers are.
 *
 * <p>Invariant: the shutdown ends once all connections of callers are closed, or at the end of the
 * grace time; then no connection of a caller is open. Thread safety: {@link #begin} and {@link
 * #await} may be called from any thread; the other methods state their thread.
 */
final class ForwardStop {
    private static final Duration CHECK_PERIOD = Duration.ofMillis(50);

    private final EventLoop mLoop;
    private final Clock mClock;
    private final GracePeriod mGracePeriod;
    private final DecisionLog mLog;
    private final ForwardCore mCore;
    private final FleetStageExecutor mFleet;
    private final ForwardServer mServer;
    private final CountDownLatch mEnded = new CountDownLatch(1);
    private volatile long mRequestedNanos;
    private volatile int mPeerJobs;
    private final AtomicBoolean mBegun = new AtomicBoolean();
    private final AtomicBoolean mClosingConnections = new AtomicBoolean();

    ForwardStop(
            EventLoop loop,
            Clock clock,
            GracePeriod gracePeriod,
            DecisionLog log,
            ForwardCore core,
            FleetStageExecutor fleet,
            ForwardServer server) {
        mLoop = loop;
        mClock = clock;
        mGracePeriod = gracePeriod;
        mLog = log;
        mCore = core;
        mFleet = fleet;
        mServer = server;
    }

    /**
     * Begins the shutdown; has no effect when it has already begun.
     *
     * @param requestedNanos monotonic time of the request to stop, from which the grace time counts
     */
    void begin(long requestedNanos) {
        if (!mBegun.compareAndSet(false, true)) {
            return;
        }
        mRequestedNanos = requestedNanos;
        Thread lastSteps = new Thread(() -> runLastSteps(requestedNanos), "stop");
        lastSteps.setDaemon(true);
        lastSteps.start();
        mServer.drain();
        mLoop.execute(
                () -> {
                    mLog.line("stop").with("running", mCore.requestsInProgress()).writeAlways();
                    mGracePeriod.begin(requestedNanos);
                    mCore.drain();
                    mFleet.drain();
                    mLoop.scheduleWithFixedDelay(CHECK_PERIOD, this::check);
                });
    }

    /** Waits for the end of the shutdown; returns false when the limit elapsed first. */
    boolean await(Duration limit) throws InterruptedException {
        return mEnded.await(limit.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Ends the last steps of a shutdown; called when the daemon is closed. */
    void close() {
        mEnded.countDown();
    }

    /** Runs on the thread of the last steps. */
    private void runLastSteps(long requestedNanos) {
        try {
            if (awaitUntil(requestedNanos, mGracePeriod.finalAnswersAfter())) {
                return;
            }
            closeConnections();
            mServer.refuseRequests();
            // The ring of the loop may be full, and the end must not wait for it.
            if (!mLoop.offer(this::check)) {
                mLog.line("stop_delayed").writeAlways();
            }
            if (!awaitUntil(requestedNanos, mGracePeriod.endAfter())) {
                mServer.closeAllConnections();
                end();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns true once the shutdown has ended, or false at the time after the request. */
    private boolean awaitUntil(long requestedNanos, Duration after) throws InterruptedException {
        long leftNanos = after.minus(mClock.elapsedSince(requestedNanos)).toNanos();
        return mEnded.await(Math.max(0, leftNanos), TimeUnit.NANOSECONDS);
    }

    /** Runs on the event loop. */
    private void check() {
        boolean finalAnswersDue = mGracePeriod.areFinalAnswersDue();
        if (finalAnswersDue) {
            mCore.endAll();
        }
        mPeerJobs = mFleet.peerRequestCount();
        boolean idle =
                mGracePeriod.mayEndWhenIdle()
                        && mCore.requestsInProgress() == 0
                        && mServer.running() == 0
                        && mPeerJobs == 0;
        if (idle || finalAnswersDue) {
            closeConnections();
        }
    }

    /** May be called from any thread. */
    private void closeConnections() {
        if (mClosingConnections.compareAndSet(false, true)) {
            mServer.closeConnections(this::end);
        }
    }

    /** May be called from any thread. */
    private void end() {
        if (mEnded.getCount() > 0) {
            mLog.line("drained")
                    .with("running", mServer.running())
                    .with("peer_jobs", mPeerJobs)
                    .with("after_ms", mClock.elapsedSince(mRequestedNanos).toMillis())
                    .writeAlways();
            mEnded.countDown();
        }
    }
}
