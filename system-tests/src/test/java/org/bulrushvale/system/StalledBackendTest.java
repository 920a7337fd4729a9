package org.bulrushvale.system;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.adapters.backend.BackendAddress;
import org.bulrushvale.adapters.backend.BackendClient;
import org.bulrushvale.adapters.backend.StageAttemptRequest;
import org.bulrushvale.adapters.settings.EntrySettings;
import org.testng.annotations.Test;

/**
 * Guards against answers of backend servers that stall but send a few bytes now and then: these
 * must not hold a connection, nor the next load report.
 */
public class StalledBackendTest {
    private static final Duration PROGRESS_TIMEOUT = Duration.ofMillis(700);
    private static final Duration MARGIN = Duration.ofSeconds(1);
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String EVENTS =
            OK + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String TOKEN =
            "data: {\"attempt_id\":\"a-1\",\"offset\":0,\"text\":\"o\"}\n\n";
    private static final String END = "event: end\ndata: {\"attempt_id\":\"a-1\",\"tokens\":1}\n\n";

    @Test
    public void a_stream_that_goes_on_after_its_end_does_not_hold_its_connection()
            throws Exception {
        // given: comments after the end event
        CountDownLatch closed = new CountDownLatch(1);
        RawBackend.Script script =
                (call, connection) -> {
                    RawBackend.write(connection, EVENTS + RawBackend.chunk(TOKEN + END));
                    return sendUntilClosed(connection, RawBackend.chunk(":\n\n"), closed);
                };
        try (RawBackend server = RawBackend.start(script);
                BackendClient client = startClient()) {
            // when
            assertThat(runAttempt(client, server, true)).isEqualTo("o");
            // then
            assertThat(isClosedInTime(closed)).isTrue();
        }
    }

    @Test
    public void a_load_report_that_never_ends_fails_in_time() throws Exception {
        // given
        CountDownLatch closed = new CountDownLatch(1);
        RawBackend.Script reports =
                (JsonNode call, Socket connection) -> {
                    RawBackend.write(connection, OK + "Content-Length: 60000\r\n\r\n");
                    return sendUntilClosed(connection, " ", closed);
                };
        try (RawBackend server = RawBackend.start((call, connection) -> false, reports);
                BackendClient client = startClient()) {
            CompletableFuture<String> outcome = new CompletableFuture<>();
            // when
            client.readLoad(
                    address(server),
                    report -> outcome.complete("report"),
                    failure -> outcome.complete(failure.name()));
            // then
            assertThat(outcome.get(PROGRESS_TIMEOUT.plus(MARGIN).toMillis(), TimeUnit.MILLISECONDS))
                    .isEqualTo("SILENT");
            assertThat(isClosedInTime(closed)).isTrue();
        }
    }

    private static boolean isClosedInTime(CountDownLatch closed) throws InterruptedException {
        return closed.await(PROGRESS_TIMEOUT.plus(MARGIN).toMillis(), TimeUnit.MILLISECONDS);
    }

    private static boolean sendUntilClosed(Socket connection, String bytes, CountDownLatch closed)
            throws IOException {
        try {
            while (true) {
                RawBackend.write(connection, bytes);
                pause(50);
            }
        } catch (IOException e) {
            closed.countDown();
            return false;
        }
    }

    private static void pause(long millis) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private static BackendClient startClient() throws Exception {
        Duration timeout = Duration.ofSeconds(2);
        return BackendClient.start(
                new EntrySettings.Backend(timeout, PROGRESS_TIMEOUT, timeout, 1 << 20),
                server -> {});
    }

    private static BackendAddress address(RawBackend server) {
        return new BackendAddress("s", "127.0.0.1", server.port());
    }

    private static String runAttempt(BackendClient client, RawBackend server, boolean stream)
            throws Exception {
        StageAttemptRequest call =
                new StageAttemptRequest(
                        "encode", "a-1", "r-1", "w", "text", 0, 0, stream, PROGRESS_TIMEOUT);
        OutcomeRecorder outcome = new OutcomeRecorder();
        var unused = client.sendAttempt(address(server), call, RawBackend.EPOCH, outcome);
        return outcome.await();
    }
}
