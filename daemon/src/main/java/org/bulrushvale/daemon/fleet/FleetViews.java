package org.bulrushvale.daemon.fleet;

import java.time.Duration;
import org.bulrushvale.decision.config.ConfigStore;
import org.bulrushvale.decision.membership.IsolationRule;
import org.bulrushvale.decision.membership.PeerTable;
import org.bulrushvale.decision.membership.ReaderSelection;
import org.bulrushvale.decision.membership.VmList;
import org.bulrushvale.decision.membership.VmListStore;
import org.bulrushvale.kernel.time.Clock;

/**
 * What this process knows of the fleet, and whether that is recent enough to route new work.
 *
 * <p>Invariant: after a pause of the process, work is routed only when the configuration was
 * confirmed since, or the process is known not to be isolated. Thread safety: owned by the event
 * loop, but {@link #isIsolated}.
 */
public final class FleetViews {
    /** The tick runs every 100 ms; a longer gap means that the process or its VM was paused. */
    private static final Duration PAUSE_GAP = Duration.ofSeconds(1);

    /** Covers a call to the service and one round of gossip; short against a deadline of 5 s. */
    private static final Duration REFRESH_LIMIT = Duration.ofSeconds(1);

    private final String mSelf;
    private final int mNamedPeers;
    private final Clock mClock;
    private final ConfigStore mConfig;
    private final VmListStore mVms;
    private final PeerTable mPeers = new PeerTable();
    private long mServiceAnsweredAt;
    private long mLastTick;
    private long mRefreshingSince;
    private boolean mRefreshing;
    private volatile boolean mIsolated;

    FleetViews(String self, int namedPeers, Clock clock, ConfigStore config) {
        mSelf = self;
        mNamedPeers = namedPeers;
        mClock = clock;
        mConfig = config;
        mVms = VmListStore.empty(clock);
        mServiceAnsweredAt = clock.monotonicNanos();
        mLastTick = mServiceAnsweredAt;
    }

    ConfigStore config() {
        return mConfig;
    }

    /** Returns the VM list with its confirmation time. */
    public VmListStore vms() {
        return mVms;
    }

    PeerTable peers() {
        return mPeers;
    }

    /** Returns true when this process is cut off and must refuse new work. */
    public boolean isIsolated() {
        return mIsolated;
    }

    void serviceAnswered(long askedAtNanos) {
        if (askedAtNanos - mServiceAnsweredAt > 0) {
            mServiceAnsweredAt = askedAtNanos;
        }
    }

    Duration serviceAge() {
        return mClock.elapsedSince(mServiceAnsweredAt);
    }

    /** Returns true when new work may be routed with the present views. */
    boolean mayRoute() {
        noticePause();
        if (mRefreshing) {
            judgeRefresh();
        }
        return !mRefreshing;
    }

    boolean isRefreshing() {
        return mRefreshing;
    }

    /** Brings the state up to date; returns true when the process was paused before this call. */
    boolean tick() {
        boolean paused = noticePause();
        mLastTick = mClock.monotonicNanos();
        if (mRefreshing) {
            judgeRefresh();
        } else {
            mIsolated = cutOff();
        }
        return paused;
    }

    /**
     * Returns true when the configuration service should be asked: nothing has confirmed the view,
     * or too few peers answer to tell whether this process is cut off.
     */
    boolean needsService() {
        Duration age = mConfig.confirmationAge().orElse(ReaderSelection.FALLBACK_AGE);
        return ReaderSelection.needsFallbackRead(age)
                || (ReaderSelection.needsFallbackRead(serviceAge()) && !hearsMajority());
    }

    private boolean noticePause() {
        boolean paused = mClock.elapsedSince(mLastTick).compareTo(PAUSE_GAP) > 0;
        if (paused && !mRefreshing && mConfig.isOlderThan(IsolationRule.LIMIT)) {
            mRefreshing = true;
            mRefreshingSince = mClock.monotonicNanos();
        }
        return paused;
    }

    private void judgeRefresh() {
        if (!mConfig.isOlderThan(IsolationRule.LIMIT)) {
            mRefreshing = false;
            mIsolated = cutOff();
        } else if (mClock.elapsedSince(mRefreshingSince).compareTo(REFRESH_LIMIT) > 0) {
            mIsolated = cutOff();
            mRefreshing = mIsolated;
        }
    }

    private boolean cutOff() {
        if (knowsList()) {
            return IsolationRule.isIsolated(
                    serviceAge(), mVms.list(), mSelf, mPeers, mClock.monotonicNanos());
        }
        return serviceAge().compareTo(IsolationRule.LIMIT) > 0 && !hearsMajority();
    }

    private boolean knowsList() {
        return mVms.list().size() > 0;
    }

    /** Without a list the peers named in the settings stand for it. */
    private boolean hearsMajority() {
        long now = mClock.monotonicNanos();
        VmList list = mVms.list();
        if (knowsList()) {
            int own = list.vm(mSelf).isPresent() ? 1 : 0;
            int heard = mPeers.countHeardWithin(list, mSelf, IsolationRule.LIMIT, now);
            return 2 * (own + heard) > list.size();
        }
        long heard =
                mPeers.peers().stream()
                        .filter(peer -> peer.isHeardWithin(IsolationRule.LIMIT, now))
                        .count();
        return 2 * (1 + heard) > 1 + mNamedPeers;
    }
}
