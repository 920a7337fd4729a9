package org.bulrushvale.decision.routing;

import java.util.Set;

/**
 * The requirements of a stage on its backend server.
 *
 * <p>Thread safety: immutable.
 *
 * @param pool pool of the stage
 * @param failureDomain failure domain of this entry; servers in it are preferred
 * @param prefix identifier of the prompt prefix, empty when there is none
 * @param excluded names of servers that must not be chosen, because they were already tried or run
 *     a request that is suspected of crashing servers
 */
public record RoutingRequest(
        String pool, String failureDomain, String prefix, Set<String> excluded) {
    public RoutingRequest {
        excluded = Set.copyOf(excluded);
    }
}
