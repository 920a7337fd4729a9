package org.bulrushvale.adapters.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Complete response to a request; its verdict is {@code RAN}.
 *
 * <p>Thread safety: immutable.
 *
 * @param requestId request id
 * @param output complete output text
 * @param tokens number of generated tokens
 * @param stages cost of each stage
 */
public record CallerResponse(String requestId, String output, long tokens, List<StageCost> stages) {
    private static final ObjectMapper JSON = new ObjectMapper();

    public CallerResponse {
        stages = List.copyOf(stages);
    }

    /**
     * Cost of one stage.
     *
     * <p>Thread safety: immutable.
     */
    public record StageCost(String stage, int attempts, Duration elapsed, long tokens) {}

    /** Returns the response as JSON text, which is stored to replay the response later. */
    public String toJson() {
        return json(true).toString();
    }

    /** Parses the JSON text that {@link #toJson} returned. */
    public static CallerResponse parse(String text) {
        JsonNode json;
        try {
            json = JSON.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("text is not a recorded response in JSON", e);
        }
        List<StageCost> stages = new ArrayList<>();
        for (JsonNode stage : json.path("stages")) {
            double elapsedMicros = stage.path("elapsed_ms").asDouble() * 1_000;
            stages.add(
                    new StageCost(
                            stage.path("stage").asText(),
                            stage.path("attempts").asInt(),
                            Duration.ofNanos(Math.round(elapsedMicros) * 1_000),
                            stage.path("tokens").asLong()));
        }
        return new CallerResponse(
                json.path("request_id").asText(),
                json.path("output").asText(),
                json.path("tokens").asLong(),
                stages);
    }

    ObjectNode json(boolean withOutput) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("request_id", requestId);
        json.put("verdict", "RAN");
        if (withOutput) {
            json.put("output", output);
        }
        json.put("tokens", tokens);
        ArrayNode stageList = json.putArray("stages");
        for (StageCost stage : stages) {
            ObjectNode item = stageList.addObject();
            item.put("stage", stage.stage());
            item.put("attempts", stage.attempts());
            item.put("elapsed_ms", stage.elapsed().toNanos() / 1_000 / 1_000.0);
            item.put("tokens", stage.tokens());
        }
        return json;
    }
}
