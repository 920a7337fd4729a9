package org.bulrushvale.daemon.fleet;

import java.time.Duration;
import org.bulrushvale.kernel.time.Clock;

/**
 * Decides when a process that has just started has asked enough sources to hold the highest
 * revision that it can reach.
 *
 * <p>Invariant: once complete, it stays complete. Thread safety: owned by the event loop.
 */
final class StartupCheck {
    /** A source that does not answer must not keep an entry from being ready within 2 s. */
    private static final Duration LIMIT = Duration.ofMillis(1_500);

    private final Clock mClock;
    private final long mStartNanos;
    private boolean mServiceAsked;
    private boolean mListKnown;
    private int mOpenPeers;
    private boolean mComplete;

    StartupCheck(Clock clock) {
        mClock = clock;
        mStartNanos = clock.monotonicNanos();
    }

    void onServiceAsked() {
        mServiceAsked = true;
    }

    /** Records that the peers to ask are known; returns true when it is for the first time. */
    boolean onListKnown(int peers) {
        if (mListKnown) {
            return false;
        }
        mListKnown = true;
        mOpenPeers = peers;
        return true;
    }

    void onPeerAsked() {
        mOpenPeers--;
    }

    boolean wasComplete() {
        return mComplete;
    }

    boolean isComplete(boolean fetching) {
        boolean asked = mServiceAsked && mListKnown && mOpenPeers == 0 && !fetching;
        mComplete |= asked || mClock.elapsedSince(mStartNanos).compareTo(LIMIT) > 0;
        return mComplete;
    }
}
