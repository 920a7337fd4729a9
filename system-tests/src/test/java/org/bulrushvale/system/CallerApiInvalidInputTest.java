package org.bulrushvale.system;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against invalid caller input that gets no error with a code or that stops the daemon. */
public class CallerApiInvalidInputTest {
    private static final ObjectMapper JSON = new ObjectMapper();

    private SingleEntryFixture mFixture;

    @BeforeClass
    public void start() throws Exception {
        mFixture = SingleEntryFixture.start();
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        mFixture.close();
    }

    @AfterMethod
    public void the_daemon_still_answers_valid_requests() throws Exception {
        HttpResponse<String> response =
                mFixture.post(
                        mFixture.request("/v1/requests"),
                        SingleEntryFixture.requestBody("granite", "letter", "after"));
        assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
    }

    @DataProvider
    public Object[][] invalidBodies() {
        String large = "x".repeat(70_000);
        return new Object[][] {
            {"{\"workspace\":", 400, "MALFORMED_REQUEST"},
            {"[]", 400, "MALFORMED_REQUEST"},
            {"{\"workspace\":\"granite\",\"class\":\"letter\"}", 400, "MALFORMED_REQUEST"},
            {
                SingleEntryFixture.requestBody("granite", "letter", "a").replace("20", "-1"),
                400,
                "MALFORMED_REQUEST"
            },
            {SingleEntryFixture.requestBody("granite", "nosuch", "a"), 404, "UNKNOWN_CLASS"},
            {SingleEntryFixture.requestBody("nosuch", "letter", "a"), 404, "UNKNOWN_WORKSPACE"},
            {SingleEntryFixture.requestBody("granite", "seat", "a"), 400, "KEY_REQUIRED"},
            {SingleEntryFixture.requestBody("granite", "letter", large), 413, "BODY_TOO_LARGE"},
        };
    }

    @Test(dataProvider = "invalidBodies")
    public void invalid_bodies_are_refused_as_not_run(String body, int status, String code)
            throws Exception {
        assertProblem(mFixture.post(mFixture.request("/v1/requests"), body), status, code);
    }

    @DataProvider
    public Object[][] invalidDeadlines() {
        return new Object[][] {{"0"}, {"-5"}, {"soon"}, {"99999999999999999999"}};
    }

    @Test(dataProvider = "invalidDeadlines")
    public void invalid_deadlines_are_refused(String deadline) throws Exception {
        HttpRequest.Builder request =
                mFixture.request("/v1/requests").header("X-Deadline-Ms", deadline);
        HttpResponse<String> response =
                mFixture.post(request, SingleEntryFixture.requestBody("granite", "letter", "a"));
        assertProblem(response, 400, "DEADLINE_INVALID");
    }

    @Test
    public void wrong_and_missing_tokens_are_refused() throws Exception {
        String body = SingleEntryFixture.requestBody("granite", "letter", "a");
        HttpRequest.Builder wrong = mFixture.request("/v1/requests");
        wrong.setHeader("Authorization", "Bearer wrong");
        assertProblem(mFixture.post(wrong, body), 401, "UNAUTHORIZED");
        HttpRequest.Builder basic = mFixture.request("/v1/requests");
        basic.setHeader("Authorization", "Basic " + SingleEntryFixture.TOKEN);
        assertProblem(mFixture.post(basic, body), 401, "UNAUTHORIZED");
    }

    @Test
    public void too_large_headers_are_refused() throws Exception {
        HttpRequest.Builder request =
                mFixture.request("/v1/requests").header("X-Filler", "x".repeat(20_000));
        HttpResponse<String> response =
                mFixture.post(request, SingleEntryFixture.requestBody("granite", "letter", "a"));
        assertProblem(response, 400, "MALFORMED_REQUEST");
    }

    @Test
    public void a_refusal_of_a_malformed_request_with_a_key_says_may_have_run() throws Exception {
        HttpRequest.Builder request =
                mFixture.request("/v1/requests").header("Idempotency-Key", "v1.some.key");
        HttpResponse<String> response = mFixture.post(request, "{");
        assertThat(JSON.readTree(response.body()).path("verdict").asText())
                .isEqualTo("MAY_HAVE_RUN");
    }

    @Test
    public void a_caller_that_sends_single_bytes_slowly_gets_a_timeout() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", mFixture.callerPort())) {
            socket.setSoTimeout(10_000);
            write(socket, "POST /v1/requests HTTP/1.1\r\nHost: a\r\nContent-Length: 500\r\n\r\n");
            long start = System.nanoTime();
            Thread sender = new Thread(() -> sendSlowly(socket));
            sender.start();
            String answer =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            sender.join();
            assertThat(answer).startsWith("HTTP/1.1 408").contains("REQUEST_TIMEOUT");
            assertThat(TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - start)).isLessThan(5);
        }
    }

    private static void sendSlowly(Socket socket) {
        try {
            for (int i = 0; i < 100; i++) {
                write(socket, "x");
                TimeUnit.MILLISECONDS.sleep(50);
            }
        } catch (IOException ignored) {
            // The daemon has closed the connection, as the test expects.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    private static void assertProblem(HttpResponse<String> response, int status, String code)
            throws IOException {
        assertThat(response.statusCode()).as(response.body()).isEqualTo(status);
        assertThat(response.headers().firstValue("Content-Type"))
                .hasValue("application/problem+json");
        JsonNode problem = JSON.readTree(response.body());
        assertThat(problem.path("code").asText()).isEqualTo(code);
        assertThat(problem.path("verdict").asText()).isEqualTo("NOT_RUN");
        assertThat(problem.path("advice").asText()).isNotEmpty();
    }
}
