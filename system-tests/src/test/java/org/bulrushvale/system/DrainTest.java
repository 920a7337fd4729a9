package org.bulrushvale.system;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.ConnectException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;

/** Guards against a graceful shutdown that interrupts a request or keeps accepting connections. */
public class DrainTest {
    private static final ObjectMapper JSON = new ObjectMapper();

    @Test
    public void requests_in_progress_end_before_the_daemon_stops() throws Exception {
        try (SingleEntryFixture fixture = SingleEntryFixture.start()) {
            // given
            int port = fixture.callerPort();
            // Shorter than the progress timeout, so that the slow attempt does not time out.
            fixture.encoder().control("{\"delay_ms\":400}");
            CompletableFuture<HttpResponse<String>> running =
                    CompletableFuture.supplyAsync(() -> send(fixture));
            awaitActiveRequest(fixture);
            // when
            HttpResponse<String> drain =
                    fixture.post(
                            java.net.http.HttpRequest.newBuilder(
                                    java.net.URI.create(
                                            "http://127.0.0.1:"
                                                    + fixture.daemon()
                                                            .port("operator")
                                                            .orElseThrow()
                                                    + "/v1/drain")),
                            "");
            // then
            assertThat(drain.statusCode()).isEqualTo(202);
            assertThat(running.get().statusCode()).as(running.get().body()).isEqualTo(200);
            fixture.daemon().awaitDrained();
            assertThat(fixture.daemon().isReady()).isFalse();
            assertThatThrownBy(() -> new Socket("127.0.0.1", port).close())
                    .isInstanceOf(ConnectException.class);
        }
    }

    private static HttpResponse<String> send(SingleEntryFixture fixture) {
        try {
            return fixture.post(
                    fixture.request("/v1/requests"),
                    SingleEntryFixture.requestBody("granite", "letter", "last"));
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private static void awaitActiveRequest(SingleEntryFixture fixture) throws Exception {
        int active = 0;
        while (active == 0) {
            String status = fixture.get("operator", "/v1/status").body();
            active = JSON.readTree(status).path("active_requests").asInt();
        }
    }
}
