package org.bulrushvale.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.bulrushvale.systemtests.harness.Answer;
import org.bulrushvale.systemtests.harness.Await;
import org.bulrushvale.systemtests.harness.Caller;
import org.bulrushvale.systemtests.harness.Caller.Ask;
import org.bulrushvale.systemtests.harness.ContinuousLoad;
import org.bulrushvale.systemtests.harness.ContinuousLoad.Sent;
import org.bulrushvale.systemtests.harness.EntryProcess;
import org.bulrushvale.systemtests.harness.FleetProcesses;
import org.bulrushvale.systemtests.harness.StandinProcess;
import org.testng.annotations.Test;

/**
 * Guards against a request that crashes every model runner which runs it, sent again by its caller
 * through all entries, and against the loss or blame of the requests that ran beside it.
 */
public class PoisonProcessTest {
    private static final long SEED = 77_031L;
    private static final String MARK = "POISON-MARK";
    private static final int PRESENTATIONS = 9;
    private static final int CALLERS = 4;

    @Test
    public void a_poison_request_crashes_at_most_two_servers() throws Exception {
        System.out.println("PoisonProcessTest seed=" + SEED);
        try (FleetProcesses fleet = FleetProcesses.builder().modelRunners(4).start();
                ContinuousLoad load = ContinuousLoad.start(fleet, SEED, CALLERS, mix())) {
            // given
            for (EntryProcess entry : fleet.entries()) {
                load.awaitWhole(entry, 5);
            }
            for (StandinProcess runner : fleet.pool("generate")) {
                runner.control("{\"poison\":\"" + MARK + "\",\"restart_ms\":300}");
            }
            // when
            Caller caller = new Caller();
            List<Answer> answers = new ArrayList<>();
            for (int i = 0; i < PRESENTATIONS; i++) {
                awaitAllListen(fleet);
                EntryProcess entry = fleet.entry(i % 3);
                answers.add(caller.send(entry.uri(), Ask.of(FleetProcesses.DRAFT, MARK)));
            }
            for (EntryProcess entry : fleet.entries()) {
                load.awaitWhole(entry, 5);
            }
            List<Sent> sent = load.finish();
            // then
            answers.forEach(answer -> System.out.println("PoisonProcessTest " + answer));
            System.out.println("PoisonProcessTest others " + load.summary());
            long crashes = 0;
            for (StandinProcess runner : fleet.pool("generate")) {
                crashes += runner.count("poison_crashes");
            }
            assertThat(crashes).as("model runners that fell").isBetween(1L, 2L);
            assertThat(answers).noneMatch(Answer::isWhole);
            assertThat(answers.get(PRESENTATIONS - 1).code()).isEqualTo("POISON");
            assertThat(sent)
                    .filteredOn(one -> !one.answer().isWhole())
                    .as("requests beside the poison that were lost or blamed")
                    .isEmpty();
        }
    }

    /** A presentation while the runners restart would meet none that it could crash. */
    private static void awaitAllListen(FleetProcesses fleet) throws Exception {
        for (StandinProcess runner : fleet.pool("generate")) {
            Await.until(
                    runner.name() + " listens", FleetProcesses.START_LIMIT, runner::isListening);
        }
    }

    private static List<Ask> mix() {
        return List.of(
                Ask.of(FleetProcesses.DRAFT, "letter").streamed(),
                Ask.of(FleetProcesses.DRAFT, "letter"),
                Ask.of("bulletin", "bulletin"));
    }
}
