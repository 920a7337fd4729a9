package org.bulrushvale.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import org.bulrushvale.systemtests.harness.Await;
import org.bulrushvale.systemtests.harness.EntryProcess;
import org.bulrushvale.systemtests.harness.FleetProcesses;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a revision that takes longer than 4 s to be in force everywhere, and against one
 * that reverts when the configuration service serves an older one (G9).
 */
public class ConfigSpreadProcessTest {
    private static final Duration BOUND = Duration.ofSeconds(4);
    private static final int CHANGES = 5;

    private FleetProcesses mFleet;

    @BeforeMethod
    public void start() throws Exception {
        mFleet = FleetProcesses.builder().start();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        if (mFleet != null) {
            mFleet.close();
        }
    }

    @Test
    public void a_revision_spreads_in_time_and_never_reverts() throws Exception {
        // when revisions are published one after the other
        for (int i = 1; i <= CHANGES; i++) {
            long revision = publishChange(i);
            Duration spread = awaitEverywhere(mFleet.entries(), revision);
            // then
            System.out.println(
                    "ConfigSpreadProcessTest revision " + revision + " in force after " + spread);
            assertThat(spread).isLessThan(BOUND);
        }
        // when the service serves an old revision
        long newest = publishChange(CHANGES + 1);
        awaitEverywhere(mFleet.entries(), newest);
        mFleet.config().control("{\"stale_revision\":1}");
        // then no entry reverts, for longer than any poll, watch or gossip interval
        Await.holdsFor(
                "revision " + newest + " stays in force",
                BOUND,
                () ->
                        mFleet.entry(0).revision() == newest
                                && mFleet.entry(1).revision() == newest
                                && mFleet.entry(2).revision() == newest);
        // when a fresh entry starts meanwhile
        EntryProcess fresh = mFleet.entry(2);
        fresh.process().kill();
        fresh.startAgain();
        Duration ready = fresh.awaitReady();
        // then it is ready only with the revision of its peers
        assertThat(fresh.revision()).isEqualTo(newest);
        System.out.println(
                "ConfigSpreadProcessTest fresh entry ready with revision "
                        + newest
                        + " after "
                        + ready);
        // when the service recovers
        mFleet.config().control("{\"reset\":true}");
        long next = publishChange(CHANGES + 2);
        // then
        assertThat(awaitEverywhere(mFleet.entries(), next)).isLessThan(BOUND);
    }

    private long publishChange(int number) throws Exception {
        ArrayNode classes = mFleet.value("classes");
        ((ObjectNode) classes.get(0)).put("worth", 10 + number);
        return mFleet.publish("classes", classes);
    }

    private static Duration awaitEverywhere(List<EntryProcess> entries, long revision)
            throws Exception {
        return Await.until(
                "revision " + revision + " in force at every entry",
                Duration.ofSeconds(20),
                () -> {
                    for (EntryProcess entry : entries) {
                        if (entry.revision() < revision) {
                            return false;
                        }
                    }
                    return true;
                });
    }
}
