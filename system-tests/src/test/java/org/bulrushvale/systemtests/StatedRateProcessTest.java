package org.bulrushvale.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.systemtests.harness.CallerClient.TestRequest;
import org.bulrushvale.systemtests.harness.ContinuousLoad;
import org.bulrushvale.systemtests.harness.EntryProcess;
import org.bulrushvale.systemtests.harness.FleetProcesses;
import org.bulrushvale.systemtests.harness.StandinProcess;
import org.testng.annotations.Test;

/**
 * Guards against entries that together send a model runner more requests than the rate that its
 * load reports state for all of them.
 */
public class StatedRateProcessTest {
    private static final long SEED = 4_211L;
    private static final int CALLERS = 6;
    private static final double STATED_RATE = 1;
    private static final int SAMPLES_PER_SECOND = 5;
    private static final int WINDOW_SAMPLES = 4 * SAMPLES_PER_SECOND;
    private static final long MOST_CALLS = (long) (1.5 * 4 * STATED_RATE + 5);

    @Test
    public void all_entries_together_keep_to_the_rate_in_load_reports() throws Exception {
        System.out.println("StatedRateProcessTest seed=" + SEED);
        TestRequest letter = TestRequest.of(FleetProcesses.DRAFT_CLASS, "letter");
        try (FleetProcesses fleet = FleetProcesses.builder().modelRunners(3).start();
                ContinuousLoad load = ContinuousLoad.start(fleet, SEED, CALLERS, List.of(letter))) {
            for (EntryProcess entry : fleet.entries()) {
                load.awaitWholeAnswers(entry, 5);
            }
            StandinProcess runner = fleet.serversOfPool("generate").get(0);
            // when
            runner.control("{\"requests_per_s\":" + STATED_RATE + "}");
            TimeUnit.SECONDS.sleep(3);
            List<Long> calls = new ArrayList<>();
            for (int i = 0; i < 3 * WINDOW_SAMPLES; i++) {
                calls.add(runner.count("calls"));
                TimeUnit.MILLISECONDS.sleep(1_000 / SAMPLES_PER_SECOND);
            }
            // then
            long most = 0;
            for (int i = 0; i + WINDOW_SAMPLES < calls.size(); i++) {
                most = Math.max(most, calls.get(i + WINDOW_SAMPLES) - calls.get(i));
            }
            System.out.println("StatedRateProcessTest " + most + " calls, " + load.summary());
            assertThat(most).isBetween(1L, MOST_CALLS);
            assertThat(load.finish()).filteredOn(sent -> !sent.result().isWhole()).isEmpty();
        }
    }
}
