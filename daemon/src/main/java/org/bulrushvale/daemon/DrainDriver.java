package org.bulrushvale.daemon;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import org.bulrushvale.adapters.settings.EntrySettings;
import org.bulrushvale.decision.drain.DrainSequence;
import org.bulrushvale.decision.drain.DrainState;
import org.bulrushvale.decision.drain.DrainTimeouts;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.time.Clock;
import org.jboss.logging.Logger;

/**
 * Drives the {@link DrainSequence} of the daemon and reports each state that it enters.
 *
 * <p>Invariant: the first state after serving is reported before {@link #begin} has returned on the
 * event loop. Thread safety: owned by the event loop, except {@link #awaitStopped}.
 */
final class DrainDriver {
    private static final Logger LOG = Logger.getLogger(DrainDriver.class);
    private static final Duration TICK_PERIOD = Duration.ofMillis(20);

    private final DrainSequence mSequence;
    private final EventLoop mLoop;
    private final Consumer<DrainState> mOnState;
    private final CountDownLatch mStopped = new CountDownLatch(1);

    DrainDriver(EntrySettings settings, Clock clock, EventLoop loop, Consumer<DrainState> onState) {
        EntrySettings.Drain drain = settings.drain();
        mSequence =
                new DrainSequence(
                        clock,
                        new DrainTimeouts(
                                drain.readinessDelay(),
                                drain.settle(),
                                drain.grace(),
                                drain.handover(),
                                settings.caller().readTimeout().plus(drain.grace())));
        mLoop = loop;
        mOnState = onState;
    }

    DrainSequence sequence() {
        return mSequence;
    }

    void begin() {
        if (mSequence.state() != DrainState.SERVING) {
            return;
        }
        mSequence.begin();
        enter(mSequence.state());
        mLoop.scheduleWithFixedDelay(TICK_PERIOD, () -> mSequence.tick().forEach(this::enter));
    }

    void awaitStopped() throws InterruptedException {
        mStopped.await();
    }

    private void enter(DrainState state) {
        LOG.infof("shutdown: %s, %d requests in progress", state, mSequence.inFlight());
        mOnState.accept(state);
        if (state == DrainState.STOPPED) {
            if (mSequence.abandonedRequests() > 0) {
                LOG.warnf(
                        "shutdown abandoned %d requests that had not ended",
                        mSequence.abandonedRequests());
            }
            if (!mSequence.connectionsClosed()) {
                LOG.warn("shutdown cuts connections whose requests were not answered in time");
            }
            mStopped.countDown();
        }
    }
}
