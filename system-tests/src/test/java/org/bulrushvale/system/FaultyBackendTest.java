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

/**
 * Guards against backend answers that are truncated, missing or meant for another attempt and that
 * reach a caller as complete ones.
 */
public class FaultyBackendTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private SingleEntryFixture mFixture;

    @BeforeClass
    public void start() throws Exception {
        mFixture = SingleEntryFixture.start();
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        mFixture.close();
    }

    @AfterMethod(alwaysRun = true)
    public void servers_are_used_again_after_the_fault() throws Exception {
        mFixture.model().control("{\"reset\":true}");
        mFixture.encoder().control("{\"reset\":true}");
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
    public void a_faulty_answer_of_any_stage_becomes_an_error_with_may_have_run(String fault)
            throws Exception {
        // given
        mFixture.encoder().control(fault);
        // then
        assertBackendFailure(send("letter"), "MAY_HAVE_RUN");
        mFixture.encoder().control("{\"reset\":true}");
        // given
        mFixture.model().control(fault);
        // then
        assertBackendFailure(send("letter"), "MAY_HAVE_RUN");
    }

    @Test
    public void a_connection_closed_before_the_answer_leads_to_may_have_run() throws Exception {
        mFixture.encoder().control("{\"drop_fraction\":1.0}");
        assertBackendFailure(send("letter"), "MAY_HAVE_RUN");
    }

    @Test
    public void a_refusal_by_the_backend_before_any_work_leads_to_not_run() throws Exception {
        mFixture.encoder().control("{\"refuse_fraction\":1.0}");
        assertBackendFailure(send("letter"), "NOT_RUN");
    }

    @Test
    public void a_caller_that_disconnects_cancels_its_request() throws Exception {
        // given
        mFixture.encoder().control("{\"delay_ms\":3000}");
        String body = SingleEntryFixture.requestBody("granite", "letter", "gone");
        try (Socket socket = new Socket("127.0.0.1", mFixture.callerPort())) {
            String head =
                    "POST /v1/requests HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "
                            + SingleEntryFixture.TOKEN
                            + "\r\nContent-Length: "
                            + body.length()
                            + "\r\n\r\n";
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
            awaitActiveRequests(1);
        }
        // then
        long start = System.nanoTime();
        awaitActiveRequests(0);
        assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(Duration.ofSeconds(2));
    }

    private void awaitActiveRequests(int expected) throws Exception {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        int active = -1;
        while (active != expected && System.nanoTime() - deadline < 0) {
            String status = mFixture.get("operator", "/v1/status").body();
            active = JSON.readTree(status).path("active_requests").asInt();
        }
        assertThat(active).isEqualTo(expected);
    }

    private HttpResponse<String> send(String workClass) throws Exception {
        HttpRequest.Builder request = mFixture.request("/v1/requests");
        return mFixture.post(
                request, SingleEntryFixture.requestBody("granite", workClass, "input"));
    }

    private static void assertBackendFailure(HttpResponse<String> response, String verdict)
            throws Exception {
        assertThat(response.statusCode()).as(response.body()).isIn(502, 504);
        JsonNode problem = JSON.readTree(response.body());
        assertThat(problem.path("verdict").asText()).as(response.body()).isEqualTo(verdict);
    }
}
