package org.bulrushvale.system;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against foreign, truncated or missing backend answers that reach a caller as complete. */
public class BadBackendTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration PATIENCE = Duration.ofSeconds(10);

    private Fleet mFleet;

    @BeforeClass
    public void start() throws Exception {
        mFleet = Fleet.start();
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        mFleet.close();
    }

    @AfterMethod(alwaysRun = true)
    public void healthy_servers_are_used_again() throws Exception {
        mFleet.model().control("{\"reset\":true}");
        mFleet.encoder().control("{\"reset\":true}");
        assertThat(send("letter").statusCode()).isEqualTo(200);
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {"{\"truncate\":\"CUT\"}"},
            {"{\"truncate\":\"CLEAN\"}"},
            {"{\"attempt_ids\":\"FOREIGN\"}"},
            {"{\"error_fraction\":1.0}"},
            {"{\"silent\":\"ALL\"}"},
        };
    }

    @Test(dataProvider = "faults")
    public void faulty_answers_of_any_stage_become_typed_errors(String fault) throws Exception {
        // given
        mFleet.encoder().control(fault);
        // then
        assertFailure(send("letter"), "MAY_HAVE_RUN");
        mFleet.encoder().control("{\"reset\":true}");
        // given
        mFleet.model().control(fault);
        // then
        assertFailure(send("letter"), "MAY_HAVE_RUN");
    }

    @Test
    public void a_connection_that_closes_instead_of_an_answer_may_have_run() throws Exception {
        mFleet.encoder().control("{\"drop_fraction\":1.0}");
        assertFailure(send("letter"), "MAY_HAVE_RUN");
    }

    @Test
    public void refusals_before_any_work_are_not_run() throws Exception {
        mFleet.encoder().control("{\"refuse_fraction\":1.0}");
        assertFailure(send("letter"), "NOT_RUN");
    }

    @Test
    public void a_caller_that_disconnects_cancels_its_request() throws Exception {
        // given
        mFleet.encoder().control("{\"delay_ms\":3000}");
        String body = Fleet.body("granite", "letter", "gone");
        try (Socket socket = new Socket("127.0.0.1", mFleet.callerPort())) {
            String head =
                    "POST /v1/requests HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "
                            + Fleet.TOKEN
                            + "\r\nContent-Length: "
                            + body.length()
                            + "\r\n\r\n";
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
            awaitActive(1);
        }
        // then
        long start = System.nanoTime();
        awaitActive(0);
        assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(Duration.ofSeconds(2));
    }

    private void awaitActive(int expected) throws Exception {
        long deadline = System.nanoTime() + PATIENCE.toNanos();
        int active = -1;
        while (active != expected && System.nanoTime() - deadline < 0) {
            String status = mFleet.get("operator", "/v1/status").body();
            active = JSON.readTree(status).path("active_requests").asInt();
        }
        assertThat(active).isEqualTo(expected);
    }

    private HttpResponse<String> send(String workClass) throws Exception {
        HttpRequest.Builder request = mFleet.request("/v1/requests");
        return mFleet.post(request, Fleet.body("granite", workClass, "input"));
    }

    private static void assertFailure(HttpResponse<String> response, String verdict)
            throws Exception {
        assertThat(response.statusCode()).as(response.body()).isIn(502, 504);
        JsonNode problem = JSON.readTree(response.body());
        assertThat(problem.path("verdict").asText()).as(response.body()).isEqualTo(verdict);
    }
}
