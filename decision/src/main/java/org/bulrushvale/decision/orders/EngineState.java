package org.bulrushvale.decision.orders;

import java.util.Set;

/**
 * What an engine runs or should run.
 *
 * <p>Invariant: it specifies a state and not a change, so that applying it twice is harmless.
 * Thread safety: immutable.
 *
 * @param role role of the server, such as the stage kind that it serves
 * @param models loaded models with their versions, for example {@code ranker@3}
 * @param adapters loaded adapters with their versions
 */
public record EngineState(String role, Set<String> models, Set<String> adapters) {
    public EngineState {
        models = Set.copyOf(models);
        adapters = Set.copyOf(adapters);
    }

    /** Returns the number of weights that this state needs and the other one does not have. */
    int loadsBeyond(EngineState other) {
        long missing =
                models.stream().filter(model -> !other.models.contains(model)).count()
                        + adapters.stream()
                                .filter(adapter -> !other.adapters.contains(adapter))
                                .count();
        return (int) missing;
    }
}
