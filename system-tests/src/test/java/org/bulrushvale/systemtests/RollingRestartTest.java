package org.bulrushvale.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bulrushvale.systemtests.harness.Answer;
import org.bulrushvale.systemtests.harness.Await;
import org.bulrushvale.systemtests.harness.Caller.Ask;
import org.bulrushvale.systemtests.harness.ContinuousLoad;
import org.bulrushvale.systemtests.harness.ContinuousLoad.Sent;
import org.bulrushvale.systemtests.harness.Digests;
import org.bulrushvale.systemtests.harness.EntryProcess;
import org.bulrushvale.systemtests.harness.FleetProcesses;
import org.testng.annotations.Test;

/**
 * Guards against a rolling restart that interrupts a request, refuses one with a wrong verdict or
 * runs a keyed one twice (G8, with G5 and G6).
 */
public class RollingRestartTest {
    private static final long SEED = 20_261_204L;
    private static final int CALLERS = 8;
    // The balancer probes every 30 ms; whole answers of the slow runner send no byte for 2.4 s.
    private static final String SETTINGS =
            """
            [drain]
            readiness_delay_ms = 1000
            settle_ms = 200
            [backend]
            progress_timeout_ms = 4000
            """;
    private static final Set<Answer.Kind> ANSWERED =
            EnumSet.of(Answer.Kind.WHOLE, Answer.Kind.REFUSED);

    @Test
    public void a_rolling_restart_of_all_entries_interrupts_no_request() throws Exception {
        System.out.println("RollingRestartTest seed=" + SEED);
        try (FleetProcesses fleet =
                        FleetProcesses.builder()
                                // One of two runners takes 2.4 s for an answer, so that requests
                                // are in progress when the listeners of an entry have closed.
                                .server("generate-1", "--token-us", "5000")
                                .server("generate-2", "--token-us", "150000")
                                .settings(SETTINGS)
                                .start();
                ContinuousLoad load = ContinuousLoad.start(fleet, SEED, CALLERS, mix())) {
            // given
            for (EntryProcess entry : fleet.entries()) {
                load.awaitWhole(entry, 5);
            }
            // when
            for (EntryProcess entry : fleet.entries()) {
                Await.until(
                        "requests in progress at " + entry.vm(),
                        FleetProcesses.START_LIMIT,
                        () -> entry.report("status").path("active_requests").asInt() > 1);
                entry.process().terminate();
                entry.process().awaitExit(Duration.ofSeconds(30));
                entry.startAgain();
                entry.awaitReady();
                load.awaitWhole(entry, 5);
            }
            List<Sent> sent = load.finish();
            // then
            System.out.println("RollingRestartTest " + load.summary());
            assertThat(sent)
                    .filteredOn(one -> !ANSWERED.contains(one.answer().kind()))
                    .as("requests that were neither answered whole nor refused")
                    .isEmpty();
            assertVerdictsAreTrue(sent, fleet.runs());
        }
    }

    private static List<Ask> mix() {
        return List.of(
                Ask.of("registry", "registry of hall"),
                Ask.of("letter-draft", "letter").streamed(),
                Ask.of("bulletin", "bulletin of basin"),
                Ask.keyed(FleetProcesses.ORDER, "order at the counter", "needed"));
    }

    private static void assertVerdictsAreTrue(List<Sent> sent, Map<String, Integer> runs) {
        assertThat(runs.values()).as("runs per key").allMatch(count -> count == 1);
        for (Sent one : sent) {
            if (one.ask().workClass().equals(FleetProcesses.ORDER)) {
                boolean ran = runs.containsKey(Digests.sha256(one.ask().input()));
                if (one.answer().verdict().equals("NOT_RUN")) {
                    assertThat(ran).as("run of %s", one).isFalse();
                }
                if (one.answer().isWhole()) {
                    assertThat(ran).as("run of %s", one).isTrue();
                }
            }
        }
        assertThat(sent)
                .filteredOn(one -> one.ask().workClass().equals(FleetProcesses.ORDER))
                .as("keyed requests that were answered whole")
                .anyMatch(one -> one.answer().isWhole());
    }
}
