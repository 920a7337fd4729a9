package org.bulrushvale.adapters.platform;

import java.time.Duration;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.kernel.time.Clock;
import org.jboss.logging.Logger;

/**
 * Polls the configuration service and the VM list and passes the results to a listener.
 *
 * <pre>{@code
 * PlatformReader reader =
 *         PlatformReader.start(config, vms, listener, Clock.system(), seed);
 * reader.setWatching(ReaderSelection.isReader(list, self));
 * }</pre>
 *
 * <p>Invariant: after the first read, a reader that does not watch reads the configuration only
 * after a call of {@link #readOnce} or {@link #setWatching}. Thread safety: all methods may be
 * called from any thread.
 */
public final class PlatformReader implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(PlatformReader.class);

    /** 330 entries make 330 calls/s, a sixth of the service's rate limit of 2,000 calls/s. */
    private static final Duration VM_LIST_INTERVAL = Duration.ofSeconds(1);

    private final PlatformClient mVmClient;
    private final PlatformListener mListener;
    private final Clock mClock;
    private final ConfigReader mConfigReader;
    private final Backoff mVmBackoff;
    private final Semaphore mReadTrigger = new Semaphore(1);
    private final Thread mConfigThread;
    private final Thread mVmThread;
    private volatile boolean mWatching;
    private volatile boolean mClosed;

    private PlatformReader(
            PlatformClient configClient,
            PlatformClient vmClient,
            PlatformListener listener,
            Clock clock,
            long seed) {
        mVmClient = vmClient;
        mListener = listener;
        mClock = clock;
        mConfigReader = new ConfigReader(configClient, listener, clock, seed);
        mVmBackoff = new Backoff(seed + 1);
        mConfigThread = thread("platform-config", this::runConfigLoop);
        mVmThread = thread("platform-vms", this::runVmListLoop);
    }

    /** Starts a reader that reads configuration and VM list once and then polls the VM list. */
    public static PlatformReader start(
            PlatformClient configClient,
            PlatformClient vmClient,
            PlatformListener listener,
            Clock clock,
            long seed) {
        PlatformReader reader = new PlatformReader(configClient, vmClient, listener, clock, seed);
        reader.mConfigThread.start();
        reader.mVmThread.start();
        return reader;
    }

    private static Thread thread(String name, ReaderLoop loop) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                loop.run();
                            } catch (InterruptedException e) {
                                LOG.debugf("%s stopped", name);
                            }
                        },
                        name);
        thread.setDaemon(true);
        return thread;
    }

    /** Sets whether this process watches the configuration service, and triggers one read. */
    public void setWatching(boolean watching) {
        mWatching = watching;
        mReadTrigger.release();
    }

    /** Triggers one read of the configuration index, unless one is already triggered. */
    public void readOnce() {
        if (mReadTrigger.availablePermits() == 0) {
            mReadTrigger.release();
        }
    }

    /** Records a revision that the process has already received from a peer. */
    public void noteRevision(long revision) {
        mConfigReader.noteRevision(revision);
    }

    private void runConfigLoop() throws InterruptedException {
        while (!mClosed) {
            if (!mWatching) {
                mReadTrigger.acquire();
                mReadTrigger.drainPermits();
            }
            Duration pause = Duration.ofMillis(200);
            try {
                pause = mConfigReader.poll(mWatching);
            } catch (RuntimeException e) {
                LOG.error("configuration reader failed", e);
            }
            TimeUnit.MILLISECONDS.sleep(pause.toMillis());
        }
    }

    private void runVmListLoop() throws InterruptedException {
        while (!mClosed) {
            TimeUnit.MILLISECONDS.sleep(readVms().toMillis());
        }
    }

    private Duration readVms() throws InterruptedException {
        long askedAtNanos = mClock.monotonicNanos();
        try {
            mListener.onVmList(mVmClient.vms(), askedAtNanos);
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
     * Loop that a reader thread runs until it is interrupted.
     *
     * <p>Thread safety: run by one thread.
     */
    @FunctionalInterface
    private interface ReaderLoop {
        void run() throws InterruptedException;
    }
}
