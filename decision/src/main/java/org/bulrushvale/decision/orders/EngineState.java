package org.bulrushvale.decision.orders;

import java.util.Set;

/**
 * State that an engine has or must reach. An engine is the process that runs models on a backend
 * server.
 *
 * <p>Invariant: it is a complete state, not a change, so applying it twice has no further effect.
 * Thread safety: immutable.
 *
 * @param role role of the server, such as the kind of stage that it serves
 * @param models loaded models with their versions, for example {@code ranker@3}
 * @param adapters loaded adapters with their versions
 */
public record EngineState(String role, Set<String> models, Set<String> adapters) {
    public EngineState {
        models = Set.copyOf(models);
        adapters = Set.copyOf(adapters);
    }

    /** Returns the number of models and adapters of this state that the other state lacks. */
    int countMissingFrom(EngineState other) {
        long missing =
                models.stream().filter(model -> !other.models.contains(model)).count()
                        + adapters.stream()
                                .filter(adapter -> !other.adapters.contains(adapter))
                                .count();
        return (int) missing;
    }
}
