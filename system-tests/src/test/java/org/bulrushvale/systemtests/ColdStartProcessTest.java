package org.bulrushvale.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import org.bulrushvale.systemtests.harness.Await;
import org.bulrushvale.systemtests.harness.Caller.Ask;
import org.bulrushvale.systemtests.harness.ContinuousLoad;
import org.bulrushvale.systemtests.harness.FleetProcesses;
import org.bulrushvale.systemtests.harness.StandinProcess;
import org.testng.annotations.Test;

/**
 * Guards against a fleet that sends a model runner which has just started more requests than it can
 * bear, at the start and after a restart under load (G2). The runner falls over when the requests
 * of all entries together pass its bearable load.
 */
public class ColdStartProcessTest {
    private static final long SEED = 9_041L;
    private static final int CALLERS = 9;
    private static final int COMPLETIONS_UNTIL_WARM = 12;
    private static final Duration WARM_LIMIT = Duration.ofSeconds(40);

    @Test
    public void a_cold_model_runner_gets_no_more_than_it_can_bear() throws Exception {
        System.out.println("ColdStartProcessTest seed=" + SEED);
        String cold = Integer.toString(COMPLETIONS_UNTIL_WARM);
        try (FleetProcesses fleet =
                        FleetProcesses.builder()
                                .server("generate-1", "--cold", cold, "--token-us", "5000")
                                .server("generate-2", "--cold", cold, "--token-us", "5000")
                                .start();
                ContinuousLoad load = ContinuousLoad.start(fleet, SEED, CALLERS, mix())) {
            // when both runners start cold
            awaitWarm(fleet, load);
            // when one starts again under load, without notice
            StandinProcess restarted = fleet.server("generate-1");
            long before = restarted.count("completed");
            restarted.crash(Duration.ofMillis(300));
            Await.until(
                    "generate-1 is warm again; answers so far " + load.summary(),
                    WARM_LIMIT,
                    () -> isWarm(restarted) && restarted.count("completed") > before);
            load.finish();
            // then
            System.out.println("ColdStartProcessTest " + load.summary());
            for (StandinProcess runner : fleet.pool("generate")) {
                System.out.println("ColdStartProcessTest " + runner.name() + " " + runner.stats());
                assertThat(runner.count("bearable_violations")).as(runner.name()).isZero();
            }
            assertThat(restarted.count("falls")).as("falls, by the test alone").isEqualTo(1);
        }
    }

    private static List<Ask> mix() {
        return List.of(Ask.of("letter-draft", "letter").streamed(), Ask.of("bulletin", "bulletin"));
    }

    private static void awaitWarm(FleetProcesses fleet, ContinuousLoad load) throws Exception {
        for (StandinProcess runner : fleet.pool("generate")) {
            Duration warm =
                    Await.until(
                            runner.name() + " is warm; answers so far " + load.summary(),
                            WARM_LIMIT,
                            () -> isWarm(runner));
            System.out.println("ColdStartProcessTest " + runner.name() + " warm after " + warm);
        }
    }

    private static boolean isWarm(StandinProcess runner) throws Exception {
        JsonNode stats = runner.awaitStats();
        assertThat(stats.path("bearable_violations").asLong()).as("%s", stats).isZero();
        return stats.path("state").asText().equals("warm");
    }
}
