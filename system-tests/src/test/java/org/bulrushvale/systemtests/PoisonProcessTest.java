package org.bulrushvale.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.bulrushvale.systemtests.harness.Await;
import org.bulrushvale.systemtests.harness.CallerClient;
import org.bulrushvale.systemtests.harness.CallerClient.TestRequest;
import org.bulrushvale.systemtests.harness.ContinuousLoad;
import org.bulrushvale.systemtests.harness.ContinuousLoad.SentRequest;
import org.bulrushvale.systemtests.harness.EntryProcess;
import org.bulrushvale.systemtests.harness.FleetProcesses;
import org.bulrushvale.systemtests.harness.RequestResult;
import org.bulrushvale.systemtests.harness.StandinProcess;
import org.testng.annotations.Test;

/**
 * Guards against a poison request, one that crashes every model runner that runs it, crashing more
 * than two runners when its caller sends it again and again through all entries. Requests that run
 * on the same runners at that time must neither be lost nor be refused as poison.
 */
public class PoisonProcessTest {
    private static final long SEED = 77_031L;
    private static final String POISON_TEXT = "POISON-MARK";
    private static final int POISON_REQUESTS = 9;
    private static final int CALLERS = 4;

    @Test
    public void a_poison_request_crashes_at_most_two_model_runners() throws Exception {
        // when
        PoisonRun run = runPoisonRequestsBesideOthers();
        // then
        assertAtMostTwoCrashes(run);
    }

    @Test
    public void requests_beside_a_poison_request_are_neither_lost_nor_refused_as_poison()
            throws Exception {
        // when
        PoisonRun run = runPoisonRequestsBesideOthers();
        // then
        assertAtMostTwoCrashes(run);
        assertThat(run.otherRequests())
                .filteredOn(sentRequest -> !sentRequest.result().isWhole())
                .as("other requests that were lost or refused as poison")
                .isEmpty();
    }

    private static void assertAtMostTwoCrashes(PoisonRun run) {
        assertThat(run.crashes()).as("model runners that crashed").isBetween(1L, 2L);
        assertThat(run.poisonResults()).noneMatch(RequestResult::isWhole);
        assertThat(run.poisonResults().get(POISON_REQUESTS - 1).code()).isEqualTo("POISON");
    }

    private static PoisonRun runPoisonRequestsBesideOthers() throws Exception {
        System.out.println("PoisonProcessTest seed=" + SEED);
        try (FleetProcesses fleet = FleetProcesses.builder().modelRunners(4).start();
                ContinuousLoad load = ContinuousLoad.start(fleet, SEED, CALLERS, requestMix())) {
            for (EntryProcess entry : fleet.entries()) {
                load.awaitWholeAnswers(entry, 5);
            }
            for (StandinProcess runner : fleet.serversOfPool("generate")) {
                runner.control("{\"poison\":\"" + POISON_TEXT + "\",\"restart_ms\":300}");
            }
            CallerClient client = new CallerClient();
            List<RequestResult> results = new ArrayList<>();
            for (int i = 0; i < POISON_REQUESTS; i++) {
                awaitAllRunnersListen(fleet);
                EntryProcess entry = fleet.entry(i % 3);
                results.add(
                        client.send(
                                entry.callerUri(),
                                TestRequest.of(FleetProcesses.DRAFT_CLASS, POISON_TEXT)));
            }
            for (EntryProcess entry : fleet.entries()) {
                load.awaitWholeAnswers(entry, 5);
            }
            List<SentRequest> sentRequests = load.finish();
            results.forEach(result -> System.out.println("PoisonProcessTest " + result));
            System.out.println("PoisonProcessTest others " + load.summary());
            long crashes = 0;
            for (StandinProcess runner : fleet.serversOfPool("generate")) {
                crashes += runner.count("poison_crashes");
            }
            return new PoisonRun(crashes, results, sentRequests);
        }
    }

    /** Waits for all runners, since a request sent while they restart cannot crash any of them. */
    private static void awaitAllRunnersListen(FleetProcesses fleet) throws Exception {
        for (StandinProcess runner : fleet.serversOfPool("generate")) {
            Await.until(
                    runner.name() + " listens", FleetProcesses.START_TIMEOUT, runner::isListening);
        }
    }

    private static List<TestRequest> requestMix() {
        return List.of(
                TestRequest.of(FleetProcesses.DRAFT_CLASS, "letter").streamed(),
                TestRequest.of(FleetProcesses.DRAFT_CLASS, "letter"),
                TestRequest.of("bulletin", "bulletin"));
    }

    /** What one run of the scenario showed. */
    private record PoisonRun(
            long crashes, List<RequestResult> poisonResults, List<SentRequest> otherRequests) {}
}
