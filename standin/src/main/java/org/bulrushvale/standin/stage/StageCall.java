package org.bulrushvale.standin.stage;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The body of a stage call.
 *
 * <p>Invariant: attempt id, request id and input are present. Thread safety: immutable.
 *
 * @param stage stage name from the path
 * @param attemptId id that every part of the answer repeats
 * @param requestId request that the attempt belongs to
 * @param workspace workspace of the request, empty when absent
 * @param input input text; other JSON is taken in its written form
 * @param maxTokens largest number of tokens, 0 when absent
 * @param resumeFrom offset of the first wanted part of a stream
 * @param priority higher runs first
 * @param prefix prompt prefix for the cache, empty when absent
 * @param stream true for an event stream
 */
public record StageCall(
        String stage,
        String attemptId,
        String requestId,
        String workspace,
        String input,
        int maxTokens,
        int resumeFrom,
        int priority,
        String prefix,
        boolean stream) {

    /** Reads a call; throws {@link IllegalArgumentException} when a required field is missing. */
    public static StageCall parse(String stage, JsonNode body) {
        JsonNode input = body.get("input");
        if (input == null || input.isNull()) {
            throw new IllegalArgumentException("missing: input");
        }
        return new StageCall(
                stage,
                required(body, "attempt_id"),
                required(body, "request_id"),
                body.path("workspace").asText(""),
                input.isTextual() ? input.textValue() : input.toString(),
                body.path("max_tokens").asInt(0),
                Math.max(0, body.path("resume_from").asInt(0)),
                body.path("priority").asInt(0),
                body.path("prefix").asText(""),
                body.path("stream").asBoolean(false));
    }

    private static String required(JsonNode body, String field) {
        String value = body.path(field).asText("");
        if (value.isEmpty()) {
            throw new IllegalArgumentException("missing: " + field);
        }
        return value;
    }
}
