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
 * Guards against a configuration revision that takes longer than 4 s to be in force at every entry,
 * and against an entry that reverts to an older revision because the configuration service serves
 * one (guarantee G9).
 */
public class ConfigPropagationProcessTest {
    private static final Duration MAX_PROPAGATION_TIME = Duration.ofSeconds(4);
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
    public void a_revision_takes_effect_everywhere_within_4_s_and_is_never_reverted()
            throws Exception {
        // when revisions are published one after the other
        for (int i = 1; i <= CHANGES; i++) {
            long revision = publishNewRevision(i);
            Duration propagationTime = awaitInForceEverywhere(mFleet.entries(), revision);
            // then
            System.out.println(
                    "ConfigPropagationProcessTest revision "
                            + revision
                            + " in force after "
                            + propagationTime);
            assertThat(propagationTime).isLessThan(MAX_PROPAGATION_TIME);
        }
        // when the service serves an old revision
        long newest = publishNewRevision(CHANGES + 1);
        awaitInForceEverywhere(mFleet.entries(), newest);
        mFleet.configService().control("{\"stale_revision\":1}");
        // then no entry reverts to it for 4 s, which is longer than any poll, watch or gossip
        // interval
        Await.holdsFor(
                "revision " + newest + " stays in force",
                MAX_PROPAGATION_TIME,
                () ->
                        mFleet.entry(0).revision() == newest
                                && mFleet.entry(1).revision() == newest
                                && mFleet.entry(2).revision() == newest);
        // when an entry without any revision starts meanwhile
        EntryProcess fresh = mFleet.entry(2);
        fresh.process().kill();
        fresh.restart();
        Duration readyTime = fresh.awaitReady();
        // then it is ready only with the revision of its peers
        assertThat(fresh.revision()).isEqualTo(newest);
        System.out.println(
                "ConfigPropagationProcessTest fresh entry ready with revision "
                        + newest
                        + " after "
                        + readyTime);
        // when the service recovers
        mFleet.configService().control("{\"reset\":true}");
        long next = publishNewRevision(CHANGES + 2);
        // then
        assertThat(awaitInForceEverywhere(mFleet.entries(), next)).isLessThan(MAX_PROPAGATION_TIME);
    }

    private long publishNewRevision(int number) throws Exception {
        ArrayNode classes = mFleet.publishedValue("classes");
        ((ObjectNode) classes.get(0)).put("worth", 10 + number);
        return mFleet.publish("classes", classes);
    }

    private static Duration awaitInForceEverywhere(List<EntryProcess> entries, long revision)
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
