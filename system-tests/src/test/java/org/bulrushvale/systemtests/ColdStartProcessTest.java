package org.bulrushvale.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import org.bulrushvale.systemtests.harness.Await;
import org.bulrushvale.systemtests.harness.CallerClient.TestRequest;
import org.bulrushvale.systemtests.harness.ContinuousLoad;
import org.bulrushvale.systemtests.harness.FleetProcesses;
import org.bulrushvale.systemtests.harness.StandinProcess;
import org.testng.annotations.Test;

/**
 * Guards against overload of a model runner that has just started and is still cold, at the start
 * of the fleet and after a restart under load (guarantee G2). The runner crashes when the requests
 * of all entries together exceed its bearable load.
 */
public class ColdStartProcessTest {
    private static final long SEED = 9_041L;
    private static final int CALLERS = 9;
    private static final int COMPLETIONS_UNTIL_WARM = 12;
    private static final Duration WARMUP_TIMEOUT = Duration.ofSeconds(40);

    @Test
    public void a_cold_model_runner_gets_no_more_than_its_bearable_load() throws Exception {
        System.out.println("ColdStartProcessTest seed=" + SEED);
        String cold = Integer.toString(COMPLETIONS_UNTIL_WARM);
        try (FleetProcesses fleet =
                        FleetProcesses.builder()
                                .server("generate-1", "--cold", cold, "--token-us", "5000")
                                .server("generate-2", "--cold", cold, "--token-us", "5000")
                                .start();
                ContinuousLoad load = ContinuousLoad.start(fleet, SEED, CALLERS, requestMix())) {
            // when both runners start cold
            awaitWarm(fleet, load);
            // when one crashes and restarts under load, without notice to the entries
            StandinProcess restartedRunner = fleet.server("generate-1");
            long before = restartedRunner.count("completed");
            restartedRunner.crash(Duration.ofMillis(300));
            Await.until(
                    "generate-1 is warm again; answers so far " + load.summary(),
                    WARMUP_TIMEOUT,
                    () -> isWarm(restartedRunner) && restartedRunner.count("completed") > before);
            load.finish();
            // then
            System.out.println("ColdStartProcessTest " + load.summary());
            for (StandinProcess runner : fleet.serversOfPool("generate")) {
                System.out.println("ColdStartProcessTest " + runner.name() + " " + runner.stats());
                assertThat(runner.count("bearable_violations")).as(runner.name()).isZero();
            }
            assertThat(restartedRunner.count("falls"))
                    .as("crashes, of which the test causes one")
                    .isEqualTo(1);
        }
    }

    private static List<TestRequest> requestMix() {
        return List.of(
                TestRequest.of("letter-draft", "letter").streamed(),
                TestRequest.of("bulletin", "bulletin"));
    }

    private static void awaitWarm(FleetProcesses fleet, ContinuousLoad load) throws Exception {
        for (StandinProcess runner : fleet.serversOfPool("generate")) {
            Duration warmupTime =
                    Await.until(
                            runner.name() + " is warm; answers so far " + load.summary(),
                            WARMUP_TIMEOUT,
                            () -> isWarm(runner));
            System.out.println(
                    "ColdStartProcessTest " + runner.name() + " warm after " + warmupTime);
        }
    }

    private static boolean isWarm(StandinProcess runner) throws Exception {
        JsonNode stats = runner.awaitStats();
        assertThat(stats.path("bearable_violations").asLong()).as("%s", stats).isZero();
        return stats.path("state").asText().equals("warm");
    }
}
