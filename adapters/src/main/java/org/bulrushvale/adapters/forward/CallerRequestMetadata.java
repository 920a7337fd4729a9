package org.bulrushvale.adapters.forward;

import java.time.Duration;
import java.util.List;

/**
 * Metadata of a caller's request, decoded once from the platform's headers.
 *
 * <p>Thread safety: immutable.
 *
 * @param id unique id of this attempt of the caller
 * @param deadline how long the caller waits for the response
 * @param apiKey API key; empty when absent
 * @param promptParts ids of the parts of the prompt in order; empty for plain requests
 * @param promptTokens number of tokens in the prompt
 * @param outputTokens maximum number of tokens in the answer
 * @param pieces number of pieces of each stage; empty when the request states none
 * @param pieceKey key of the pieces; empty when absent
 * @param resumeAfter id of the last event that the caller received; {@link #FROM_START} for none
 * @param resumes id of the caller's attempt that brought the first event of the stream; empty when
 *     the request takes no stream up, or the caller does not name it
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
        long resumeAfter,
        String resumes) {
    /** Value of {@code resumeAfter} when the caller has received no event. */
    public static final long FROM_START = -1;

    public CallerRequestMetadata {
        promptParts = List.copyOf(promptParts);
        pieces = List.copyOf(pieces);
    }

    /** Returns an affinity key, equal for requests with the same prompt prefix; empty for none. */
    public String affinity() {
        int prefixParts = promptParts.size() - 1;
        return prefixParts > 0 ? promptParts.get(prefixParts - 1) : String.join("", promptParts);
    }
}
