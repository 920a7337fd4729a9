package org.bulrushvale.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.standin.http.Json;
import org.bulrushvale.standin.model.ModelRunner;
import org.bulrushvale.standin.stage.StageOutput;
import org.testng.annotations.Test;

/**
 * Guards against a simulated model runner whose answers or faults differ from the protocol of real
 * backend servers.
 */
public class ModelRunnerTest {
    private static final StageOutput EXPECTED_OUTPUT = StageOutput.of("r1", "generate", "in");

    private static ModelRunner runner() throws Exception {
        return ModelRunner.builder()
                .options(o -> o.baseTime(Duration.ofMillis(5)).tokenTime(Duration.ofMillis(1)))
                .start();
    }

    private static List<JsonNode> events(HttpResponse<String> response) {
        List<JsonNode> events = new ArrayList<>();
        response.body()
                .lines()
                .filter(line -> line.startsWith("data: "))
                .forEach(
                        line ->
                                events.add(
                                        Json.parse(
                                                line.substring(6)
                                                        .getBytes(StandardCharsets.UTF_8))));
        return events;
    }

    /** Guards against an answer that is not computed from request id, stage and input. */
    @Test
    public void complete_answer_equals_the_output_computed_from_the_call() throws Exception {
        try (ModelRunner runner = runner()) {
            StandinClient client = new StandinClient(runner.port());
            JsonNode answer =
                    Json.parse(
                            client.callStage("generate", "a1", ",\"max_tokens\":12")
                                    .get(10, TimeUnit.SECONDS)
                                    .body()
                                    .getBytes(StandardCharsets.UTF_8));
            assertThat(answer.path("attempt_id").asText()).isEqualTo("a1");
            assertThat(answer.path("complete").asBoolean()).isTrue();
            assertThat(answer.path("output").asText()).isEqualTo(EXPECTED_OUTPUT.text(0, 12));
            assertThat(StageOutput.of("r2", "generate", "in").text(0, 12))
                    .isNotEqualTo(EXPECTED_OUTPUT.text(0, 12));
        }
    }

    /** Guards against a resumed stream that repeats or skips tokens, or lacks its end. */
    @Test
    public void resumed_stream_continues_at_the_offset_and_ends() throws Exception {
        try (ModelRunner runner = runner()) {
            StandinClient client = new StandinClient(runner.port());
            HttpResponse<String> response =
                    client.callStage(
                                    "generate",
                                    "a1",
                                    ",\"max_tokens\":9,\"resume_from\":4,\"stream\":true")
                            .get(10, TimeUnit.SECONDS);
            List<JsonNode> events = events(response);
            assertThat(events).hasSize(6);
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < 5; i++) {
                assertThat(events.get(i).path("offset").asInt()).isEqualTo(4 + i);
                text.append(events.get(i).path("text").asText());
            }
            assertThat(text.toString()).isEqualTo(EXPECTED_OUTPUT.text(4, 9));
            assertThat(response.body()).contains("event: end\n");
            assertThat(events.get(5).path("tokens").asInt()).isEqualTo(9);
        }
    }

    /** Guards against a truncation fault that still delivers a complete answer. */
    @Test
    public void truncated_stream_has_no_end_event_and_cut_answer_fails() throws Exception {
        try (ModelRunner runner = runner()) {
            runner.control("{\"truncate\":\"clean\"}");
            StandinClient client = new StandinClient(runner.port());
            HttpResponse<String> response =
                    client.callStage("generate", "a1", ",\"stream\":true")
                            .get(10, TimeUnit.SECONDS);
            assertThat(response.body()).contains("data: ").doesNotContain("event: end");
            runner.control("{\"truncate\":\"cut\"}");
            assertThatThrownBy(
                            () -> client.callStage("generate", "a2", "").get(10, TimeUnit.SECONDS))
                    .hasRootCauseInstanceOf(IOException.class);
        }
    }

    /** Guards against a cold server that survives a load above {@code bearable}. */
    @Test
    public void cold_server_crashes_above_bearable_and_restarts_with_new_epoch() throws Exception {
        try (ModelRunner runner =
                ModelRunner.builder()
                        .options(
                                o ->
                                        o.bearable(1)
                                                .coldCompletions(2)
                                                .baseTime(Duration.ofSeconds(5)))
                        .start()) {
            runner.control("{\"restart_ms\":50}");
            StandinClient client = new StandinClient(runner.port());
            JsonNode before = client.fetchJson("/v1/load");
            assertThat(before.path("state").asText()).isEqualTo("cold");
            CompletableFuture<?> first = client.callStage("generate", "a1", "");
            CompletableFuture<?> second = client.callStage("generate", "a2", "");
            assertThatThrownBy(() -> first.get(10, TimeUnit.SECONDS)).isNotNull();
            assertThatThrownBy(() -> second.get(10, TimeUnit.SECONDS)).isNotNull();
            assertThat(runner.stats().path("bearable_violations").asInt()).isEqualTo(1);
            assertThat(runner.stats().path("peak_load_cold").asInt()).isEqualTo(2);
            JsonNode after = loadAfterRestart(client);
            assertThat(after.path("epoch").asLong()).isGreaterThan(before.path("epoch").asLong());
        }
    }

    private static JsonNode loadAfterRestart(StandinClient client) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (true) {
            try {
                return client.fetchJson("/v1/load");
            } catch (IOException expected) {
                assertThat(System.nanoTime()).isLessThan(end);
            }
        }
    }

    /** Guards against a server that stays cold after the required number of completed calls. */
    @Test
    public void completed_calls_make_the_server_warm() throws Exception {
        try (ModelRunner runner =
                ModelRunner.builder()
                        .options(o -> o.coldCompletions(1).baseTime(Duration.ofMillis(1)))
                        .start()) {
            runner.control("{\"load_lag_ms\":0}");
            StandinClient client = new StandinClient(runner.port());
            client.callStage("generate", "a1", "").get(10, TimeUnit.SECONDS);
            assertThat(client.fetchJson("/v1/load").path("state").asText()).isEqualTo("warm");
            runner.control("{\"cold\":true}");
            assertThat(client.fetchJson("/v1/load").path("state").asText()).isEqualTo("cold");
        }
    }

    /** Guards against a poison input that is answered instead of crashing the server. */
    @Test
    public void poison_input_crashes_the_server() throws Exception {
        try (ModelRunner runner = runner()) {
            runner.control("{\"poison\":\"in\"}");
            StandinClient client = new StandinClient(runner.port());
            assertThatThrownBy(
                            () -> client.callStage("generate", "a1", "").get(10, TimeUnit.SECONDS))
                    .isNotNull();
            assertThat(runner.stats().path("poison_crashes").asInt()).isGreaterThan(0);
        }
    }

    /** Guards against a refusal without the header that proves that nothing ran. */
    @Test
    public void refusals_carry_the_not_run_header() throws Exception {
        try (ModelRunner runner = runner()) {
            runner.control("{\"refuse_fraction\":1}");
            HttpResponse<String> response =
                    new StandinClient(runner.port())
                            .callStage("generate", "a1", "")
                            .get(10, TimeUnit.SECONDS);
            assertThat(response.statusCode()).isEqualTo(503);
            assertThat(response.headers().firstValue("X-Not-Run")).contains("true");
            assertThat(runner.stats().path("started").asInt()).isZero();
        }
    }

    /** Guards against silence that also affects connections opened after the fault. */
    @Test
    public void silence_of_existing_connections_does_not_affect_new_ones() throws Exception {
        try (ModelRunner runner = runner();
                Socket old = new Socket("127.0.0.1", runner.port())) {
            old.setSoTimeout(300);
            requestLoad(old);
            assertThat(old.getInputStream().read()).isEqualTo('H');
            old.getInputStream().skip(old.getInputStream().available());
            runner.control("{\"silent\":\"existing\"}");
            requestLoad(old);
            assertThatThrownBy(() -> old.getInputStream().readNBytes(4096))
                    .isInstanceOf(SocketTimeoutException.class);
            try (Socket fresh = new Socket("127.0.0.1", runner.port())) {
                requestLoad(fresh);
                assertThat(fresh.getInputStream().read()).isEqualTo('H');
            }
        }
    }

    private static void requestLoad(Socket socket) throws IOException {
        socket.getOutputStream()
                .write(
                        "GET /v1/load HTTP/1.1\r\nHost: a\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
    }

    /** Guards against cancelled work that keeps its slot. */
    @Test
    public void cancelled_attempt_frees_its_slot() throws Exception {
        try (ModelRunner runner =
                ModelRunner.builder().options(o -> o.baseTime(Duration.ofSeconds(30))).start()) {
            StandinClient client = new StandinClient(runner.port());
            CompletableFuture<?> call = client.callStage("generate", "a1", "");
            while (runner.stats().path("running").asInt() == 0) {
                Thread.onSpinWait();
            }
            assertThat(client.delete("/v1/attempts/a1")).isEqualTo(200);
            call.get(10, TimeUnit.SECONDS);
            assertThat(runner.stats().path("running").asInt()).isZero();
            assertThat(client.delete("/v1/attempts/a1")).isEqualTo(404);
        }
    }

    /** Guards against a cache that exceeds its memory limit, or shows events that it must lose. */
    @Test
    public void cache_evicts_prefixes_at_its_memory_limit_and_loses_events() throws Exception {
        try (ModelRunner runner =
                ModelRunner.builder()
                        .options(o -> o.cacheBytes(1500).baseTime(Duration.ofMillis(1)))
                        .start()) {
            runner.control("{\"cache_lag_ms\":0}");
            StandinClient client = new StandinClient(runner.port());
            client.callStage("generate", "a1", ",\"prefix\":\"p\"").get(10, TimeUnit.SECONDS);
            client.callStage("generate", "a2", ",\"prefix\":\"q\"").get(10, TimeUnit.SECONDS);
            JsonNode events = client.fetchJson("/v1/cache/events?after=0");
            assertThat(events.path("events").findValuesAsText("op"))
                    .containsExactly("add", "evict", "add");
            runner.control("{\"cache_gap_fraction\":1}");
            client.callStage("generate", "a3", ",\"prefix\":\"s\"").get(10, TimeUnit.SECONDS);
            JsonNode gap = client.fetchJson("/v1/cache/events?after=3");
            assertThat(gap.path("events")).isEmpty();
            assertThat(gap.path("next").asInt()).isEqualTo(5);
        }
    }

    /** Guards against a model runner that accepts an order with an outdated fencing token. */
    @Test
    public void outdated_fencing_token_is_refused_unless_fencing_is_off() throws Exception {
        try (ModelRunner runner = runner()) {
            StandinClient client = new StandinClient(runner.port());
            assertThat(sendOrder(client, 7)).isEqualTo(200);
            assertThat(sendOrder(client, 6)).isEqualTo(409);
            runner.control("{\"honor_fence\":false}");
            assertThat(sendOrder(client, 6)).isEqualTo(200);
        }
    }

    private static int sendOrder(StandinClient client, int fence) throws Exception {
        return client.post(
                        "/v1/orders",
                        "{\"order\":\"load_model\",\"target\":\"m\",\"fence\":" + fence + "}")
                .get(10, TimeUnit.SECONDS)
                .statusCode();
    }
}
