package org.bulrushvale.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.bulrushvale.adapters.metrics.EntryMetrics;
import org.bulrushvale.decision.admission.FairShares;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.Test;

/** Guards against metrics whose number grows with the workspaces. */
public class WorkspaceReportTest {
    private static void start(FairShares shares, String workspace, double work) {
        shares.addWaiting(1, workspace);
        shares.charge(1, workspace, work);
        shares.removeWaiting(1, workspace);
    }

    @Test
    public void only_the_largest_workspaces_have_metrics_of_their_own() {
        // given
        ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
        EntryMetrics metrics = new EntryMetrics();
        FairShares shares = new FairShares(clock);
        WorkspaceReport report = new WorkspaceReport(clock, metrics, "stage", shares);
        for (int minute = 0; minute < 3; minute++) {
            for (int i = 0; i < 200; i++) {
                start(shares, "w" + minute + "-" + i, 1 + i);
                report.waited("w" + minute + "-" + i, "1", Duration.ofMillis(i));
            }
            shares.addWaiting(1, "");
            // when
            report.update();
            clock.advance(Duration.ofMinutes(1));
        }
        // then
        String text = metrics.scrape();
        long used =
                text.lines().filter(l -> l.startsWith("bulrushvale_workspace_share_used{")).count();
        assertThat(used).isEqualTo(WorkspaceReport.MAX_NAMES + 1);
        assertThat(text)
                .contains("workspace=\"w2-199\"", "workspace=\"other\"", "workspace=\"none\"")
                .doesNotContain("workspace=\"w0-199\"")
                .containsPattern("queue_groups\\{rank=\"1\",[^}]*workspace=\"none\"} 3");
    }
}
