package org.bulrushvale.decision.forward;

import java.time.Duration;
import java.util.Optional;

/**
 * The published settings of one service.
 *
 * <p>Thread safety: immutable.
 *
 * @param maxConnections maximum number of connections that one backend server accepts from all
 *     callers
 * @param coldRequestsPerSecond requests per second that a cold backend server can take from all
 *     entries together; 0 for no limit
 * @param pieces limits of a stage service; empty for any other service
 * @param engine limits of a model service; empty for any other service
 */
public record ServiceSpec(
        String name,
        int maxConnections,
        double coldRequestsPerSecond,
        Optional<PieceLimits> pieces,
        Optional<EngineLimits> engine) {
    /**
     * The limits of one backend server of a model service.
     *
     * <p>Thread safety: immutable.
     *
     * @param slots maximum number of concurrent requests
     * @param memoryTokens tokens that running requests and cached prompt parts may occupy together
     */
    public record EngineLimits(int slots, long memoryTokens) {}

    /**
     * The limits and expected times of one backend server of a stage service.
     *
     * <p>Thread safety: immutable.
     *
     * @param slots maximum number of concurrent calls
     * @param maxBatch maximum number of pieces in one call
     * @param baseCallTime time of a call without its pieces
     * @param pieceTime approximate time that each piece adds to a call
     * @param resultMemoryBytes memory for results
     */
    public record PieceLimits(
            int slots,
            int maxBatch,
            Duration baseCallTime,
            Duration pieceTime,
            long resultMemoryBytes) {
        /** Returns the approximate time of a call with the given number of pieces. */
        public Duration callTime(int pieces) {
            return baseCallTime.plus(pieceTime.multipliedBy(pieces));
        }

        /** Returns the approximate time of a call whose batch is half full. */
        public Duration typicalCallTime() {
            return callTime((maxBatch + 1) / 2);
        }
    }
}
