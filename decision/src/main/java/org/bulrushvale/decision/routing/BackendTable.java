package org.bulrushvale.decision.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bulrushvale.decision.config.BackendServer;
import org.bulrushvale.decision.config.PublishedConfig;
import org.bulrushvale.decision.warmup.ReportedLoad;

/**
 * The servers that may receive new work, indexed by pool, with their load and cached prefixes.
 *
 * <p>Invariant: {@link #pool} holds exactly the servers in service under the last configuration. A
 * server out of service keeps its counters, because its running requests still end. Thread safety:
 * single-writer, used by the event loop only.
 */
public final class BackendTable {
    private final Map<String, BackendState> mBackends = new HashMap<>();
    private final Map<String, List<BackendState>> mPools = new HashMap<>();
    private final Map<String, Set<BackendState>> mByPrefix = new HashMap<>();

    /** Takes an accepted configuration. */
    public void applyConfig(PublishedConfig config) {
        mPools.clear();
        mBackends.values().forEach(backend -> backend.mInService = false);
        for (BackendServer server : config.backends()) {
            BackendState backend =
                    mBackends.computeIfAbsent(server.name(), n -> new BackendState(server));
            backend.server(server);
            if (config.isInService(server)) {
                backend.mInService = true;
                mPools.computeIfAbsent(server.pool(), p -> new ArrayList<>()).add(backend);
            }
        }
        mBackends
                .values()
                .removeIf(
                        backend -> {
                            boolean gone =
                                    config.backend(backend.server().name()).isEmpty()
                                            && backend.outstanding() == 0;
                            if (gone) {
                                clearPrefixes(backend);
                            }
                            return gone;
                        });
    }

    /** Returns the servers of a pool that are in service. */
    public List<BackendState> pool(String name) {
        return mPools.getOrDefault(name, List.of());
    }

    /** Returns the server of that name, in service or not. */
    public Optional<BackendState> backend(String name) {
        return Optional.ofNullable(mBackends.get(name));
    }

    /** Takes a load report, measured at the given reading of the monotonic clock. */
    public void applyReport(ReportedLoad report, long measuredAtNanos) {
        BackendState backend = mBackends.get(report.server());
        if (backend != null && backend.report(report, measuredAtNanos)) {
            // The cache of the previous process is gone.
            clearPrefixes(backend);
            backend.mNextCacheEvent = -1;
        }
    }

    /** Records that an attempt was sent to the server. */
    public void recordStart(String server) {
        BackendState backend = mBackends.get(server);
        if (backend != null) {
            backend.started();
        }
    }

    /** Records that an attempt on the server has ended. */
    public void recordEnd(String server) {
        BackendState backend = mBackends.get(server);
        if (backend != null) {
            backend.finished();
        }
    }

    /**
     * Applies cache events. Repeated events are skipped. After a gap the known prefixes are
     * forgotten, because evictions may have been missed.
     */
    public void cacheEvents(String server, List<CacheEvent> events) {
        BackendState backend = mBackends.get(server);
        if (backend == null) {
            return;
        }
        for (CacheEvent event : events) {
            if (event.sequence() < backend.mNextCacheEvent) {
                continue;
            }
            if (event.sequence() > backend.mNextCacheEvent && backend.mNextCacheEvent >= 0) {
                clearPrefixes(backend);
            }
            backend.mNextCacheEvent = event.sequence() + 1;
            if (event.added()) {
                mByPrefix.computeIfAbsent(event.prefix(), p -> new LinkedHashSet<>()).add(backend);
                forget(backend, backend.addPrefix(event.prefix()));
            } else if (backend.mPrefixes.remove(event.prefix())) {
                forget(backend, event.prefix());
            }
        }
    }

    private void clearPrefixes(BackendState backend) {
        backend.mPrefixes.forEach(prefix -> forget(backend, prefix));
        backend.mPrefixes.clear();
    }

    private void forget(BackendState backend, String prefix) {
        Set<BackendState> holders = mByPrefix.get(prefix);
        if (holders != null && holders.remove(backend) && holders.isEmpty()) {
            mByPrefix.remove(prefix);
        }
    }

    /** Returns the servers that are believed to have the prefix cached, in service or not. */
    public Set<BackendState> holders(String prefix) {
        return mByPrefix.getOrDefault(prefix, Set.of());
    }

    /** Returns true when the server is in service and belongs to the pool. */
    public boolean isInPool(BackendState backend, String pool) {
        return backend.mInService && backend.server().pool().equals(pool);
    }
}
