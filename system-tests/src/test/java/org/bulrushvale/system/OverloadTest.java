package org.bulrushvale.system;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;

/** Guards against overload that leads to late answers, errors without a code or wrong verdicts. */
public class OverloadTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int REQUESTS = 160;
    private static final int SLOTS = 64;
    private static final int QUEUE = 8;

    @Test
    public void requests_beyond_the_capacity_are_refused_as_not_run() throws Exception {
        // given: slots and a queue for fewer requests than arrive together. Only these two limit
        // the number of answers, since the deadline and the progress timeout are far longer than
        // the calls.
        try (SingleStageCluster cluster =
                new SingleStageCluster()
                        .server("s-1", "a", SLOTS, SLOTS, 0)
                        .start(
                                1,
                                30_000,
                                "progress_timeout_ms = 20000\n[caller]\nqueue_length = " + QUEUE)) {
            cluster.controlAll("{\"delay_ms\":800}");
            // when
            List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                answers.add(cluster.send(0, "ask", "input " + i));
            }
            // then
            int delivered = 0;
            int refused = 0;
            for (CompletableFuture<HttpResponse<String>> answer : answers) {
                JsonNode json = JSON.readTree(answer.get().body());
                boolean notRun = json.path("verdict").asText().equals("NOT_RUN");
                boolean overloaded = json.path("code").asText().equals("OVERLOADED");
                delivered += answer.get().statusCode() == 200 ? 1 : 0;
                refused += notRun && overloaded ? 1 : 0;
            }
            assertThat(delivered + refused).isEqualTo(REQUESTS);
            assertThat(delivered).isGreaterThanOrEqualTo(SLOTS + QUEUE);
            assertThat(refused).isPositive();
            assertThat(cluster.counterOf("s-1", "calls")).isEqualTo(delivered);
            assertThat(cluster.counterOf("s-1", "peak_load")).isLessThanOrEqualTo(SLOTS);
        }
    }
}
