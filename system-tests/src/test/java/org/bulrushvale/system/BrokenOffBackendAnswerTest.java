package org.bulrushvale.system;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.adapters.backend.BackendAddress;
import org.bulrushvale.adapters.backend.BackendClient;
import org.bulrushvale.adapters.backend.StageAttemptRequest;
import org.bulrushvale.adapters.settings.EntrySettings;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against answers of backend servers that break off or are malformed and count as whole. */
public class BrokenOffBackendAnswerTest {
    private static final Duration PROGRESS_TIMEOUT = Duration.ofMillis(700);
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String STREAM = OK + "Content-Type: text/event-stream\r\n";
    private static final String EVENTS = STREAM + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String BODY =
            "{\"attempt_id\":\"a-1\",\"complete\":true,\"output\":\"o\",\"tokens\":1}";
    private static final String TOKEN =
            "data: {\"attempt_id\":\"a-1\",\"offset\":0,\"text\":\"o\"}\n\n";
    private static final String END = "event: end\ndata: {\"attempt_id\":\"a-1\",\"tokens\":1}\n\n";

    @DataProvider
    public Object[][] answers() {
        String chunk = RawBackend.chunk(BODY);
        String token = EVENTS + RawBackend.chunk(TOKEN);
        String[][] answers = {
            {"inside the status line", "HTTP/1.1 20"},
            {"inside a header", OK + "Content-Le"},
            {"with a length", OK + "Content-Length: 100\r\n\r\n" + BODY},
            {"until close", OK + "\r\n" + BODY.substring(0, 40)},
            {"inside a chunk", CHUNKED + "60\r\n" + BODY},
            {"inside a chunk size", CHUNKED + chunk + "1"},
            {"after a chunk", CHUNKED + chunk},
            {"inside the last chunk", CHUNKED + chunk + "0"},
            {"before the end of the trailer", CHUNKED + chunk + "0\r\n"},
            {"stream without an event", EVENTS},
            {"inside an event", token + RawBackend.chunk(END.substring(0, 20))},
            {"inside the end event", token + RawBackend.chunk(END.substring(0, END.length() - 1))},
            {"inside a chunk of a stream", token + "60\r\n" + END.substring(0, 20)},
            {"after the last token", token},
            {"after the last token and the last chunk", token + "0\r\n\r\n"},
            {"stream until close", STREAM + "\r\n" + TOKEN + END.substring(0, 40)},
            {"stream with a length", STREAM + "Content-Length: 500\r\n\r\n" + TOKEN},
        };
        List<Object[]> cases = new ArrayList<>();
        for (String[] answer : answers) {
            for (boolean reset : new boolean[] {false, true}) {
                cases.add(new Object[] {answer[0], answer[1], reset});
            }
        }
        return cases.toArray(new Object[0][]);
    }

    @Test(dataProvider = "answers")
    public void an_answer_that_breaks_off_is_no_result(String name, String bytes, boolean reset)
            throws Exception {
        // given
        RawBackend.Script script =
                (call, connection) -> {
                    RawBackend.write(connection, bytes);
                    if (reset) {
                        pause(50);
                        connection.setSoLinger(true, 0);
                    }
                    return false;
                };
        try (RawBackend server = RawBackend.start(script);
                BackendClient client = startClient()) {
            // when
            String outcome = runAttempt(client, server, bytes.startsWith(STREAM));
            // then
            assertThat(outcome).isIn("RESET", "CUT", "TRUNCATED");
        }
    }

    @DataProvider
    public Object[][] malformedAnswers() {
        String length = "Content-Length: " + BODY.length() + "\r\n";
        String last = "0\r\n\r\n";
        return new Object[][] {
            {"status 600", "HTTP/1.1 600 X\r\n" + length + "\r\n" + BODY},
            {"status 000", "HTTP/1.1 000 X\r\n" + length + "\r\n" + BODY},
            {"sign", OK + "Content-Length: +" + BODY.length() + "\r\n\r\n" + BODY},
            {"two lengths", OK + length + "Content-Length: 5\r\n\r\n" + BODY},
            {"other encoding", OK + length + "Transfer-Encoding: chunke\r\n\r\n" + BODY},
            {"no field", OK + length + "no field\r\n\r\n" + BODY},
            {"continued line", OK + length + "X: y\r\n z\r\n\r\n" + BODY},
            {"blank in a name", OK + length + "X Y: z\r\n\r\n" + BODY},
            {"control byte in a name", OK + length + "X\u0001Y: z\r\n\r\n" + BODY},
            {"chunk size", CHUNKED + RawBackend.chunk(BODY).replace("\r\n{", "x\r\n{") + last},
            {"last chunk", CHUNKED + RawBackend.chunk(BODY) + "x\r\n\r\n"},
            {"trailer", CHUNKED + RawBackend.chunk(BODY) + "0\r\nno field\r\n\r\n"},
        };
    }

    @Test(dataProvider = "malformedAnswers")
    public void a_malformed_answer_is_no_result(String name, String bytes) throws Exception {
        // given
        RawBackend.Script script =
                (call, connection) -> {
                    RawBackend.write(connection, bytes);
                    return true;
                };
        try (RawBackend server = RawBackend.start(script);
                BackendClient client = startClient()) {
            // when
            String outcome = runAttempt(client, server, false);
            // then
            assertThat(outcome).isEqualTo("MALFORMED");
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
