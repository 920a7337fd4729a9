package org.bulrushvale.adapters.backend;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;

/**
 * Request for one attempt of one stage, as it is sent to a backend server.
 *
 * <p>Invariant: {@code attemptId} is unique in the fleet. Thread safety: immutable.
 *
 * @param stage stage name
 * @param attemptId id that the engine repeats in its response
 * @param requestId request that the attempt belongs to
 * @param workspace workspace of the request
 * @param input input of the stage
 * @param maxTokens maximum number of tokens to generate; 0 leaves the limit to the engine
 * @param resumeFrom text offset from which a stream continues
 * @param stream true to request an event stream
 * @param progressTimeout longest time to wait for the next byte from the server
 */
public record StageAttemptRequest(
        String stage,
        String attemptId,
        String requestId,
        String workspace,
        String input,
        int maxTokens,
        long resumeFrom,
        boolean stream,
        Duration progressTimeout) {
    ObjectNode body() {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("attempt_id", attemptId);
        body.put("request_id", requestId);
        body.put("workspace", workspace);
        body.put("input", input);
        if (maxTokens > 0) {
            body.put("max_tokens", maxTokens);
        }
        body.put("resume_from", resumeFrom);
        body.put("priority", 0);
        body.put("prefix", "");
        body.put("stream", stream);
        return body;
    }
}
