package org.bulrushvale.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.standin.plain.LedgerEntry;
import org.bulrushvale.standin.plain.PlainService;
import org.bulrushvale.standin.stage.StageOutput;
import org.testng.annotations.Test;

/** Guards against a ledger that misses runs: tests would then not notice a repeated call. */
public class PlainServiceTest {
    /** Guards against a service that recognizes a repeated call and does not run or record it. */
    @Test
    public void repeated_calls_all_run_and_are_recorded() throws Exception {
        try (PlainService service = PlainService.builder().start()) {
            StandinClient client = new StandinClient(service.port());
            client.callStage("book", "a1", "").get(10, TimeUnit.SECONDS);
            client.callStage("book", "a2", "").get(10, TimeUnit.SECONDS);
            assertThat(service.ledger())
                    .extracting(LedgerEntry::attemptId)
                    .containsExactly("a1", "a2");
            assertThat(client.fetchJson("/control/ledger").path(0).path("body_sha256").asText())
                    .isEqualTo(StageOutput.sha256Hex("in"));
        }
    }

    /** Guards against a ledger that lists only the runs whose answer reached the caller. */
    @Test
    public void run_without_an_answer_is_recorded() throws Exception {
        try (PlainService service = PlainService.builder().start()) {
            service.control("{\"drop_fraction\":1}");
            StandinClient client = new StandinClient(service.port());
            client.callStage("book", "a1", "").handle((answer, error) -> error).get();
            assertThat(service.ledger()).isNotEmpty();
        }
    }

    /** Guards against a fault that a load report between two stage calls uncovers. */
    @Test
    public void connections_go_silent_when_the_next_stage_call_arrives_and_not_before()
            throws Exception {
        try (PlainService service = PlainService.builder().start()) {
            StandinClient client = new StandinClient(service.port());
            service.control("{\"silent\":\"EXISTING_AT_NEXT_STAGE_CALL\"}");
            assertThat(client.fetch("/v1/load").statusCode()).isEqualTo(200);
            CompletableFuture<HttpResponse<String>> silent = client.callStage("book", "a1", "");
            while (service.stats().path("unanswered").asInt() == 0) {
                Thread.onSpinWait();
            }
            client.callStage("book", "a2", "").get(10, TimeUnit.SECONDS);
            assertThat(silent).isNotDone();
            assertThat(service.ledger()).extracting(LedgerEntry::attemptId).containsExactly("a2");
        }
    }

    /** Guards against a run that is cancelled although its work counts as done. */
    @Test
    public void running_call_cannot_be_cancelled() throws Exception {
        try (PlainService service =
                PlainService.builder().options(o -> o.baseTime(Duration.ofSeconds(30))).start()) {
            StandinClient client = new StandinClient(service.port());
            client.callStage("book", "a1", "");
            while (service.ledger().isEmpty()) {
                Thread.onSpinWait();
            }
            assertThat(client.delete("/v1/attempts/a1")).isEqualTo(404);
        }
    }

    /** Guards against counts and runs that are lost when a crash closes the service. */
    @Test
    public void counts_and_ledger_survive_a_simulated_crash() throws Exception {
        try (PlainService service = PlainService.builder().start()) {
            StandinClient client = new StandinClient(service.port());
            client.callStage("book", "a1", "").get(10, TimeUnit.SECONDS);
            service.control("{\"crash\":\"halt\"}");
            assertThatThrownBy(() -> client.fetch("/v1/load")).isNotNull();
            assertThat(service.ledger()).hasSize(1);
            assertThat(service.stats().path("calls").asInt()).isEqualTo(1);
        }
    }
}
