package org.bulrushvale.system;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.ConnectException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;

/** Guards against a graceful shutdown that interrupts a request or goes on accepting callers. */
public class DrainTest {
    private static final ObjectMapper JSON = new ObjectMapper();

    @Test
    public void requests_in_progress_end_before_the_daemon_stops() throws Exception {
        try (Fleet fleet = Fleet.start()) {
            // given
            int port = fleet.callerPort();
            // Below the progress timeout, so that the attempt is slow but not silent.
            fleet.encoder().control("{\"delay_ms\":400}");
            CompletableFuture<HttpResponse<String>> running =
                    CompletableFuture.supplyAsync(() -> send(fleet));
            awaitActive(fleet);
            // when
            HttpResponse<String> drain =
                    fleet.post(
                            java.net.http.HttpRequest.newBuilder(
                                    java.net.URI.create(
                                            "http://127.0.0.1:"
                                                    + fleet.daemon().port("operator").orElseThrow()
                                                    + "/v1/drain")),
                            "");
            // then
            assertThat(drain.statusCode()).isEqualTo(202);
            assertThat(running.get().statusCode()).as(running.get().body()).isEqualTo(200);
            fleet.daemon().awaitDrained();
            assertThat(fleet.daemon().isReady()).isFalse();
            assertThatThrownBy(() -> new Socket("127.0.0.1", port).close())
                    .isInstanceOf(ConnectException.class);
        }
    }

    private static HttpResponse<String> send(Fleet fleet) {
        try {
            return fleet.post(
                    fleet.request("/v1/requests"), Fleet.body("granite", "letter", "last"));
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private static void awaitActive(Fleet fleet) throws Exception {
        int active = 0;
        while (active == 0) {
            String status = fleet.get("operator", "/v1/status").body();
            active = JSON.readTree(status).path("active_requests").asInt();
        }
    }
}
