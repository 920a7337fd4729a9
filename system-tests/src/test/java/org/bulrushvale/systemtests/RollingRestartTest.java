package org.bulrushvale.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bulrushvale.systemtests.harness.Await;
import org.bulrushvale.systemtests.harness.CallerClient.TestRequest;
import org.bulrushvale.systemtests.harness.ContinuousLoad;
import org.bulrushvale.systemtests.harness.ContinuousLoad.SentRequest;
import org.bulrushvale.systemtests.harness.Digests;
import org.bulrushvale.systemtests.harness.EntryProcess;
import org.bulrushvale.systemtests.harness.FleetProcesses;
import org.bulrushvale.systemtests.harness.RequestResult;
import org.testng.annotations.Test;

/**
 * Guards against a rolling restart of the entries that interrupts a request, refuses one with a
 * wrong verdict or runs one with an idempotency key twice (guarantees G8, G5 and G6).
 */
public class RollingRestartTest {
    private static final long SEED = 20_261_204L;
    private static final int CALLERS = 8;
    // The load balancer of the test probes every 30 ms, well within the readiness delay. The slow
    // runner needs 2.4 s for an answer that is not streamed and sends no byte before its end, so
    // the progress timeout is longer.
    private static final String SETTINGS =
            """
            [drain]
            readiness_delay_ms = 1000
            settle_ms = 200
            [backend]
            progress_timeout_ms = 4000
            """;
    private static final Set<RequestResult.Kind> ANSWERED_OR_REFUSED =
            EnumSet.of(RequestResult.Kind.WHOLE, RequestResult.Kind.REFUSED);

    @Test
    public void a_rolling_restart_of_all_entries_interrupts_no_request() throws Exception {
        System.out.println("RollingRestartTest seed=" + SEED);
        try (FleetProcesses fleet =
                        FleetProcesses.builder()
                                // One of the two runners takes 2.4 s for an answer, so that
                                // requests are still in progress after an entry has closed its
                                // listeners.
                                .server("generate-1", "--token-us", "5000")
                                .server("generate-2", "--token-us", "150000")
                                .settings(SETTINGS)
                                .start();
                ContinuousLoad load = ContinuousLoad.start(fleet, SEED, CALLERS, requestMix())) {
            // given
            for (EntryProcess entry : fleet.entries()) {
                load.awaitWholeAnswers(entry, 5);
            }
            // when
            for (EntryProcess entry : fleet.entries()) {
                Await.until(
                        "requests in progress at " + entry.vm(),
                        FleetProcesses.START_TIMEOUT,
                        () -> entry.report("status").path("active_requests").asInt() > 1);
                entry.process().terminate();
                entry.process().awaitExit(Duration.ofSeconds(30));
                entry.restart();
                entry.awaitReady();
                load.awaitWholeAnswers(entry, 5);
            }
            List<SentRequest> sentRequests = load.finish();
            // then
            System.out.println("RollingRestartTest " + load.summary());
            assertThat(sentRequests)
                    .filteredOn(
                            sentRequest ->
                                    !ANSWERED_OR_REFUSED.contains(sentRequest.result().kind()))
                    .as("requests that were neither answered whole nor refused")
                    .isEmpty();
            assertVerdictsMatchRuns(sentRequests, fleet.runsByInputDigest());
        }
    }

    private static List<TestRequest> requestMix() {
        return List.of(
                TestRequest.of("registry", "registry of hall"),
                TestRequest.of("letter-draft", "letter").streamed(),
                TestRequest.of("bulletin", "bulletin of basin"),
                TestRequest.keyed(FleetProcesses.ORDER_CLASS, "order at the counter", "needed"));
    }

    private static void assertVerdictsMatchRuns(
            List<SentRequest> sentRequests, Map<String, Integer> runs) {
        assertThat(runs.values()).as("runs per key").allMatch(count -> count == 1);
        for (SentRequest sentRequest : sentRequests) {
            if (sentRequest.request().workClass().equals(FleetProcesses.ORDER_CLASS)) {
                boolean ran = runs.containsKey(Digests.sha256(sentRequest.request().input()));
                if (sentRequest.result().verdict().equals("NOT_RUN")) {
                    assertThat(ran).as("run of %s", sentRequest).isFalse();
                }
                if (sentRequest.result().isWhole()) {
                    assertThat(ran).as("run of %s", sentRequest).isTrue();
                }
            }
        }
        assertThat(sentRequests)
                .filteredOn(
                        sentRequest ->
                                sentRequest
                                        .request()
                                        .workClass()
                                        .equals(FleetProcesses.ORDER_CLASS))
                .as("keyed requests that were answered whole")
                .anyMatch(sentRequest -> sentRequest.result().isWhole());
    }
}
