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
 * The backend servers by name, and those that may receive new work by pool, with their load and
 * cached prefixes.
 *
 * <p>Invariant: {@link #pool} returns exactly the servers in service under the last configuration.
 * A server out of service keeps its counters; one that is no longer in the configuration keeps them
 * at least until its running requests have ended. Thread safety: single-writer, used by the event
 * loop only.
 */
public final class BackendTable {
    private final Map<String, BackendState> mBackends = new HashMap<>();
    private final Map<String, List<BackendState>> mPools = new HashMap<>();
    private final Map<String, Set<BackendState>> mHoldersByPrefix = new HashMap<>();

    /** Applies an accepted configuration. */
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
                            boolean isRemoved =
                                    config.backend(backend.server().name()).isEmpty()
                                            && backend.outstanding() == 0;
                            if (isRemoved) {
                                clearCachedPrefixes(backend);
                            }
                            return isRemoved;
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

    /** Applies a load report, measured at the given reading of the monotonic clock. */
    public void applyReport(ReportedLoad report, long measuredAtNanos) {
        BackendState backend = mBackends.get(report.server());
        if (backend != null && backend.applyReport(report, measuredAtNanos)) {
            // The cached prefixes were lost with the previous process.
            clearCachedPrefixes(backend);
            backend.mNextCacheSequence = -1;
        }
    }

    /** Records that an attempt was sent to the server. */
    public void recordStart(String server) {
        BackendState backend = mBackends.get(server);
        if (backend != null) {
            backend.recordStart();
        }
    }

    /** Records that an attempt on the server has ended. */
    public void recordEnd(String server) {
        BackendState backend = mBackends.get(server);
        if (backend != null) {
            backend.recordEnd();
        }
    }

    /**
     * Applies cache events of a server. Repeated events are skipped. After a gap in the sequence
     * all known prefixes are removed, because evictions may have been missed.
     */
    public void applyCacheEvents(String server, List<CacheEvent> events) {
        BackendState backend = mBackends.get(server);
        if (backend == null) {
            return;
        }
        for (CacheEvent event : events) {
            if (event.sequence() < backend.mNextCacheSequence) {
                continue;
            }
            if (event.sequence() > backend.mNextCacheSequence && backend.mNextCacheSequence >= 0) {
                clearCachedPrefixes(backend);
            }
            backend.mNextCacheSequence = event.sequence() + 1;
            if (event.added()) {
                mHoldersByPrefix
                        .computeIfAbsent(event.prefix(), p -> new LinkedHashSet<>())
                        .add(backend);
                removeHolder(backend, backend.addPrefix(event.prefix()));
            } else if (backend.mCachedPrefixes.remove(event.prefix())) {
                removeHolder(backend, event.prefix());
            }
        }
    }

    private void clearCachedPrefixes(BackendState backend) {
        backend.mCachedPrefixes.forEach(prefix -> removeHolder(backend, prefix));
        backend.mCachedPrefixes.clear();
    }

    private void removeHolder(BackendState backend, String prefix) {
        Set<BackendState> holders = mHoldersByPrefix.get(prefix);
        if (holders != null && holders.remove(backend) && holders.isEmpty()) {
            mHoldersByPrefix.remove(prefix);
        }
    }

    /**
     * Returns the servers that have the prefix cached according to their events, in service or not.
     */
    public Set<BackendState> holders(String prefix) {
        return mHoldersByPrefix.getOrDefault(prefix, Set.of());
    }

    /** Returns true when the server is in service and belongs to the pool. */
    public boolean isInPool(BackendState backend, String pool) {
        return backend.mInService && backend.server().pool().equals(pool);
    }
}
