package org.bulrushvale.decision.routing;

import java.util.Set;

/**
 * What a stage needs from the choice of its server.
 *
 * <p>Thread safety: immutable.
 *
 * @param pool pool of the stage
 * @param failureDomain failure domain of this entry
 * @param prefix prompt prefix, empty when there is none
 * @param excluded servers that must not be chosen: already tried, or running a suspect
 */
public record RoutingRequest(
        String pool, String failureDomain, String prefix, Set<String> excluded) {
    public RoutingRequest {
        excluded = Set.copyOf(excluded);
    }
}
