package org.bulrushvale.decision.orders;

import java.util.Optional;
import java.util.Set;
import org.bulrushvale.decision.config.BackendServer;
import org.bulrushvale.decision.config.PublishedConfig;

/**
 * Rule that derives the desired state of the engine on a backend server from the published
 * configuration alone.
 *
 * <p>Invariant: the same revision gives the same state on every entry. Thread safety:
 * implementations are stateless.
 */
@FunctionalInterface
public interface DesiredStateRule {
    /** Returns the desired state; empty when the server must get no orders. */
    Optional<EngineState> of(BackendServer server, PublishedConfig config);

    /** Returns the rule that sets the role of a server to its pool, and skips leaving servers. */
    static DesiredStateRule roleFromPool() {
        return (server, config) ->
                server.leaving()
                        ? Optional.empty()
                        : Optional.of(new EngineState(server.pool(), Set.of(), Set.of()));
    }
}
