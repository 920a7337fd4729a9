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

/** Guards against bad input that is not answered with a typed error or that stops the daemon. */
public class BadInputTest {
    private static final ObjectMapper JSON = new ObjectMapper();

    private Fleet mFleet;

    @BeforeClass
    public void start() throws Exception {
        mFleet = Fleet.start();
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        mFleet.close();
    }

    @AfterMethod
    public void the_daemon_still_serves() throws Exception {
        HttpResponse<String> response =
                mFleet.post(
                        mFleet.request("/v1/requests"), Fleet.body("granite", "letter", "after"));
        assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
    }

    @DataProvider
    public Object[][] badBodies() {
        String large = "x".repeat(70_000);
        return new Object[][] {
            {"{\"workspace\":", 400, "MALFORMED_REQUEST"},
            {"[]", 400, "MALFORMED_REQUEST"},
            {"{\"workspace\":\"granite\",\"class\":\"letter\"}", 400, "MALFORMED_REQUEST"},
            {Fleet.body("granite", "letter", "a").replace("20", "-1"), 400, "MALFORMED_REQUEST"},
            {Fleet.body("granite", "nosuch", "a"), 404, "UNKNOWN_CLASS"},
            {Fleet.body("nosuch", "letter", "a"), 404, "UNKNOWN_WORKSPACE"},
            {Fleet.body("granite", "seat", "a"), 400, "KEY_REQUIRED"},
            {Fleet.body("granite", "letter", large), 413, "BODY_TOO_LARGE"},
        };
    }

    @Test(dataProvider = "badBodies")
    public void bad_bodies_are_refused_as_not_run(String body, int status, String code)
            throws Exception {
        assertProblem(mFleet.post(mFleet.request("/v1/requests"), body), status, code);
    }

    @DataProvider
    public Object[][] deadlines() {
        return new Object[][] {{"0"}, {"-5"}, {"soon"}, {"99999999999999999999"}};
    }

    @Test(dataProvider = "deadlines")
    public void absurd_deadlines_are_refused(String deadline) throws Exception {
        HttpRequest.Builder request =
                mFleet.request("/v1/requests").header("X-Deadline-Ms", deadline);
        HttpResponse<String> response = mFleet.post(request, Fleet.body("granite", "letter", "a"));
        assertProblem(response, 400, "DEADLINE_INVALID");
    }

    @Test
    public void wrong_and_missing_tokens_are_refused() throws Exception {
        String body = Fleet.body("granite", "letter", "a");
        HttpRequest.Builder wrong = mFleet.request("/v1/requests");
        wrong.setHeader("Authorization", "Bearer wrong");
        assertProblem(mFleet.post(wrong, body), 401, "UNAUTHORIZED");
        HttpRequest.Builder basic = mFleet.request("/v1/requests");
        basic.setHeader("Authorization", "Basic " + Fleet.TOKEN);
        assertProblem(mFleet.post(basic, body), 401, "UNAUTHORIZED");
    }

    @Test
    public void large_headers_are_refused() throws Exception {
        HttpRequest.Builder request =
                mFleet.request("/v1/requests").header("X-Filler", "x".repeat(20_000));
        HttpResponse<String> response = mFleet.post(request, Fleet.body("granite", "letter", "a"));
        assertProblem(response, 400, "MALFORMED_REQUEST");
    }

    @Test
    public void a_refusal_with_a_key_never_claims_that_nothing_ran() throws Exception {
        HttpRequest.Builder request =
                mFleet.request("/v1/requests").header("Idempotency-Key", "v1.some.key");
        HttpResponse<String> response = mFleet.post(request, "{");
        assertThat(JSON.readTree(response.body()).path("verdict").asText())
                .isEqualTo("MAY_HAVE_RUN");
    }

    @Test
    public void a_sender_of_single_bytes_is_cut_off() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", mFleet.callerPort())) {
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
            // The daemon has closed the connection, as it must.
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
