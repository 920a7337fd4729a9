package org.bulrushvale.decision.orders;

import java.util.Optional;
import java.util.Set;
import org.bulrushvale.decision.config.BackendServer;
import org.bulrushvale.decision.config.PublishedConfig;

/**
 * Derives the state of a backend server from the published configuration alone.
 *
 * <p>Invariant: the same revision gives the same state on every entry. Thread safety:
 * implementations are stateless.
 */
@FunctionalInterface
public interface DesiredStates {
    /** Returns the desired state; empty when the server is to be left alone. */
    Optional<EngineState> of(BackendServer server, PublishedConfig config);

    /** Returns the rule that the role of a server is its pool, for servers that stay. */
    static DesiredStates roleIsPool() {
        return (server, config) ->
                server.leaving()
                        ? Optional.empty()
                        : Optional.of(new EngineState(server.pool(), Set.of(), Set.of()));
    }
}
