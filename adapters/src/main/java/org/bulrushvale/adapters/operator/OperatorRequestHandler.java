package org.bulrushvale.adapters.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;

/**
 * Operations of the daemon that the operator listener calls.
 *
 * <p>Thread safety: all methods may be called from any thread and do not block.
 */
public interface OperatorRequestHandler {
    /**
     * Reports that operators can request; the name in lower case is part of the path.
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

    /**
     * Requests a report and passes it to {@code onReport}; returns false when the daemon is busy.
     */
    boolean report(Report report, Consumer<JsonNode> onReport);

    /** Starts a graceful shutdown; a second call has no effect. */
    void drain();
}
