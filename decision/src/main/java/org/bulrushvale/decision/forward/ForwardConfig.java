package org.bulrushvale.decision.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One published version of the routes, services and workspaces.
 *
 * <p>Invariant: whether callers need an API key never depends on how many keys are valid; a
 * configuration in which the last key was revoked admits nobody. Thread safety: immutable.
 */
public final class ForwardConfig {
    private final long mVersion;
    private final Map<String, List<Route>> mRoutesByHost = new HashMap<>();
    private final Map<String, ServiceSpec> mServices = new HashMap<>();
    private final boolean mKeysRequired;
    private final Map<String, Workspace> mWorkspacesByKey;

    private ForwardConfig(
            long version,
            List<Route> routes,
            List<ServiceSpec> services,
            boolean keysRequired,
            Map<String, Workspace> workspacesByKey) {
        mVersion = version;
        mKeysRequired = keysRequired;
        for (Route route : routes) {
            mRoutesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
        }
        Comparator<Route> longestPrefixFirst =
                Comparator.comparingInt((Route route) -> route.prefix().length()).reversed();
        mRoutesByHost.values().forEach(list -> list.sort(longestPrefixFirst));
        services.forEach(service -> mServices.put(service.name(), service));
        mWorkspacesByKey = Map.copyOf(workspacesByKey);
    }

    /**
     * Creates a configuration whose callers need an API key.
     *
     * @param workspacesByKey the valid keys; none admits nobody
     */
    public static ForwardConfig withKeys(
            long version,
            List<Route> routes,
            List<ServiceSpec> services,
            Map<String, Workspace> workspacesByKey) {
        return new ForwardConfig(version, routes, services, true, workspacesByKey);
    }

    /** Creates a configuration without workspaces, whose callers need no API key. */
    public static ForwardConfig withoutKeys(
            long version, List<Route> routes, List<ServiceSpec> services) {
        return new ForwardConfig(version, routes, services, false, Map.of());
    }

    /** Returns the version; versions only increase. */
    public long version() {
        return mVersion;
    }

    /** Returns the route of the host with the longest prefix that matches the path. */
    public Optional<Route> route(String host, String path) {
        for (Route route : mRoutesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.prefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Returns a service by name. */
    public Optional<ServiceSpec> service(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /** Returns the names of the stage services. */
    public List<String> stageServices() {
        return mServices.values().stream()
                .filter(service -> service.pieces().isPresent())
                .map(ServiceSpec::name)
                .toList();
    }

    /** Returns the workspace that an API key belongs to; none for an empty key. */
    public Optional<Workspace> workspace(String apiKey) {
        return apiKey.isEmpty()
                ? Optional.empty()
                : Optional.ofNullable(mWorkspacesByKey.get(apiKey));
    }

    /** Returns true when a request of the route needs the API key of a workspace. */
    public boolean requiresKey(Route route) {
        return mKeysRequired && !route.allowsAnonymous();
    }

    /**
     * A workspace, found by one of its API keys.
     *
     * <p>Thread safety: immutable.
     *
     * @param priority priority of its requests, which overrides that of the route; 0 is the most
     *     important
     */
    public record Workspace(String name, Optional<Integer> priority) {}
}
