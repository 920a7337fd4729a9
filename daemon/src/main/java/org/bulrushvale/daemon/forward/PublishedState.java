package org.bulrushvale.daemon.forward;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.bulrushvale.adapters.forward.PublishedStateWatcher;
import org.bulrushvale.decision.forward.BackendDirectory;
import org.bulrushvale.decision.forward.ForwardConfig;
import org.bulrushvale.decision.forward.PublishedBackend;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * The configuration and the servers as this entry knows them from the store.
 *
 * <p>Servers that vanish while the store is unreachable, or within the retention time after that,
 * are kept for the retention time: their entries in the store may have expired during the outage
 * and come back.
 *
 * <p>Invariant: the version of the configuration never decreases. Thread safety: the listener
 * methods may be called from any thread; everything else is used on the event loop.
 */
final class PublishedState implements PublishedStateWatcher.Listener {
    private final EventLoop mLoop;
    private final Clock mClock;
    private final Duration mVanishedServerRetention;
    private final DecisionLog mLog;
    private final BackendDirectory mDirectory;
    private final Runnable mOnChange;
    private final Set<String> mVanishedIds = new HashSet<>();
    private @Nullable ForwardConfig mConfig;
    private boolean mServersKnown;
    private boolean mReachable = true;
    private long mReachableSinceNanos;

    PublishedState(
            EventLoop loop,
            Clock clock,
            Duration vanishedServerRetention,
            DecisionLog log,
            Runnable onChange) {
        mLoop = loop;
        mClock = clock;
        mVanishedServerRetention = vanishedServerRetention;
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
                    Set<String> missingIds = new HashSet<>(mDirectory.ids());
                    for (PublishedBackend server : servers) {
                        missingIds.remove(server.id());
                        // A task of its own: an unexpected error with one server must not keep the
                        // entry from using the others.
                        mLoop.execute(() -> put(server));
                    }
                    missingIds.forEach(this::onVanished);
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
        mLoop.execute(() -> onVanished(id));
    }

    @Override
    public void evacuated(Set<String> domains) {
        mLoop.execute(
                () -> {
                    if (!mDirectory.setEvacuatedDomains(domains)) {
                        return;
                    }
                    mLog.line("evacuated")
                            .with("failure_domains", String.join(",", domains))
                            .writeAlways();
                });
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

    private void put(PublishedBackend server) {
        mVanishedIds.remove(server.id());
        mDirectory.put(server);
    }

    private void onVanished(String id) {
        Duration since = mClock.elapsedSince(mReachableSinceNanos);
        if (mReachable && since.compareTo(mVanishedServerRetention) >= 0) {
            remove(id);
            return;
        }
        if (mVanishedIds.add(id)) {
            mLoop.schedule(
                    mVanishedServerRetention,
                    () -> {
                        if (mVanishedIds.remove(id)) {
                            remove(id);
                        }
                    });
        }
    }

    private void remove(String id) {
        mDirectory.remove(id);
        mLog.line("server_gone").with("server", id).write();
    }
}
