package org.bulrushvale.daemon;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.bulrushvale.adapters.platform.PlatformClient;
import org.bulrushvale.adapters.platform.PlatformException;
import org.bulrushvale.decision.membership.View;
import org.bulrushvale.decision.membership.VmList;
import org.bulrushvale.decision.membership.VmListStore;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.time.Clock;
import org.jboss.logging.Logger;

/**
 * Reads the VM list of the platform and delivers each confirmation on the event loop.
 *
 * <p>Invariant: the confirmation time is taken before the call, so that a pause during the call
 * makes the list older. Thread safety: runs on its own thread; {@link #close} may be called from
 * any thread.
 */
final class VmListPoller implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(VmListPoller.class);

    /** 330 entries make 330 calls/s, a sixth of the platform's rate limit of 2,000/s. */
    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private final PlatformClient mClient;
    private final EventLoop mLoop;
    private final Clock mClock;
    private final VmListStore mStore;
    private final Consumer<View<VmList>> mOnView;
    private final Thread mThread;
    private volatile boolean mClosed;

    private VmListPoller(
            PlatformClient client, EventLoop loop, Clock clock, Consumer<View<VmList>> onView) {
        mClient = client;
        mLoop = loop;
        mClock = clock;
        mStore = VmListStore.empty(clock);
        mOnView = onView;
        mThread = new Thread(this::run, "vm-list-poller");
        mThread.setDaemon(true);
    }

    /** Starts a poller. */
    static VmListPoller start(
            PlatformClient client, EventLoop loop, Clock clock, Consumer<View<VmList>> onView) {
        VmListPoller poller = new VmListPoller(client, loop, clock, onView);
        poller.mThread.start();
        return poller;
    }

    @Override
    public void close() {
        mClosed = true;
        mThread.interrupt();
    }

    private void run() {
        try {
            while (!mClosed) {
                read();
                TimeUnit.NANOSECONDS.sleep(INTERVAL.toNanos());
            }
        } catch (InterruptedException e) {
            LOG.debug("VM list poller stopped");
        }
    }

    private void read() throws InterruptedException {
        long asked = mClock.monotonicNanos();
        try {
            VmList list = mClient.vms();
            mLoop.execute(
                    () -> {
                        mStore.offer(list, mClock.elapsedSince(asked));
                        mStore.view().ifPresent(mOnView);
                    });
        } catch (PlatformException e) {
            LOG.debugf("VM list: %s", e.getMessage());
        }
    }
}
