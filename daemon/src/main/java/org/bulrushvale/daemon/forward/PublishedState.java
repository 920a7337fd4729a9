package org.bulrushvale.daemon.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.bulrushvale.adapters.forward.PublishedStateWatcher;
import org.bulrushvale.decision.forward.BackendDirectory;
import org.bulrushvale.decision.forward.ForwardConfig;
import org.bulrushvale.decision.forward.PublishedBackend;
import org.bulrushvale.decision.forward.RegistrationsBeforeRestore;
import org.bulrushvale.decision.forward.ServerHistory.RegistrationChange;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * The configuration and the servers as this entry knows them from the store.
 *
 * <p>Servers that vanish while the store is unreachable, or within the retention time after that,
 * are kept for the retention time: their entries in the store may have expired during the outage
 * and come back. The same holds, for half of that time, after the store was restored from a copy,
 * which lacks what was written last. Reads also fail when the store refuses one entry and serves
 * the others. As long as the state was confirmed within the freshness, a server that vanished is
 * therefore kept only until the last state that showed it is almost that old.
 *
 * <p>Invariants: a server that was removed while the state is confirmed in time is not used for
 * longer than the freshness; the version of the configuration never decreases; within {@link
 * #RESTORE_PERIOD} after a restore of the store, a server that was known to leave or to have left
 * is not used unless it registered anew, and a failure domain stays evacuated unless it is taken
 * back explicitly. Thread safety: the listener methods may be called from any thread; everything
 * else is used on the event loop.
 */
final class PublishedState implements PublishedStateWatcher.Listener {
    /**
     * Time after a restore of the store in which operators and backend servers write again what the
     * copy lacks; servers that ended without a word lapse within some seconds.
     */
    static final Duration RESTORE_PERIOD = Duration.ofSeconds(30);

    private final EventLoop mLoop;
    private final Clock mClock;
    private final Duration mVanishedServerRetention;
    private final Duration mFreshness;
    private final DecisionLog mLog;
    private final BackendDirectory mDirectory;
    private final Runnable mOnChange;
    private final Set<String> mVanishedIds = new HashSet<>();
    private final RegistrationsBeforeRestore mBeforeRestore = new RegistrationsBeforeRestore();
    private final Set<String> mEvacuatedDomains = new HashSet<>();
    private final Set<String> mUnconfirmedEvacuations = new HashSet<>();
    private @Nullable ForwardConfig mConfig;
    private boolean mServersKnown;
    private boolean mOperatorsKnown;
    private boolean mRestored;
    private boolean mReachable = true;
    private long mReachableSinceNanos;
    private boolean mConfirmed;
    private long mConfirmedNanos;

    /**
     * Creates a state that knows nothing.
     *
     * @param vanishedServerRetention time for which servers that vanish around an outage of the
     *     store are kept
     * @param freshness time within which a published change must take effect
     */
    PublishedState(
            EventLoop loop,
            Clock clock,
            Duration vanishedServerRetention,
            Duration freshness,
            DecisionLog log,
            Runnable onChange) {
        mLoop = loop;
        mClock = clock;
        mVanishedServerRetention = vanishedServerRetention;
        mFreshness = freshness;
        mLog = log;
        mDirectory = new BackendDirectory(clock);
        mOnChange = onChange;
        mReachableSinceNanos = clock.monotonicNanos() - vanishedServerRetention.toNanos();
    }

    @Nullable ForwardConfig config() {
        return mConfig;
    }

    BackendDirectory directory() {
        return mDirectory;
    }

    boolean isComplete() {
        return mConfig != null && mServersKnown;
    }

    @Override
    public void config(ForwardConfig config) {
        mLoop.execute(
                () -> {
                    ForwardConfig known = mConfig;
                    if (known != null && config.version() <= known.version()) {
                        return;
                    }
                    mConfig = config;
                    mLog.line("config").with("version", config.version()).writeAlways();
                    mOnChange.run();
                });
    }

    @Override
    public void servers(List<PublishedBackend> servers) {
        mLoop.execute(
                () -> {
                    if (mServersKnown) {
                        recordServersBeforeRestore();
                        beginRestorePeriod();
                    }
                    Set<String> missingIds = new HashSet<>(mDirectory.ids());
                    for (PublishedBackend server : servers) {
                        missingIds.remove(server.id());
                        // A task of its own: an unexpected error with one server must not keep the
                        // entry from using the others.
                        mLoop.execute(() -> put(server));
                    }
                    missingIds.forEach(this::onVanished);
                    if (!mServersKnown) {
                        mDirectory.history().begin();
                    }
                    mServersKnown = true;
                    mLog.line("servers").with("count", servers.size()).writeAlways();
                    mOnChange.run();
                });
    }

    @Override
    public void server(PublishedBackend server) {
        mLoop.execute(
                () -> {
                    put(server);
                    mOnChange.run();
                });
    }

    @Override
    public void serverGone(String id) {
        mLoop.execute(
                () -> {
                    mBeforeRestore.recordGone(id);
                    onVanished(id);
                });
    }

    @Override
    public void evacuated(Set<String> domains) {
        mLoop.execute(
                () -> {
                    if (mOperatorsKnown) {
                        mUnconfirmedEvacuations.addAll(mEvacuatedDomains);
                        beginRestorePeriod();
                    }
                    mOperatorsKnown = true;
                    mUnconfirmedEvacuations.removeAll(domains);
                    mEvacuatedDomains.clear();
                    mEvacuatedDomains.addAll(domains);
                    applyEvacuations();
                });
    }

    @Override
    public void evacuationChanged(String domain, boolean evacuated) {
        mLoop.execute(
                () -> {
                    mUnconfirmedEvacuations.remove(domain);
                    if (evacuated) {
                        mEvacuatedDomains.add(domain);
                    } else {
                        mEvacuatedDomains.remove(domain);
                    }
                    applyEvacuations();
                });
    }

    private void applyEvacuations() {
        Set<String> domains = new TreeSet<>(mEvacuatedDomains);
        domains.addAll(mUnconfirmedEvacuations);
        if (mDirectory.setEvacuatedDomains(domains)) {
            mLog.line("evacuated").with("failure_domains", String.join(",", domains)).writeAlways();
        }
    }

    private void recordServersBeforeRestore() {
        List<PublishedBackend> present = new ArrayList<>();
        for (PublishedBackend server : mDirectory.published()) {
            if (mVanishedIds.contains(server.id())) {
                mBeforeRestore.recordRemoved(server);
            } else {
                present.add(server);
            }
        }
        mBeforeRestore.recordRestore(present);
    }

    private void beginRestorePeriod() {
        mReachableSinceNanos = mClock.monotonicNanos();
        if (!mRestored) {
            mRestored = true;
            mLoop.schedule(RESTORE_PERIOD, this::endRestorePeriod);
        }
    }

    private void endRestorePeriod() {
        Duration since = mClock.elapsedSince(mReachableSinceNanos);
        if (!mReachable || since.compareTo(RESTORE_PERIOD) < 0) {
            mLoop.schedule(RESTORE_PERIOD, this::endRestorePeriod);
            return;
        }
        mRestored = false;
        mUnconfirmedEvacuations.clear();
        applyEvacuations();
        mBeforeRestore.end().forEach(this::put);
        mOnChange.run();
    }

    /** Records whether the store can be reached, by this entry or by one that passes it on. */
    void reachable(boolean reachable, String detail) {
        mLoop.execute(
                () -> {
                    if (reachable == mReachable) {
                        return;
                    }
                    mReachable = reachable;
                    mReachableSinceNanos = mClock.monotonicNanos();
                    mLog.line(reachable ? "store_regained" : "store_lost")
                            .with("detail", detail)
                            .writeAlways();
                });
    }

    /**
     * Records that the store confirmed the whole state; called after what the state contains was
     * passed on.
     *
     * @param age time since the confirmation
     */
    void confirmed(Duration age) {
        long confirmedNanos = mClock.nanosBefore(age);
        mLoop.execute(
                () -> {
                    mConfirmed = true;
                    mConfirmedNanos = confirmedNanos;
                });
    }

    /** Records that servers may have been published and removed since the last read. */
    void recordHistoryGap() {
        mLoop.execute(() -> mDirectory.history().recordGap());
    }

    /** Adds what the store tells of the time before it was read first. */
    void addEarlierRegistrations(List<RegistrationChange> changes, long askedNanos) {
        mLoop.execute(() -> mDirectory.history().addEarlier(changes, askedNanos));
    }

    private void put(PublishedBackend server) {
        if (mBeforeRestore.withhold(server)) {
            mLog.line("server_withheld")
                    .with("server", server.id())
                    .with("sequence", server.sequence())
                    .write();
            return;
        }
        mVanishedIds.remove(server.id());
        mDirectory.put(server);
    }

    private void onVanished(String id) {
        Duration since = mClock.elapsedSince(mReachableSinceNanos);
        if (mReachable && since.compareTo(vanishedServerRetention()) >= 0) {
            remove(id);
            return;
        }
        Duration kept = timeToKeepVanished();
        if (kept.isNegative() || kept.isZero()) {
            mVanishedIds.remove(id);
            remove(id);
        } else if (mVanishedIds.add(id)) {
            mLoop.schedule(
                    kept,
                    () -> {
                        if (mVanishedIds.remove(id)) {
                            remove(id);
                        }
                    });
        }
    }

    private Duration timeToKeepVanished() {
        Duration unconfirmed = mClock.elapsedSince(mConfirmedNanos);
        if (!mConfirmed || unconfirmed.compareTo(mFreshness) >= 0) {
            return vanishedServerRetention();
        }
        // A tenth of the freshness is left for requests that are being sent.
        Duration limit = mFreshness.multipliedBy(9).dividedBy(10);
        boolean isLimited = mVanishedServerRetention.compareTo(limit) > 0;
        return (isLimited ? limit : mVanishedServerRetention).minus(unconfirmed);
    }

    /** A restore is noticed up to a quarter of the freshness late, which is taken off here. */
    private Duration vanishedServerRetention() {
        return mRestored ? mVanishedServerRetention.dividedBy(2) : mVanishedServerRetention;
    }

    private void remove(String id) {
        mDirectory
                .remove(id)
                .ifPresentOrElse(mBeforeRestore::recordRemoved, mDirectory.history()::recordGap);
        mLog.line("server_gone").with("server", id).write();
    }
}
