package org.bulrushvale.decision.config;

import java.util.List;

/**
 * Outcome of parsing the values of one revision.
 *
 * <p>Thread safety: immutable.
 */
public sealed interface ParseResult {
    /**
     * The values are valid.
     *
     * <p>Thread safety: immutable.
     *
     * @param config the configuration
     */
    record Valid(PublishedConfig config) implements ParseResult {}

    /**
     * The values are refused as a whole.
     *
     * <p>Invariant: at least one fault. Thread safety: immutable.
     *
     * @param faults every fault found
     */
    record Invalid(List<ConfigFault> faults) implements ParseResult {
        public Invalid {
            faults = List.copyOf(faults);
        }
    }
}
