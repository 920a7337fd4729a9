package org.bulrushvale.daemon.forward;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.adapters.forward.ForwardServer;
import org.bulrushvale.decision.drain.GracePeriod;
import org.bulrushvale.kernel.event.EventLoop;

/**
 * The graceful shutdown of a forwarding entry, driven by its {@link GracePeriod}.
 *
 * <p>Invariant: the shutdown ends once all connections of callers are closed, or at the end of the
 * grace time. Thread safety: {@link #begin} and {@link #await} may be called from any thread; the
 * rest is used on the event loop.
 */
final class ForwardStop {
    private static final Duration CHECK_PERIOD = Duration.ofMillis(50);

    private final EventLoop mLoop;
    private final GracePeriod mGracePeriod;
    private final DecisionLog mLog;
    private final ForwardCore mCore;
    private final FleetStageExecutor mFleet;
    private final ForwardServer mServer;
    private final CountDownLatch mEnded = new CountDownLatch(1);
    private boolean mClosingConnections;

    ForwardStop(
            EventLoop loop,
            GracePeriod gracePeriod,
            DecisionLog log,
            ForwardCore core,
            FleetStageExecutor fleet,
            ForwardServer server) {
        mLoop = loop;
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
        mLoop.execute(
                () -> {
                    if (mGracePeriod.hasBegun()) {
                        return;
                    }
                    mLog.line("stop").with("running", mCore.requestsInProgress()).writeAlways();
                    mGracePeriod.begin(requestedNanos);
                    mCore.drain();
                    mFleet.drain();
                    mServer.drain();
                    mLoop.scheduleWithFixedDelay(CHECK_PERIOD, this::check);
                });
    }

    /** Waits for the end of the shutdown; returns false when the limit elapsed first. */
    boolean await(Duration limit) throws InterruptedException {
        return mEnded.await(limit.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void check() {
        boolean finalAnswersDue = mGracePeriod.areFinalAnswersDue();
        if (finalAnswersDue) {
            mCore.endAll();
        }
        boolean idle =
                mGracePeriod.mayEndWhenIdle()
                        && mCore.requestsInProgress() == 0
                        && mServer.running() == 0
                        && mFleet.peerRequestCount() == 0;
        if (!mClosingConnections && (idle || finalAnswersDue)) {
            mClosingConnections = true;
            mServer.closeConnections(() -> mLoop.execute(this::end));
        }
        if (mGracePeriod.mustEnd()) {
            end();
        }
    }

    private void end() {
        if (mEnded.getCount() > 0) {
            mLog.line("drained")
                    .with("running", mServer.running())
                    .with("peer_jobs", mFleet.peerRequestCount())
                    .with("after_ms", mGracePeriod.elapsed().toMillis())
                    .writeAlways();
            mEnded.countDown();
        }
    }
}
