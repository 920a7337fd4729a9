package org.bulrushvale.system;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpResponse;
import org.bulrushvale.decision.attainment.AttainmentOutcome;
import org.bulrushvale.decision.attainment.AttainmentSnapshot;
import org.bulrushvale.standin.stage.StageOutput;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Guards against results of a pipeline of four stages that belong to another request, are
 * incomplete or are in the wrong order.
 */
public class StagePipelineTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int TOKENS = 20;
    // Only model runners honour max_tokens; the other stand-ins return this number of tokens.
    private static final int DEFAULT_TOKENS = 16;

    private SingleEntryFixture mFixture;

    @BeforeClass
    public void start() throws Exception {
        mFixture = SingleEntryFixture.start();
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        mFixture.close();
    }

    @Test
    public void the_answer_is_the_output_of_all_four_stages_in_order() throws Exception {
        // when
        HttpResponse<String> response =
                mFixture.post(
                        mFixture.request("/v1/requests"),
                        SingleEntryFixture.requestBody("granite", "letter", "Dear Ada"));
        // then
        assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
        JsonNode answer = JSON.readTree(response.body());
        String id = answer.path("request_id").asText();
        assertThat(answer.path("verdict").asText()).isEqualTo("RAN");
        assertThat(answer.path("output").asText()).isEqualTo(expectedOutput(id, "Dear Ada"));
        assertThat(answer.path("stages")).hasSize(4);
        assertThat(answer.path("stages").get(3).path("stage").asText()).isEqualTo("generate");
        assertThat(answer.path("stages").get(0).path("elapsed_ms").asDouble()).isPositive();
    }

    @Test
    public void a_stream_carries_every_token_once_and_ends_with_the_verdict() throws Exception {
        // when
        HttpResponse<String> response =
                mFixture.post(
                        mFixture.request("/v1/requests").header("Accept", "text/event-stream"),
                        SingleEntryFixture.requestBody("granite", "letter", "Dear Bob"));
        // then
        assertThat(response.headers().firstValue("Content-Type")).hasValue("text/event-stream");
        StringBuilder text = new StringBuilder();
        JsonNode endEvent = null;
        for (String event : response.body().split("\n\n")) {
            String[] lines = event.split("\n");
            JsonNode data = JSON.readTree(lines[1].substring("data: ".length()));
            if (lines[0].equals("event: token")) {
                text.append(data.path("text").asText());
            } else {
                endEvent = data;
            }
        }
        assertThat(endEvent).isNotNull();
        assertThat(endEvent.path("verdict").asText()).isEqualTo("RAN");
        assertThat(text.toString())
                .isEqualTo(expectedOutput(endEvent.path("request_id").asText(), "Dear Bob"));
    }

    @Test
    public void listeners_report_liveness_readiness_metrics_and_status() throws Exception {
        assertThat(mFixture.get("caller", "/livez").statusCode()).isEqualTo(200);
        assertThat(mFixture.get("caller", "/readyz").statusCode()).isEqualTo(200);
        mFixture.post(
                mFixture.request("/v1/requests"),
                SingleEntryFixture.requestBody("granite", "letter", "Dear Cy"));
        assertThat(mFixture.get("caller", "/metrics").body())
                .contains("bulrushvale_requests_seconds_count{class=\"letter\"");
        AttainmentSnapshot burn =
                AttainmentSnapshot.fromJson(mFixture.get("operator", "/v1/burn").body());
        assertThat(burn.rows().get(0).counts().get(AttainmentOutcome.MET)).isPositive();
        JsonNode status = JSON.readTree(mFixture.get("operator", "/v1/status").body());
        assertThat(status.path("ready").asBoolean()).isTrue();
        assertThat(mFixture.get("operator", "/v1/backends").body()).contains("gen-1");
    }

    private static String expectedOutput(String requestId, String input) {
        String text = input;
        for (String stage : new String[] {"encode", "retrieve", "rerank"}) {
            text = StageOutput.of(requestId, stage, text).text(0, DEFAULT_TOKENS);
        }
        return StageOutput.of(requestId, "generate", text).text(0, TOKENS);
    }
}
