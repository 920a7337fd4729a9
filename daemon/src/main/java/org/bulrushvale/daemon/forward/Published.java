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
 * What this entry believes of the published state.
 *
 * <p>Servers that vanish from the store during its outage, or within the lapse time after it, are
 * kept for the lapse time, because entries that expired meanwhile come back.
 *
 * <p>Invariant: the version of the configuration never decreases. Thread safety: the listener's
 * methods may be called from any thread; everything else is used on the event loop.
 */
final class Published implements PublishedStateWatcher.Listener {
    private final EventLoop mLoop;
    private final Clock mClock;
    private final Duration mLapse;
    private final DecisionLog mLog;
    private final BackendDirectory mDirectory;
    private final Runnable mOnChange;
    private final Set<String> mVanished = new HashSet<>();
    private @Nullable ForwardConfig mConfig;
    private boolean mServersKnown;
    private boolean mReachable = true;
    private long mReachableSinceNanos;

    Published(EventLoop loop, Clock clock, Duration lapse, DecisionLog log, Runnable onChange) {
        mLoop = loop;
        mClock = clock;
        mLapse = lapse;
        mLog = log;
        mDirectory = new BackendDirectory(clock);
        mOnChange = onChange;
        mReachableSinceNanos = clock.monotonicNanos() - lapse.toNanos();
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
                    Set<String> gone = new HashSet<>(mDirectory.ids());
                    for (PublishedBackend entry : servers) {
                        gone.remove(entry.id());
                        put(entry);
                    }
                    gone.forEach(this::vanish);
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
        mLoop.execute(() -> vanish(id));
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

    @Override
    public void reachable(boolean reachable, String detail) {
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

    private void put(PublishedBackend entry) {
        mVanished.remove(entry.id());
        mDirectory.put(entry);
    }

    private void vanish(String id) {
        Duration since = mClock.elapsedSince(mReachableSinceNanos);
        if (mReachable && since.compareTo(mLapse) >= 0) {
            remove(id);
            return;
        }
        if (mVanished.add(id)) {
            mLoop.schedule(
                    mLapse,
                    () -> {
                        if (mVanished.remove(id)) {
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
