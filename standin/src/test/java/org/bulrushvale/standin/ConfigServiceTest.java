package org.bulrushvale.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.standin.config.ConfigService;
import org.testng.annotations.Test;

/**
 * Guards against a simulated configuration service that is more tolerant than the real one, so that
 * tests which use it miss failures.
 */
public class ConfigServiceTest {
    private static ConfigService service() throws Exception {
        return ConfigService.builder().value("classes", "[]").vms("[]").start();
    }

    /** Guards against a watch that waits for its timeout although a newer revision exists. */
    @Test
    public void waiting_watch_ends_when_a_value_is_published() throws Exception {
        try (ConfigService service = service()) {
            StandinClient client = new StandinClient(service.port());
            CompletableFuture<HttpResponse<String>> watch =
                    CompletableFuture.supplyAsync(
                            () -> {
                                try {
                                    return client.fetch("/v1/watch?after=1&wait_ms=9000");
                                } catch (Exception e) {
                                    throw new IllegalStateException(e);
                                }
                            });
            while (service.stats().path("waiting").asInt() == 0) {
                Thread.onSpinWait();
            }
            service.publish("classes", "[1]");
            assertThat(watch.get(5, TimeUnit.SECONDS).body()).contains("\"revision\":2");
            HttpResponse<String> value = client.fetch("/v1/values/classes");
            assertThat(value.body()).isEqualTo("[1]");
            assertThat(value.headers().firstValue("X-Revision")).contains("2");
        }
    }

    /** Guards against a stale service that serves new values under the old revision. */
    @Test
    public void stale_service_serves_the_old_revision() throws Exception {
        try (ConfigService service = service()) {
            service.control("{\"stale_revision\":1}");
            service.publish("classes", "[1]");
            StandinClient client = new StandinClient(service.port());
            assertThat(client.fetchJson("/v1/index").path("revision").asInt()).isEqualTo(1);
            assertThat(client.fetch("/v1/values/classes").body()).isEqualTo("[]");
        }
    }

    /** Guards against a rate limit that is not enforced or not visible in the counts. */
    @Test
    public void calls_above_the_rate_limit_are_refused_and_counted() throws Exception {
        try (ConfigService service = service()) {
            service.control("{\"rate_limit\":0}");
            StandinClient client = new StandinClient(service.port());
            assertThat(client.fetch("/v1/index").statusCode()).isEqualTo(429);
            assertThat(service.stats().path("calls").path("refused_429").asInt()).isEqualTo(1);
        }
    }

    /** Guards against a VM list that shows a change before the configured lag has passed. */
    @Test
    public void vm_list_lags_behind_changes() throws Exception {
        try (ConfigService service = service()) {
            service.control("{\"vms_lag_ms\":60000}");
            service.publishVmList("[{\"name\":\"vm-1\"}]");
            StandinClient client = new StandinClient(service.port());
            assertThat(client.fetchJson("/v1/vms").path("version").asInt()).isEqualTo(1);
            service.control("{\"vms_lag_ms\":0}");
            assertThat(client.fetchJson("/v1/vms").path("vms").path(0).path("name").asText())
                    .isEqualTo("vm-1");
        }
    }

    /**
     * Guards against an outage that also blocks {@code /control}, so that no test could end it, and
     * against a misspelled setting that is ignored.
     */
    @Test
    public void service_that_is_down_still_answers_control_and_rejects_unknown_settings()
            throws Exception {
        try (ConfigService service = service()) {
            StandinClient client = new StandinClient(service.port());
            service.control("{\"down\":\"reset\"}");
            assertThatThrownBy(() -> client.fetch("/v1/index")).isNotNull();
            assertThat(client.fetch("/control").statusCode()).isEqualTo(200);
            assertThat(client.post("/control", "{\"dwon\":1}").get().statusCode()).isEqualTo(400);
        }
    }
}
