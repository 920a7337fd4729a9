package org.bulrushvale.adapters.platform;

import java.time.Duration;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.kernel.time.Clock;
import org.jboss.logging.Logger;

/**
 * Follows the configuration service and the VM list and delivers what changes.
 *
 * <pre>{@code
 * PlatformReader reader =
 *         PlatformReader.start(config, vms, listener, Clock.system(), seed);
 * reader.watching(ReaderSelection.isReader(list, self));
 * }</pre>
 *
 * <p>Invariant: while it does not watch, it reads the configuration only on {@link #readOnce}.
 * Thread safety: all methods may be called from any thread.
 */
public final class PlatformReader implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(PlatformReader.class);

    /** 330 entries make 330 calls/s, a sixth of the service's rate limit of 2,000/s. */
    private static final Duration VM_LIST_INTERVAL = Duration.ofSeconds(1);

    private final PlatformClient mVms;
    private final PlatformListener mListener;
    private final Clock mClock;
    private final ConfigReader mConfig;
    private final Backoff mVmBackoff;
    private final Semaphore mWake = new Semaphore(1);
    private final Thread mConfigThread;
    private final Thread mVmThread;
    private volatile boolean mWatching;
    private volatile boolean mClosed;

    private PlatformReader(
            PlatformClient config,
            PlatformClient vms,
            PlatformListener listener,
            Clock clock,
            long seed) {
        mVms = vms;
        mListener = listener;
        mClock = clock;
        mConfig = new ConfigReader(config, listener, clock, seed);
        mVmBackoff = new Backoff(seed + 1);
        mConfigThread = thread("platform-config", this::followConfig);
        mVmThread = thread("platform-vms", this::followVms);
    }

    /** Starts a reader that reads both once and then follows the VM list. */
    public static PlatformReader start(
            PlatformClient config,
            PlatformClient vms,
            PlatformListener listener,
            Clock clock,
            long seed) {
        PlatformReader reader = new PlatformReader(config, vms, listener, clock, seed);
        reader.mConfigThread.start();
        reader.mVmThread.start();
        return reader;
    }

    private static Thread thread(String name, Follower follower) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                follower.follow();
                            } catch (InterruptedException e) {
                                LOG.debugf("%s stopped", name);
                            }
                        },
                        name);
        thread.setDaemon(true);
        return thread;
    }

    /** Says whether this process watches the configuration service. */
    public void watching(boolean watching) {
        mWatching = watching;
        mWake.release();
    }

    /** Reads the configuration index once, soon. */
    public void readOnce() {
        if (mWake.availablePermits() == 0) {
            mWake.release();
        }
    }

    /** Tells the reader which revision the process already holds from a peer. */
    public void noteRevision(long revision) {
        mConfig.known(revision);
    }

    private void followConfig() throws InterruptedException {
        while (!mClosed) {
            if (!mWatching) {
                mWake.acquire();
                mWake.drainPermits();
            }
            Duration pause = Duration.ofMillis(200);
            try {
                pause = mConfig.step(mWatching);
            } catch (RuntimeException e) {
                LOG.error("configuration reader failed", e);
            }
            TimeUnit.MILLISECONDS.sleep(pause.toMillis());
        }
    }

    private void followVms() throws InterruptedException {
        while (!mClosed) {
            TimeUnit.MILLISECONDS.sleep(readVms().toMillis());
        }
    }

    private Duration readVms() throws InterruptedException {
        long askedAt = mClock.monotonicNanos();
        try {
            mListener.onVmList(mVms.vms(), askedAt);
            mVmBackoff.reset();
            return VM_LIST_INTERVAL;
        } catch (PlatformException e) {
            mListener.onFailure(e);
        } catch (RuntimeException e) {
            LOG.error("VM list reader failed", e);
        }
        return mVmBackoff.next();
    }

    @Override
    public void close() {
        mClosed = true;
        mConfigThread.interrupt();
        mVmThread.interrupt();
    }

    /**
     * Body of a thread.
     *
     * <p>Thread safety: run by one thread.
     */
    @FunctionalInterface
    private interface Follower {
        void follow() throws InterruptedException;
    }
}
