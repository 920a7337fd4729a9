package org.bulrushvale.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.systemtests.harness.Await;
import org.bulrushvale.systemtests.harness.CallerClient;
import org.bulrushvale.systemtests.harness.CallerClient.TestRequest;
import org.bulrushvale.systemtests.harness.EntryProcess;
import org.bulrushvale.systemtests.harness.FleetProcesses;
import org.bulrushvale.systemtests.harness.RequestResult;
import org.bulrushvale.systemtests.harness.StandinProcess;
import org.testng.annotations.Test;

/**
 * Guards against requests that differ but share one line, on which every model runner crashes, and
 * against the refusal of the requests that share their other lines.
 */
public class CrashingInputLineProcessTest {
    private static final String CRASHING_LINE = "CRASH-MARK";
    private static final int CRASHES_BEFORE_THE_LIMIT = 5;
    private static final int CRASHES_AFTER_THE_LIMIT = 3;
    private static final int REQUESTS = 12;

    @Test
    public void a_line_that_crashes_model_runners_reaches_them_through_no_entry() throws Exception {
        try (FleetProcesses fleet = FleetProcesses.builder().modelRunners(4).start()) {
            // given
            for (StandinProcess runner : fleet.serversOfPool("generate")) {
                runner.control("{\"poison\":\"" + CRASHING_LINE + "\",\"restart_ms\":300}");
            }
            sendUntilCrashes(fleet);
            TimeUnit.SECONDS.sleep(3);
            long before = crashes(fleet);
            // when
            List<RequestResult> results = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                results.add(send(fleet, i, "later " + i + "\n" + CRASHING_LINE));
            }
            // then
            assertThat(crashes(fleet) - before).isLessThanOrEqualTo(CRASHES_AFTER_THE_LIMIT);
            assertThat(results.get(REQUESTS - 1).code()).isEqualTo("POISON");
            for (int i = 0; i < REQUESTS; i++) {
                assertThat(send(fleet, i, "later " + i + "\nsound").isWhole()).isTrue();
            }
        }
    }

    private static void sendUntilCrashes(FleetProcesses fleet) throws Exception {
        for (int i = 0; i < REQUESTS && crashes(fleet) < CRASHES_BEFORE_THE_LIMIT; i++) {
            send(fleet, i, "letter " + i + "\n" + CRASHING_LINE);
        }
    }

    private static RequestResult send(FleetProcesses fleet, int number, String input)
            throws Exception {
        awaitAllRunnersListen(fleet);
        EntryProcess entry = fleet.entry(number % 3);
        return new CallerClient()
                .send(entry.callerUri(), TestRequest.of(FleetProcesses.DRAFT_CLASS, input));
    }

    private static void awaitAllRunnersListen(FleetProcesses fleet) throws Exception {
        for (StandinProcess runner : fleet.serversOfPool("generate")) {
            Await.until(
                    runner.name() + " listens", FleetProcesses.START_TIMEOUT, runner::isListening);
        }
    }

    private static long crashes(FleetProcesses fleet) throws Exception {
        awaitAllRunnersListen(fleet);
        long crashes = 0;
        for (StandinProcess runner : fleet.serversOfPool("generate")) {
            crashes += runner.count("poison_crashes");
        }
        return crashes;
    }
}
