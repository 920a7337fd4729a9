package org.bulrushvale.standin.stage;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The body of a stage call.
 *
 * <p>Invariant: attempt id, request id and input are present. Thread safety: immutable.
 *
 * @param stage stage name from the path
 * @param attemptId id of the attempt, repeated in every answer and stream event
 * @param requestId request that the attempt belongs to
 * @param workspace workspace of the request, empty when absent
 * @param input input text; a JSON value other than a string is serialized
 * @param maxTokens largest number of tokens in the answer, 0 when absent
 * @param resumeFrom index of the first token to send when a stream is resumed
 * @param priority calls with a higher priority leave the queue first
 * @param prefix prompt prefix for the cache, empty when absent
 * @param stream true when the answer is sent as an event stream
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

    /** Parses a body; throws {@link IllegalArgumentException} when a required field is missing. */
    public static StageCall parse(String stage, JsonNode body) {
        JsonNode input = body.get("input");
        if (input == null || input.isNull()) {
            throw new IllegalArgumentException("required field is missing: input");
        }
        return new StageCall(
                stage,
                requiredText(body, "attempt_id"),
                requiredText(body, "request_id"),
                body.path("workspace").asText(""),
                input.isTextual() ? input.textValue() : input.toString(),
                body.path("max_tokens").asInt(0),
                Math.max(0, body.path("resume_from").asInt(0)),
                body.path("priority").asInt(0),
                body.path("prefix").asText(""),
                body.path("stream").asBoolean(false));
    }

    private static String requiredText(JsonNode body, String field) {
        String value = body.path(field).asText("");
        if (value.isEmpty()) {
            throw new IllegalArgumentException("required field is missing: " + field);
        }
        return value;
    }
}
