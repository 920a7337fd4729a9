package org.bulrushvale.adapters.forward;

import java.time.Duration;
import java.util.List;

/**
 * What a caller states about its request, decoded once from the platform's headers.
 *
 * <p>Thread safety: immutable.
 *
 * @param id id of this attempt of the caller; no other attempt has it
 * @param deadline time that the caller waits
 * @param apiKey API key; empty when absent
 * @param promptParts ids of the parts of the prompt in order; empty for plain requests
 * @param promptTokens tokens of the prompt
 * @param outputTokens most tokens of the answer
 * @param pieces number of pieces of each stage; empty when the request states none
 * @param pieceKey key of the pieces; empty when absent
 * @param resumeAfter id of the last event that the caller has; {@link #FROM_START} for none
 */
public record CallerRequestMetadata(
        String id,
        Duration deadline,
        String apiKey,
        List<String> promptParts,
        int promptTokens,
        int outputTokens,
        List<Integer> pieces,
        String pieceKey,
        long resumeAfter) {
    /** The caller has no event yet. */
    public static final long FROM_START = -1;

    public CallerRequestMetadata {
        promptParts = List.copyOf(promptParts);
        pieces = List.copyOf(pieces);
    }

    /** Returns the text that requests with a common prompt prefix share; empty for none. */
    public String affinity() {
        int shared = promptParts.size() - 1;
        return shared > 0 ? promptParts.get(shared - 1) : String.join("", promptParts);
    }
}
