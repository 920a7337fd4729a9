package org.bulrushvale.system;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against calls that are given up or started again on another server because their server
 * does not report its load, although it answers them. Also guards against a server that stays
 * unused after such a time.
 */
public class LateLoadReportsTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int DEADLINE_MS = 10_000;
    private static final List<String> SERVERS = List.of("server-1", "server-2");

    /** Longer than a load report is used (2 s), so that the last report expires during a call. */
    private static final String SERVICE_TIME = "{\"delay_ms\":4000}";

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {"{\"silent\":\"LOAD_REPORTS\"}"},
            {"{\"load_lag_ms\":60000}"},
            {"{\"load_lag_ms\":10000000000000000}"},
        };
    }

    @DataProvider
    public Object[][] callsAndFaults() {
        return new Object[][] {
            {"ask", "{\"silent\":\"LOAD_REPORTS\"}"},
            {"seat", "{\"silent\":\"LOAD_REPORTS\"}"},
            {"ask", "{\"load_lag_ms\":60000}"},
            {"seat", "{\"load_lag_ms\":60000}"},
        };
    }

    @Test(dataProvider = "callsAndFaults")
    public void a_running_call_is_neither_repeated_nor_given_up_while_load_reports_are_missing(
            String workClass, String fault) throws Exception {
        // given
        try (SingleStageCluster cluster =
                new SingleStageCluster()
                        .server(SERVERS.get(0), "a", 8, 8, 0)
                        .server(SERVERS.get(1), "a", 8, 8, 0)
                        .start(1, DEADLINE_MS, "[backend]\nprogress_timeout_ms = 9000\n")) {
            cluster.controlAll(SERVICE_TIME);
            String key = workClass.equals("seat") ? cluster.issueKey(0, workClass) : "";
            CompletableFuture<HttpResponse<String>> call =
                    cluster.send(0, workClass, "during the fault", key);
            SingleStageCluster.await("the call runs", () -> countOf(cluster, "started") == 1);
            String server = SERVERS.get(cluster.counterOf(SERVERS.get(0), "started") == 1 ? 0 : 1);
            // when
            cluster.standin(server).control(fault);
            HttpResponse<String> response = call.get(DEADLINE_MS, TimeUnit.MILLISECONDS);
            // then
            assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
            JsonNode stage = JSON.readTree(response.body()).path("stages").path(0);
            assertThat(stage.path("attempts").asInt()).as(response.body()).isEqualTo(1);
            assertThat(countOf(cluster, "started")).isEqualTo(1);
            assertThat(countOf(cluster, "cancelled")).isZero();
            // then: no new call is sent to the server before it reports its load again
            cluster.controlAll("{\"delay_ms\":0}");
            assertThat(cluster.send(0, "ask", "new call").get().statusCode()).isEqualTo(200);
            assertThat(cluster.counterOf(server, "started")).isEqualTo(1);
        }
    }

    @Test(dataProvider = "faults")
    public void a_server_is_used_again_when_its_load_reports_are_current_again(String fault)
            throws Exception {
        // given
        try (SingleStageCluster cluster =
                new SingleStageCluster().server(SERVERS.get(0), "a", 8, 8, 0).start(1, 1_000, "")) {
            cluster.controlAll(fault);
            SingleStageCluster.await(
                    "the last usable report has expired",
                    () -> cluster.send(0, "ask", "during the fault").get().statusCode() != 200);
            // when
            cluster.controlAll("{\"reset\":true}");
            // then
            SingleStageCluster.await(
                    "the server is used again",
                    () -> cluster.send(0, "ask", "after the fault").get().statusCode() == 200);
        }
    }

    @Test(dataProvider = "faults")
    public void an_entry_becomes_ready_although_a_server_does_not_report_its_load(String fault)
            throws Exception {
        // given
        try (SingleStageCluster cluster =
                new SingleStageCluster()
                        .server(SERVERS.get(0), "a", 8, 8, 0)
                        .server(SERVERS.get(1), "a", 8, 8, 0)) {
            cluster.standin(SERVERS.get(0)).control(fault);
            // when
            cluster.start(1, DEADLINE_MS, "");
            // then
            assertThat(cluster.send(0, "ask", "call").get().statusCode()).isEqualTo(200);
            assertThat(cluster.counterOf(SERVERS.get(1), "started")).isEqualTo(1);
        }
    }

    private static long countOf(SingleStageCluster cluster, String counter) {
        return SERVERS.stream().mapToLong(server -> cluster.counterOf(server, counter)).sum();
    }
}
