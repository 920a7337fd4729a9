package org.bulrushvale.decision.config;

import java.util.List;

/**
 * A pipeline: the stages that run one after another for a request.
 *
 * <p>Invariant: at least one stage; only the last may stream. Thread safety: immutable.
 *
 * @param name unique name
 * @param stages stages in the order in which they run
 */
public record Pipeline(String name, List<Stage> stages) {
    public Pipeline {
        stages = List.copyOf(stages);
    }
}
