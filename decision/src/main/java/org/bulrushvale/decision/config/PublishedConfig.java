package org.bulrushvale.decision.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * One accepted revision of the published configuration.
 *
 * <pre>{@code
 * PublishedConfig config = PublishedConfig.builder(7).addClass(seatBooking).build();
 * config.workClass("seat-booking").orElseThrow();
 * }</pre>
 *
 * <p>Invariant: names are unique per kind. References between values are checked by the parser.
 * Thread safety: immutable.
 */
public final class PublishedConfig {
    private final long mRevision;
    private final Map<String, WorkClass> mClasses;
    private final Map<String, Pipeline> mPipelines;
    private final Map<String, BackendServer> mBackends;
    private final Map<String, FailureDomain> mDomains;
    private final Map<String, Workspace> mWorkspaces;
    private final Map<String, List<BackendServer>> mPools;

    private PublishedConfig(Builder builder) {
        mRevision = builder.mRevision;
        mClasses = indexByName(builder.mClasses, WorkClass::name);
        mPipelines = indexByName(builder.mPipelines, Pipeline::name);
        mBackends = indexByName(builder.mBackends, BackendServer::name);
        mDomains = indexByName(builder.mDomains, FailureDomain::name);
        mWorkspaces = indexByName(builder.mWorkspaces, Workspace::name);
        mPools = groupByPool(builder.mBackends);
    }

    private static <T> Map<String, T> indexByName(List<T> items, Function<T, String> name) {
        Map<String, T> map = new LinkedHashMap<>();
        for (T item : items) {
            if (map.put(name.apply(item), item) != null) {
                throw new IllegalArgumentException("duplicate name: " + name.apply(item));
            }
        }
        return Map.copyOf(map);
    }

    private static Map<String, List<BackendServer>> groupByPool(List<BackendServer> backends) {
        Map<String, List<BackendServer>> pools = new LinkedHashMap<>();
        for (BackendServer backend : backends) {
            pools.computeIfAbsent(backend.pool(), pool -> new ArrayList<>()).add(backend);
        }
        pools.replaceAll((pool, servers) -> List.copyOf(servers));
        return Map.copyOf(pools);
    }

    /** Returns an empty builder for the given revision. */
    public static Builder builder(long revision) {
        return new Builder(revision);
    }

    /** Returns the revision; a higher one replaces a lower one, never the other way round. */
    public long revision() {
        return mRevision;
    }

    /** Returns the class of work of that name. */
    public Optional<WorkClass> workClass(String name) {
        return Optional.ofNullable(mClasses.get(name));
    }

    /** Returns the pipeline of that name. */
    public Optional<Pipeline> pipeline(String name) {
        return Optional.ofNullable(mPipelines.get(name));
    }

    /** Returns the backend server of that name. */
    public Optional<BackendServer> backend(String name) {
        return Optional.ofNullable(mBackends.get(name));
    }

    /** Returns the failure domain of that name. */
    public Optional<FailureDomain> domain(String name) {
        return Optional.ofNullable(mDomains.get(name));
    }

    /** Returns the workspace of that name. */
    public Optional<Workspace> workspace(String name) {
        return Optional.ofNullable(mWorkspaces.get(name));
    }

    /** Returns the backend servers of a pool, empty when there is none. */
    public List<BackendServer> pool(String name) {
        return mPools.getOrDefault(name, List.of());
    }

    /** Returns all classes of work. */
    public Collection<WorkClass> classes() {
        return mClasses.values();
    }

    /** Returns all pipelines. */
    public Collection<Pipeline> pipelines() {
        return mPipelines.values();
    }

    /** Returns all backend servers. */
    public Collection<BackendServer> backends() {
        return mBackends.values();
    }

    /** Returns all failure domains. */
    public Collection<FailureDomain> domains() {
        return mDomains.values();
    }

    /** Returns all workspaces. */
    public Collection<Workspace> workspaces() {
        return mWorkspaces.values();
    }

    /** Returns true when the server may receive new work under this revision. */
    public boolean isInService(BackendServer backend) {
        FailureDomain domain = mDomains.get(backend.failureDomain());
        return !backend.leaving() && domain != null && domain.inService();
    }

    /**
     * Collects the values of one revision.
     *
     * <p>Thread safety: not safe; used by one thread.
     */
    public static final class Builder {
        private final long mRevision;
        private final List<WorkClass> mClasses = new ArrayList<>();
        private final List<Pipeline> mPipelines = new ArrayList<>();
        private final List<BackendServer> mBackends = new ArrayList<>();
        private final List<FailureDomain> mDomains = new ArrayList<>();
        private final List<Workspace> mWorkspaces = new ArrayList<>();

        private Builder(long revision) {
            mRevision = revision;
        }

        /** Adds a class of work. */
        public Builder addClass(WorkClass workClass) {
            mClasses.add(workClass);
            return this;
        }

        /** Adds a pipeline. */
        public Builder addPipeline(Pipeline pipeline) {
            mPipelines.add(pipeline);
            return this;
        }

        /** Adds a backend server. */
        public Builder addBackend(BackendServer backend) {
            mBackends.add(backend);
            return this;
        }

        /** Adds a failure domain. */
        public Builder addDomain(FailureDomain domain) {
            mDomains.add(domain);
            return this;
        }

        /** Adds a workspace. */
        public Builder addWorkspace(Workspace workspace) {
            mWorkspaces.add(workspace);
            return this;
        }

        /**
         * Returns the configuration; throws {@link IllegalArgumentException} on a duplicate name.
         */
        public PublishedConfig build() {
            return new PublishedConfig(this);
        }
    }
}
