package org.bulrushvale.system;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.testng.annotations.Test;

/** Guards against overload that is answered late, without a type, or with a wrong verdict. */
public class OverloadTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int REQUESTS = 160;

    @Test
    public void requests_beyond_the_capacity_are_refused_as_not_run() throws Exception {
        ExecutorService callers = Executors.newFixedThreadPool(REQUESTS);
        try (Fleet fleet = Fleet.start("[caller]\nqueue_length = 8")) {
            // given: 64 slots and a queue of 8, fewer than the requests that arrive together
            fleet.encoder().control("{\"delay_ms\":400}");
            // when
            List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                String input = "input " + i;
                answers.add(CompletableFuture.supplyAsync(() -> send(fleet, input), callers));
            }
            // then
            int delivered = 0;
            int notRun = 0;
            for (CompletableFuture<HttpResponse<String>> answer : answers) {
                JsonNode json = JSON.readTree(answer.get().body());
                delivered += answer.get().statusCode() == 200 ? 1 : 0;
                notRun += json.path("verdict").asText().equals("NOT_RUN") ? 1 : 0;
            }
            JsonNode stats = fleet.encoder().stats();
            assertThat(delivered).isPositive();
            assertThat(notRun).isPositive();
            assertThat(stats.path("calls").asInt()).isEqualTo(REQUESTS - notRun);
            assertThat(stats.path("peak_load").asInt()).isLessThanOrEqualTo(64);
        } finally {
            callers.shutdownNow();
        }
    }

    private static HttpResponse<String> send(Fleet fleet, String input) {
        try {
            return fleet.post(
                    fleet.request("/v1/requests"), Fleet.body("granite", "letter", input));
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
