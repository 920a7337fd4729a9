package org.bulrushvale.decision.forward;

import java.time.Duration;
import java.util.Optional;

/**
 * One published service.
 *
 * <p>Thread safety: immutable.
 *
 * @param maxConnections most connections that one backend server accepts from all callers
 * @param coldRequestsPerSecond requests a second that a cold backend server bears; 0 for no limit
 * @param pieces limits of a stage service
 */
public record ServiceSpec(
        String name,
        int maxConnections,
        double coldRequestsPerSecond,
        Optional<PieceLimits> pieces) {
    /**
     * What one backend server of a stage service bears.
     *
     * <p>Thread safety: immutable.
     *
     * @param slots calls in progress at the same time
     * @param batch most pieces of one call
     * @param callTime time of a call without its pieces
     * @param pieceTime approximate time of one piece
     * @param roomBytes memory for results
     */
    public record PieceLimits(
            int slots, int batch, Duration callTime, Duration pieceTime, long roomBytes) {
        /** Returns the approximate time of a call with so many pieces. */
        public Duration callTime(int pieces) {
            return callTime.plus(pieceTime.multipliedBy(pieces));
        }

        /** Returns the approximate time of a call with a half full batch. */
        public Duration typicalCallTime() {
            return callTime((batch + 1) / 2);
        }
    }
}
