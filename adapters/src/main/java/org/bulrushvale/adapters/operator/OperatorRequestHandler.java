package org.bulrushvale.adapters.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;

/**
 * What the operator listener needs from the daemon.
 *
 * <p>Thread safety: all methods may be called from any thread and do not block.
 */
public interface OperatorRequestHandler {
    /**
     * Reports of the operator listener.
     *
     * <p>Thread safety: immutable.
     */
    enum Report {
        STATUS,
        CLASSES,
        BACKENDS,
        CONFIG,
        PEERS,
        BURN
    }

    /** Passes on a report; false when the daemon is too busy. */
    boolean report(Report report, Consumer<JsonNode> onReport);

    /** Starts a graceful shutdown; a second call has no effect. */
    void drain();
}
