package org.bulrushvale.decision.request;

import java.util.HexFormat;
import java.util.Locale;
import java.util.Optional;
import org.bulrushvale.kernel.id.RequestId;

/**
 * Identifies one attempt of one stage of one request.
 *
 * <p>Invariant: the random nonce makes ids of different processes distinct even when a request id
 * is reused, so a response that echoes another id is recognised as foreign. Thread safety:
 * immutable.
 *
 * @param request the request
 * @param stage index of the stage in the pipeline, from 0
 * @param attempt number of the attempt within the stage, from 1
 * @param nonce random bits drawn for this attempt
 */
public record AttemptId(RequestId request, int stage, int attempt, long nonce) {
    private static final int PARTS = 4;

    /** Parses the text that {@link #toString()} writes; empty when it is not well-formed. */
    public static Optional<AttemptId> parse(String text) {
        String[] parts = text.split("-", -1);
        if (parts.length != PARTS) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new AttemptId(
                            RequestId.parse(parts[0]),
                            Integer.parseInt(parts[1]),
                            Integer.parseInt(parts[2]),
                            HexFormat.fromHexDigitsToLong(parts[3])));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%s-%d-%d-%016x", request, stage, attempt, nonce);
    }
}
