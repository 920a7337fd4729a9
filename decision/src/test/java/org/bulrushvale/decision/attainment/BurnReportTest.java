package org.bulrushvale.decision.attainment;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import org.bulrushvale.decision.config.WorkClass;
import org.bulrushvale.kernel.time.ManualClock;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.testng.annotations.Test;

/**
 * Guards against a merged report that loses or doubles the counts of an entry, or that hides an
 * entry without a snapshot.
 */
public class BurnReportTest {
    private static final WorkClass SEAT =
            new WorkClass("seat", 0.99, Duration.ofSeconds(1), 5, "p", true);

    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);

    @Test
    public void merged_snapshots_keep_all_counts_after_json_and_list_the_missing_entry()
            throws BulrushvaleException {
        // given
        AttainmentTracker first = tracker("entry-1", 90, 10);
        AttainmentTracker second = tracker("entry-2", 100, 0);
        first.onAttemptEnded("seat", "large", "rank", Duration.ofMillis(30), true);
        second.onAttemptEnded("seat", "large", "rank", Duration.ofMillis(20), false);
        // when
        BurnReport report =
                BurnReport.of(
                        Map.of(
                                "entry-1", Optional.of(roundTrip(first)),
                                "entry-2", Optional.of(roundTrip(second)),
                                "entry-3", Optional.empty()));
        // then
        AttainmentRow row = report.classes().get(0);
        assertThat(report.entries()).containsExactly("entry-1", "entry-2");
        assertThat(report.missing()).containsExactly("entry-3");
        assertThat(row.total()).isEqualTo(new WindowCount(200, 10));
        assertThat(row.attainment()).isEqualTo(0.95);
        assertThat(row.budgetLeft()).isCloseTo(-4, tolerance());
        assertThat(row.latency().count()).isEqualTo(190);
        assertThat(row.latency().quantile(0.5)).isEqualTo(Duration.ofMillis(100));
        assertThat(row.stages().get("rank")).isEqualTo(new StageCost(2, 30, 20));
        assertThat(report.worthAttainment()).isCloseTo(0.95, tolerance());
    }

    @Test
    public void alert_is_raised_only_when_both_windows_reach_the_limit()
            throws BulrushvaleException {
        // given a burst of misses that ended ten minutes ago
        AttainmentTracker tracker = tracker("entry-1", 0, 100);
        assertThat(alerts(tracker)).isEqualTo(2);
        mClock.advance(Duration.ofMinutes(10));
        // then only the slow alert is still raised
        assertThat(alerts(tracker)).isEqualTo(1);
        mClock.advance(Duration.ofHours(7));
        assertThat(alerts(tracker)).isZero();
    }

    @Test
    public void requests_cancelled_by_the_caller_do_not_use_the_error_budget() {
        AttainmentTracker tracker = tracker("entry-1", 10, 0);
        tracker.onRequestEnded(SEAT, "large", AttainmentOutcome.CALLER, Duration.ZERO);
        assertThat(tracker.snapshot().rows().get(0).total()).isEqualTo(new WindowCount(10, 0));
        assertThat(tracker.isBelowTarget(SEAT)).isFalse();
        tracker.onRequestEnded(SEAT, "large", AttainmentOutcome.FAULT, Duration.ZERO);
        assertThat(tracker.isBelowTarget(SEAT)).isTrue();
    }

    @Test
    public void workspace_groups_beyond_the_row_limit_share_one_row() {
        AttainmentTracker tracker = new AttainmentTracker("entry-1", mClock);
        for (int i = 0; i < 2 * AttainmentTracker.MAX_ROWS; i++) {
            tracker.onRequestEnded(SEAT, "w" + i, AttainmentOutcome.MET, Duration.ZERO);
        }
        assertThat(tracker.snapshot().rows()).hasSize(AttainmentTracker.MAX_ROWS + 1);
    }

    @Test
    public void malformed_snapshot_is_rejected() {
        String bad = "{\"entry\":\"e\",\"rows\":[{\"latency\":\"AAAA\"}]}";
        assertThatThrownBy(() -> AttainmentSnapshot.fromJson(bad))
                .isInstanceOf(BulrushvaleException.class);
    }

    private AttainmentTracker tracker(String entry, int met, int missed) {
        AttainmentTracker tracker = new AttainmentTracker(entry, mClock);
        for (int i = 0; i < met + missed; i++) {
            AttainmentOutcome cause = i < met ? AttainmentOutcome.MET : AttainmentOutcome.STAGE;
            tracker.onRequestEnded(SEAT, "large", cause, Duration.ofMillis(100));
        }
        return tracker;
    }

    private static AttainmentSnapshot roundTrip(AttainmentTracker tracker)
            throws BulrushvaleException {
        return AttainmentSnapshot.fromJson(tracker.snapshot().toJson());
    }

    private static int alerts(AttainmentTracker tracker) throws BulrushvaleException {
        return BurnReport.of(Map.of("e", Optional.of(roundTrip(tracker)))).alerts().size();
    }

    private static org.assertj.core.data.Offset<Double> tolerance() {
        return org.assertj.core.data.Offset.offset(1e-9);
    }
}
