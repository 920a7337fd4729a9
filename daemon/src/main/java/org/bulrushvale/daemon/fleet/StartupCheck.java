package org.bulrushvale.daemon.fleet;

import java.time.Duration;
import org.bulrushvale.kernel.time.Clock;

/**
 * Decides when a starting process has asked enough sources to hold the highest configuration
 * revision that it can reach.
 *
 * <p>Invariant: once complete, it stays complete. Thread safety: owned by the event loop.
 */
final class StartupCheck {
    /** An entry must be ready within 2 s even if a source does not answer. */
    private static final Duration TIMEOUT = Duration.ofMillis(1_500);

    private final Clock mClock;
    private final long mStartNanos;
    private boolean mServiceAsked;
    private boolean mPeersKnown;
    private int mPendingPeers;
    private boolean mComplete;

    StartupCheck(Clock clock) {
        mClock = clock;
        mStartNanos = clock.monotonicNanos();
    }

    /** Records that the configuration service has answered or failed. */
    void onServiceAsked() {
        mServiceAsked = true;
    }

    /** Records the number of peers to ask; returns true on the first call only. */
    boolean onPeersKnown(int peers) {
        if (mPeersKnown) {
            return false;
        }
        mPeersKnown = true;
        mPendingPeers = peers;
        return true;
    }

    /** Records that a peer has answered or failed. */
    void onPeerAsked() {
        mPendingPeers--;
    }

    boolean wasComplete() {
        return mComplete;
    }

    boolean isComplete(boolean fetching) {
        boolean allAsked = mServiceAsked && mPeersKnown && mPendingPeers == 0 && !fetching;
        mComplete |= allAsked || mClock.elapsedSince(mStartNanos).compareTo(TIMEOUT) > 0;
        return mComplete;
    }
}
