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
 * Guards against cold servers that the fleet overloads, against new work for servers out of
 * service, and against one request that crashes server after server.
 */
public class BackendUseTest {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Shortens the hold-down of a new owner from 19 s to 3.7 s at a class deadline of 2 s. */
    private static final String SHORT_WARMUP =
            "[warmup]\nlist_lag_max_ms = 200\nlongest_deadline_ms = 100\nview_age_max_ms = 1500";

    @Test
    public void a_cold_server_gets_its_bearable_load_from_three_entries() throws Exception {
        // given
        try (Cluster cluster =
                new Cluster()
                        .server("warm-1", "a", 12, 2, 0)
                        .server("cold-1", "a", 12, 2, 20)
                        .start(3, 2_000, SHORT_WARMUP)) {
            // when: more is offered than the warm server takes alone
            int number = 0;
            while (cluster.stat("cold-1", "peak_running") <= 2) {
                sendToAll(cluster, 12, "round " + number++);
            }
            // then
            assertThat(cluster.stat("cold-1", "completed")).isGreaterThanOrEqualTo(20);
            assertNotOverloaded(cluster);
        }
    }

    @Test
    public void a_server_that_restarts_under_load_gets_its_bearable_load() throws Exception {
        // given
        try (Cluster cluster =
                new Cluster()
                        .server("warm-1", "a", 12, 2, 0)
                        .server("cold-1", "a", 12, 2, 20)
                        .start(3, 2_000, SHORT_WARMUP)) {
            int number = 0;
            while (cluster.stat("cold-1", "peak_running") <= 2) {
                sendToAll(cluster, 12, "round " + number++);
            }
            // when: the process restarts under load and is cold again
            List<CompletableFuture<HttpResponse<String>>> under = new ArrayList<>();
            for (int i = 0; i < 24; i++) {
                under.add(cluster.send(i % 3, "ask", "restart " + i));
            }
            cluster.standin("cold-1").control("{\"crash\":\"restart\",\"restart_ms\":50}");
            long done = cluster.stat("cold-1", "completed");
            while (cluster.stat("cold-1", "completed") < done + 30) {
                sendToAll(cluster, 12, "again " + number++);
            }
            // then
            under.forEach(CompletableFuture::join);
            assertThat(cluster.stat("cold-1", "falls")).isEqualTo(1);
            assertNotOverloaded(cluster);
        }
    }

    private static void assertNotOverloaded(Cluster cluster) {
        assertThat(cluster.stat("cold-1", "bearable_violations")).isZero();
        assertThat(cluster.stat("cold-1", "peak_load_cold")).isBetween(1L, 2L);
    }

    private static void sendToAll(Cluster cluster, int perDaemon, String input) {
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < 3 * perDaemon; i++) {
            answers.add(cluster.send(i % 3, "ask", input + " " + i));
        }
        answers.forEach(CompletableFuture::join);
    }

    @DataProvider
    public Object[][] removals() {
        return new Object[][] {{"domain"}, {"leaving"}};
    }

    @Test(dataProvider = "removals")
    public void a_server_out_of_service_gets_no_new_call(String removal) throws Exception {
        try (Cluster cluster =
                new Cluster()
                        .server("a-1", "a", 2, 2, 0)
                        .server("b-1", "b", 2, 2, 0)
                        .start(2, 30_000, "")) {
            // given: every slot is in use and requests wait in both entries
            cluster.control("{\"delay_ms\":400}");
            List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                answers.add(cluster.send(i % 2, "ask", "input " + i));
            }
            Cluster.await(
                    "both servers are in use",
                    () -> cluster.stat("a-1", "calls") >= 2 && cluster.stat("b-1", "calls") >= 2);
            // when
            if (removal.equals("domain")) {
                cluster.takeOutDomainB();
            } else {
                cluster.publishLeaving("b-1");
            }
            long calls = cluster.stat("b-1", "calls");
            cluster.control("{\"delay_ms\":0}");
            for (int i = 0; i < 20; i++) {
                answers.add(cluster.send(i % 2, "ask", "later " + i));
            }
            // then
            for (CompletableFuture<HttpResponse<String>> answer : answers) {
                assertThat(answer.get().statusCode()).as(answer.get().body()).isEqualTo(200);
            }
            assertThat(cluster.stat("b-1", "calls")).isEqualTo(calls);
        }
    }

    @Test
    public void a_poison_request_crashes_two_servers_and_harms_no_other_request() throws Exception {
        try (Cluster cluster = fourServers()) {
            // given: earned retries, and other requests in flight on every server
            List<CompletableFuture<HttpResponse<String>>> others = earnRetries(cluster);
            // when, then
            assertPoisonHarmsNoOther(cluster, others);
        }
    }

    // Retries that hedges of slow requests have used up are missing when servers crash.
    @Test
    public void hedges_leave_the_retries_that_crashes_need() throws Exception {
        try (Cluster cluster = fourServers()) {
            // given: slow requests of a class with fast ones before, half of all slots
            List<CompletableFuture<HttpResponse<String>>> others = earnRetries(cluster);
            long before = sum(cluster, "started");
            cluster.control("{\"delay_ms\":400}");
            for (int i = 0; i < 8; i++) {
                others.add(cluster.send(0, "ask", "slow " + i));
            }
            Cluster.await("slow ones run", () -> sum(cluster, "started") >= before + 8);
            others.forEach(CompletableFuture::join);
            // when, then
            assertPoisonHarmsNoOther(cluster, others);
        }
    }

    private static Cluster fourServers() throws Exception {
        Cluster cluster = new Cluster();
        for (int i = 1; i <= 4; i++) {
            cluster.server("s-" + i, "a", 4, 4, 0);
        }
        return cluster.start(1, 10_000, "");
    }

    private static List<CompletableFuture<HttpResponse<String>>> earnRetries(Cluster cluster) {
        List<CompletableFuture<HttpResponse<String>>> others = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            others.add(cluster.send(0, "ask", "before " + i));
        }
        others.forEach(CompletableFuture::join);
        return others;
    }

    private static void assertPoisonHarmsNoOther(
            Cluster cluster, List<CompletableFuture<HttpResponse<String>>> others)
            throws Exception {
        // given: requests of a class without observed latencies, so that none of them is hedged
        long before = sum(cluster, "started");
        cluster.control("{\"poison\":\"fatal\",\"restart_ms\":100,\"delay_ms\":400}");
        for (int i = 0; i < 8; i++) {
            others.add(cluster.send(0, "other", "beside " + i));
        }
        Cluster.await("others are in flight", () -> sum(cluster, "started") >= before + 8);
        // when
        JsonNode first = JSON.readTree(cluster.send(0, "other", "fatal").get().body());
        JsonNode again = JSON.readTree(cluster.send(0, "other", "fatal").get().body());
        JsonNode keyed = JSON.readTree(cluster.send(0, "other", "fatal", "a key").get().body());
        // then
        assertThat(first.path("verdict").asText()).as("%s", first).isEqualTo("MAY_HAVE_RUN");
        for (JsonNode refusal : List.of(again, keyed)) {
            assertThat(refusal.path("code").asText()).as("%s", refusal).isEqualTo("POISON");
            assertThat(refusal.path("verdict").asText()).isEqualTo("NOT_RUN");
        }
        for (CompletableFuture<HttpResponse<String>> other : others) {
            assertThat(other.get().statusCode()).as(other.get().body()).isEqualTo(200);
        }
        assertThat(sum(cluster, "falls")).isEqualTo(2);
    }

    private static long sum(Cluster cluster, String counter) {
        long sum = 0;
        for (int i = 1; i <= 4; i++) {
            sum += cluster.stat("s-" + i, counter);
        }
        return sum;
    }

    @Test
    public void a_replay_without_its_result_says_so() throws Exception {
        try (Cluster cluster =
                new Cluster().tokens(6_000).server("s-1", "a", 4, 4, 0).start(1, 10_000, "")) {
            // given: an answer larger than the 16 KiB that are kept for a replay
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
            assertThat(cluster.stat("s-1", "calls")).isEqualTo(1);
        }
    }
}
