package org.bulrushvale.system;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against overload of cold backend servers by several entries, against new calls to servers
 * out of service, against a poison request that crashes one server after another, and against a
 * replay that runs again because its result was too large to keep.
 */
public class BackendProtectionTest {
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Settings that shorten the time for which a new owner of a warm-up must wait before it may use
     * its server, from 19 s to 3.7 s at a class deadline of 2 s.
     */
    private static final String SHORT_HOLD_DOWN =
            "[warmup]\nlist_lag_max_ms = 200\nlongest_deadline_ms = 100\nview_age_max_ms = 1500";

    @Test
    public void three_entries_together_keep_a_cold_server_within_its_bearable_load()
            throws Exception {
        // given
        try (SingleStageCluster cluster =
                new SingleStageCluster()
                        .server("warm-1", "a", 12, 2, 0)
                        .server("cold-1", "a", 12, 2, 20)
                        .start(3, 2_000, SHORT_HOLD_DOWN)) {
            // when: more requests are sent than the warm server alone can take
            int round = 0;
            while (cluster.counterOf("cold-1", "peak_running") <= 2) {
                sendToAll(cluster, 12, "round " + round++);
            }
            // then
            assertThat(cluster.counterOf("cold-1", "completed")).isGreaterThanOrEqualTo(20);
            assertNotOverloaded(cluster);
        }
    }

    @Test
    public void a_server_that_restarts_under_load_gets_no_more_than_its_bearable_load()
            throws Exception {
        // given
        try (SingleStageCluster cluster =
                new SingleStageCluster()
                        .server("warm-1", "a", 12, 2, 0)
                        .server("cold-1", "a", 12, 2, 20)
                        .start(3, 2_000, SHORT_HOLD_DOWN)) {
            int round = 0;
            while (cluster.counterOf("cold-1", "peak_running") <= 2) {
                sendToAll(cluster, 12, "round " + round++);
            }
            // when: the process restarts under load and is cold again
            List<CompletableFuture<HttpResponse<String>>> requestsUnderRestart = new ArrayList<>();
            for (int i = 0; i < 24; i++) {
                requestsUnderRestart.add(cluster.send(i % 3, "ask", "restart " + i));
            }
            cluster.standin("cold-1").control("{\"crash\":\"restart\",\"restart_ms\":50}");
            long completedBefore = cluster.counterOf("cold-1", "completed");
            while (cluster.counterOf("cold-1", "completed") < completedBefore + 30) {
                sendToAll(cluster, 12, "again " + round++);
            }
            // then
            requestsUnderRestart.forEach(CompletableFuture::join);
            assertThat(cluster.counterOf("cold-1", "falls")).isEqualTo(1);
            assertNotOverloaded(cluster);
        }
    }

    private static void assertNotOverloaded(SingleStageCluster cluster) {
        assertThat(cluster.counterOf("cold-1", "bearable_violations")).isZero();
        assertThat(cluster.counterOf("cold-1", "peak_load_cold")).isBetween(1L, 2L);
    }

    private static void sendToAll(SingleStageCluster cluster, int perDaemon, String input) {
        List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
        for (int i = 0; i < 3 * perDaemon; i++) {
            responses.add(cluster.send(i % 3, "ask", input + " " + i));
        }
        responses.forEach(CompletableFuture::join);
    }

    @DataProvider
    public Object[][] removals() {
        return new Object[][] {{"domain"}, {"leaving"}};
    }

    @Test(dataProvider = "removals")
    public void a_server_out_of_service_gets_no_new_call(String removal) throws Exception {
        try (SingleStageCluster cluster =
                new SingleStageCluster()
                        .server("a-1", "a", 2, 2, 0)
                        .server("b-1", "b", 2, 2, 0)
                        .start(2, 30_000, "")) {
            // given: every slot is in use and requests wait in both entries
            cluster.controlAll("{\"delay_ms\":400}");
            List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                responses.add(cluster.send(i % 2, "ask", "input " + i));
            }
            SingleStageCluster.await(
                    "both servers are in use",
                    () ->
                            cluster.counterOf("a-1", "calls") >= 2
                                    && cluster.counterOf("b-1", "calls") >= 2);
            // when
            if (removal.equals("domain")) {
                cluster.disableDomainB();
            } else {
                cluster.publishLeaving("b-1");
            }
            long calls = cluster.counterOf("b-1", "calls");
            cluster.controlAll("{\"delay_ms\":0}");
            for (int i = 0; i < 20; i++) {
                responses.add(cluster.send(i % 2, "ask", "later " + i));
            }
            // then
            for (CompletableFuture<HttpResponse<String>> response : responses) {
                assertThat(response.get().statusCode()).as(response.get().body()).isEqualTo(200);
            }
            assertThat(cluster.counterOf("b-1", "calls")).isEqualTo(calls);
        }
    }

    @Test
    public void a_poison_request_crashes_two_servers_and_affects_no_other_request()
            throws Exception {
        try (SingleStageCluster cluster = startFourServers()) {
            // given: enough completed requests to earn retries
            List<CompletableFuture<HttpResponse<String>>> otherRequests = earnRetryBudget(cluster);
            // when, then
            assertPoisonAffectsNoOtherRequest(cluster, otherRequests);
        }
    }

    // Hedges of slow requests must not use up the retries that requests need when servers crash.
    @Test
    public void hedges_leave_enough_retries_for_crashes() throws Exception {
        try (SingleStageCluster cluster = startFourServers()) {
            // given: slow requests in half of all slots, of a class whose earlier requests were
            // fast, so that they are hedged
            List<CompletableFuture<HttpResponse<String>>> otherRequests = earnRetryBudget(cluster);
            long before = sumOverServers(cluster, "started");
            cluster.controlAll("{\"delay_ms\":400}");
            for (int i = 0; i < 8; i++) {
                otherRequests.add(cluster.send(0, "ask", "slow " + i));
            }
            SingleStageCluster.await(
                    "slow ones run", () -> sumOverServers(cluster, "started") >= before + 8);
            otherRequests.forEach(CompletableFuture::join);
            // when, then
            assertPoisonAffectsNoOtherRequest(cluster, otherRequests);
        }
    }

    private static SingleStageCluster startFourServers() throws Exception {
        SingleStageCluster cluster = new SingleStageCluster();
        for (int i = 1; i <= 4; i++) {
            cluster.server("s-" + i, "a", 4, 4, 0);
        }
        return cluster.start(1, 10_000, "");
    }

    private static List<CompletableFuture<HttpResponse<String>>> earnRetryBudget(
            SingleStageCluster cluster) {
        List<CompletableFuture<HttpResponse<String>>> otherRequests = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            otherRequests.add(cluster.send(0, "ask", "before " + i));
        }
        otherRequests.forEach(CompletableFuture::join);
        return otherRequests;
    }

    private static void assertPoisonAffectsNoOtherRequest(
            SingleStageCluster cluster, List<CompletableFuture<HttpResponse<String>>> otherRequests)
            throws Exception {
        // given: requests in flight on every server, of a class without observed latencies, so that
        // none of them is hedged
        long before = sumOverServers(cluster, "started");
        cluster.controlAll("{\"poison\":\"fatal\",\"restart_ms\":100,\"delay_ms\":400}");
        for (int i = 0; i < 8; i++) {
            otherRequests.add(cluster.send(0, "other", "beside " + i));
        }
        SingleStageCluster.await(
                "others are in flight", () -> sumOverServers(cluster, "started") >= before + 8);
        // when
        JsonNode first = JSON.readTree(cluster.send(0, "other", "fatal").get().body());
        JsonNode secondRefusal = JSON.readTree(cluster.send(0, "other", "fatal").get().body());
        JsonNode keyed = JSON.readTree(cluster.send(0, "other", "fatal", "a key").get().body());
        // then
        assertThat(first.path("verdict").asText()).as("%s", first).isEqualTo("MAY_HAVE_RUN");
        for (JsonNode refusal : List.of(secondRefusal, keyed)) {
            assertThat(refusal.path("code").asText()).as("%s", refusal).isEqualTo("POISON");
            assertThat(refusal.path("verdict").asText()).isEqualTo("NOT_RUN");
        }
        for (CompletableFuture<HttpResponse<String>> other : otherRequests) {
            assertThat(other.get().statusCode()).as(other.get().body()).isEqualTo(200);
        }
        assertThat(sumOverServers(cluster, "falls")).isEqualTo(2);
    }

    private static long sumOverServers(SingleStageCluster cluster, String counter) {
        long sum = 0;
        for (int i = 1; i <= 4; i++) {
            sum += cluster.counterOf("s-" + i, counter);
        }
        return sum;
    }

    @Test
    public void a_replay_whose_result_was_too_large_to_keep_is_refused_as_ran() throws Exception {
        try (SingleStageCluster cluster =
                new SingleStageCluster()
                        .tokens(6_000)
                        .server("s-1", "a", 4, 4, 0)
                        .start(1, 10_000, "")) {
            // given: an answer larger than the 16 KiB that an entry keeps for a replay
            String key = cluster.issueKey(0, "seat");
            HttpResponse<String> first = cluster.send(0, "seat", "long", key).get();
            assertThat(first.statusCode()).as(first.body()).isEqualTo(200);
            assertThat(first.body().length()).isGreaterThan(16 * 1024);
            // when
            HttpResponse<String> second = cluster.send(0, "seat", "long", key).get();
            // then
            JsonNode problem = JSON.readTree(second.body());
            assertThat(second.statusCode()).isEqualTo(410);
            assertThat(problem.path("code").asText()).isEqualTo("RESULT_NOT_HELD");
            assertThat(problem.path("verdict").asText()).isEqualTo("RAN");
            assertThat(problem.path("advice").asText()).isEqualTo("DO_NOT_RETRY");
            assertThat(cluster.counterOf("s-1", "calls")).isEqualTo(1);
        }
    }
}
