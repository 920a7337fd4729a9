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
 * Holds the views of the fleet and decides whether they are recent enough to route new work.
 *
 * <p>Invariant: after a pause of the process, new work is routed only when the configuration has
 * been confirmed since or the process is known not to be isolated. Thread safety: owned by the
 * event loop, except {@link #isIsolated}.
 */
public final class FleetViews {
    /**
     * The tick runs every 100 ms; a longer gap than this between two ticks means that the process
     * or its VM was paused.
     */
    private static final Duration MIN_PAUSE = Duration.ofSeconds(1);

    /**
     * Allows for a call to the configuration service and one round of gossip; short compared with a
     * deadline of 5 s.
     */
    private static final Duration REFRESH_TIMEOUT = Duration.ofSeconds(1);

    private final String mOwnName;
    private final int mConfiguredPeerCount;
    private final Clock mClock;
    private final ConfigStore mConfig;
    private final VmListStore mVmListStore;
    private final PeerTable mPeers = new PeerTable();
    private long mServiceAnsweredNanos;
    private long mLastTickNanos;
    private long mRefreshStartNanos;
    private boolean mRefreshing;
    private volatile boolean mIsolated;

    FleetViews(String ownName, int configuredPeerCount, Clock clock, ConfigStore config) {
        mOwnName = ownName;
        mConfiguredPeerCount = configuredPeerCount;
        mClock = clock;
        mConfig = config;
        mVmListStore = VmListStore.empty(clock);
        mServiceAnsweredNanos = clock.monotonicNanos();
        mLastTickNanos = mServiceAnsweredNanos;
    }

    ConfigStore config() {
        return mConfig;
    }

    /** Returns the store of the VM list and its confirmation time. */
    public VmListStore vmListStore() {
        return mVmListStore;
    }

    PeerTable peers() {
        return mPeers;
    }

    /** Returns true when this process is isolated from the fleet and must refuse new work. */
    public boolean isIsolated() {
        return mIsolated;
    }

    void serviceAnswered(long askedAtNanos) {
        if (askedAtNanos - mServiceAnsweredNanos > 0) {
            mServiceAnsweredNanos = askedAtNanos;
        }
    }

    Duration serviceAge() {
        return mClock.elapsedSince(mServiceAnsweredNanos);
    }

    /** Returns true when new work may be routed with the present views. */
    boolean mayRoute() {
        detectPause();
        if (mRefreshing) {
            updateRefresh();
        }
        return !mRefreshing;
    }

    boolean isRefreshing() {
        return mRefreshing;
    }

    /**
     * Updates the state periodically; returns true when the process was paused before this call.
     */
    boolean tick() {
        boolean paused = detectPause();
        mLastTickNanos = mClock.monotonicNanos();
        if (mRefreshing) {
            updateRefresh();
        } else {
            mIsolated = computeIsolation();
        }
        return paused;
    }

    /**
     * Returns true when the configuration service should be read: no answer has confirmed the
     * configuration recently, or too few peers answer to decide whether this process is isolated.
     */
    boolean needsService() {
        Duration age = mConfig.confirmationAge().orElse(ReaderSelection.FALLBACK_AGE);
        return ReaderSelection.needsFallbackRead(age)
                || (ReaderSelection.needsFallbackRead(serviceAge()) && !hasMajorityContact());
    }

    private boolean detectPause() {
        boolean paused = mClock.elapsedSince(mLastTickNanos).compareTo(MIN_PAUSE) > 0;
        if (paused && !mRefreshing && mConfig.isOlderThan(IsolationRule.LIMIT)) {
            mRefreshing = true;
            mRefreshStartNanos = mClock.monotonicNanos();
        }
        return paused;
    }

    private void updateRefresh() {
        if (!mConfig.isOlderThan(IsolationRule.LIMIT)) {
            mRefreshing = false;
            mIsolated = computeIsolation();
        } else if (mClock.elapsedSince(mRefreshStartNanos).compareTo(REFRESH_TIMEOUT) > 0) {
            mIsolated = computeIsolation();
            mRefreshing = mIsolated;
        }
    }

    private boolean computeIsolation() {
        if (hasVmList()) {
            return IsolationRule.isIsolated(
                    serviceAge(), mVmListStore.list(), mOwnName, mPeers, mClock.monotonicNanos());
        }
        return serviceAge().compareTo(IsolationRule.LIMIT) > 0 && !hasMajorityContact();
    }

    private boolean hasVmList() {
        return mVmListStore.list().size() > 0;
    }

    /** Uses the peers named in the settings while the VM list is unknown. */
    private boolean hasMajorityContact() {
        long now = mClock.monotonicNanos();
        VmList list = mVmListStore.list();
        if (hasVmList()) {
            int own = list.vm(mOwnName).isPresent() ? 1 : 0;
            int heard = mPeers.countHeardWithin(list, mOwnName, IsolationRule.LIMIT, now);
            return 2 * (own + heard) > list.size();
        }
        long heard =
                mPeers.peers().stream()
                        .filter(peer -> peer.isHeardWithin(IsolationRule.LIMIT, now))
                        .count();
        return 2 * (1 + heard) > 1 + mConfiguredPeerCount;
    }
}
