package org.bulrushvale.system;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a non-idempotent request that runs twice or is answered with a wrong verdict. */
public class KeyedRequestTest {
    private static final ObjectMapper JSON = new ObjectMapper();

    private SingleEntryFixture mFixture;

    @BeforeMethod
    public void start() throws Exception {
        mFixture = SingleEntryFixture.start();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mFixture.close();
    }

    @Test
    public void a_second_request_with_the_same_key_gets_the_stored_answer() throws Exception {
        // given
        String key = issueKey();
        // when
        HttpResponse<String> first = sendBooking(key, "seat 12");
        HttpResponse<String> second = sendBooking(key, "seat 12");
        HttpResponse<String> other = sendBooking(key, "seat 13");
        // then
        assertThat(first.statusCode()).as(first.body()).isEqualTo(200);
        assertThat(JSON.readTree(second.body())).isEqualTo(JSON.readTree(first.body()));
        assertThat(other.statusCode()).isEqualTo(409);
        assertThat(JSON.readTree(other.body()).path("code").asText()).isEqualTo("KEY_CONFLICT");
        assertThat(mFixture.booking().ledger()).hasSize(1);
    }

    @Test
    public void concurrent_requests_with_the_same_key_run_once() throws Exception {
        // given
        String key = issueKey();
        mFixture.booking().control("{\"delay_ms\":300}");
        // when
        CompletableFuture<HttpResponse<String>> first =
                CompletableFuture.supplyAsync(() -> sendBookingUnchecked(key));
        CompletableFuture<HttpResponse<String>> second =
                CompletableFuture.supplyAsync(() -> sendBookingUnchecked(key));
        // then
        assertThat(first.get().statusCode()).as(first.get().body()).isEqualTo(200);
        assertThat(JSON.readTree(second.get().body())).isEqualTo(JSON.readTree(first.get().body()));
        assertThat(mFixture.booking().ledger()).hasSize(1);
    }

    @Test
    public void a_request_with_unknown_outcome_is_never_run_again() throws Exception {
        // given
        String key = issueKey();
        mFixture.booking().control("{\"drop_fraction\":1.0}");
        // when
        JsonNode first = JSON.readTree(sendBooking(key, "seat 12").body());
        mFixture.booking().control("{\"reset\":true}");
        JsonNode second = JSON.readTree(sendBooking(key, "seat 12").body());
        // then
        assertThat(first.path("verdict").asText()).isEqualTo("MAY_HAVE_RUN");
        assertThat(second.path("verdict").asText()).isEqualTo("MAY_HAVE_RUN");
        assertThat(second.path("code").asText()).isEqualTo("OUTCOME_UNKNOWN");
        assertThat(mFixture.booking().ledger()).hasSize(1);
    }

    @Test
    public void a_key_that_was_never_issued_is_refused_as_not_run() throws Exception {
        // given
        String key = issueKey();
        String forged = key.substring(0, key.length() - 2) + "AA";
        // when
        JsonNode problem = JSON.readTree(sendBooking(forged, "seat 12").body());
        // then
        assertThat(problem.path("code").asText()).isEqualTo("KEY_INVALID");
        assertThat(problem.path("verdict").asText()).isEqualTo("NOT_RUN");
        assertThat(mFixture.booking().ledger()).isEmpty();
    }

    private String issueKey() throws Exception {
        HttpResponse<String> response =
                mFixture.post(
                        mFixture.request("/v1/keys"),
                        "{\"workspace\":\"granite\",\"class\":\"seat\"}");
        assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
        JsonNode json = JSON.readTree(response.body());
        assertThat(json.path("expires_in_ms").asLong()).isPositive();
        return json.path("key").asText();
    }

    private HttpResponse<String> sendBookingUnchecked(String key) {
        try {
            return sendBooking(key, "seat 12");
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private HttpResponse<String> sendBooking(String key, String input) throws Exception {
        return mFixture.post(
                mFixture.request("/v1/requests").header("Idempotency-Key", key),
                SingleEntryFixture.requestBody("granite", "seat", input));
    }
}
