package org.bulrushvale.adapters.caller;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;

/**
 * A complete answer; its verdict is {@code RAN}.
 *
 * <p>Thread safety: immutable.
 *
 * @param requestId request id
 * @param output whole output
 * @param tokens number of tokens
 * @param stages cost of each stage
 */
public record CallerAnswer(String requestId, String output, long tokens, List<StageCost> stages) {
    public CallerAnswer {
        stages = List.copyOf(stages);
    }

    /**
     * Cost of one stage.
     *
     * <p>Thread safety: immutable.
     */
    public record StageCost(String stage, int attempts, Duration elapsed, long tokens) {}

    ObjectNode json(boolean withOutput) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("request_id", requestId);
        json.put("verdict", "RAN");
        if (withOutput) {
            json.put("output", output);
        }
        json.put("tokens", tokens);
        ArrayNode list = json.putArray("stages");
        for (StageCost stage : stages) {
            ObjectNode item = list.addObject();
            item.put("stage", stage.stage());
            item.put("attempts", stage.attempts());
            item.put("elapsed_ms", stage.elapsed().toNanos() / 1_000 / 1_000.0);
            item.put("tokens", stage.tokens());
        }
        return json;
    }
}
