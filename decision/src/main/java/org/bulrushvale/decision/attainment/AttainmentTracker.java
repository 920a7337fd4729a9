package org.bulrushvale.decision.attainment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.bulrushvale.decision.config.WorkClass;
import org.bulrushvale.kernel.time.Clock;

/**
 * Counts the requests of one entry by their outcome, and the backend time of their attempts.
 *
 * <pre>{@code
 * tracker.onRequestEnded(workClass, "large", AttainmentOutcome.MET, Duration.ofMillis(310));
 * AttainmentSnapshot snapshot = tracker.snapshot();
 * }</pre>
 *
 * <p>Invariant: every ended request is counted exactly once. Once {@value #MAX_ROWS} rows exist,
 * further workspace groups share one row per class, the group {@value #OTHER_GROUP}.
 *
 * <p>Thread safety: not safe; owned by the event loop.
 */
public final class AttainmentTracker {
    /** Name of the group for workspaces that have no row of their own. */
    public static final String OTHER_GROUP = "other";

    /**
     * Maximum number of rows of named groups. A row takes about 20 KB, so these stay below 6 MB.
     */
    public static final int MAX_ROWS = 256;

    private static final int MAX_STAGES = 32;

    private final String mEntry;
    private final Clock mClock;
    private final Map<List<String>, RowState> mRows = new LinkedHashMap<>();

    /**
     * Counts by class over all groups, kept separately because the admission queue reads them for
     * every request.
     */
    private final Map<String, MinuteCounts> mClassCounts = new HashMap<>();

    /** Creates an empty tracker for the entry of the given name. */
    public AttainmentTracker(String entry, Clock clock) {
        mEntry = entry;
        mClock = clock;
    }

    /** Counts the end of a request. */
    public void onRequestEnded(
            WorkClass workClass, String group, AttainmentOutcome outcome, Duration latency) {
        RowState row = row(workClass.name(), group);
        row.mTarget = workClass.target();
        row.mOutcomeCounts.merge(outcome, 1L, Long::sum);
        if (!outcome.countsTowardsTarget()) {
            return;
        }
        row.mOfferedWorth += workClass.worth();
        row.mGainedWorth += outcome.missesTarget() ? 0 : workClass.worth();
        row.mMinuteCounts.add(minute(), outcome.missesTarget());
        mClassCounts
                .computeIfAbsent(workClass.name(), name -> new MinuteCounts())
                .add(minute(), outcome.missesTarget());
        if (outcome == AttainmentOutcome.MET) {
            row.mLatency.record(latency);
        }
    }

    /**
     * Counts the backend time of one attempt. Only the first {@value #MAX_STAGES} stages of a row
     * are counted; attempts of further stages are ignored.
     *
     * @param used true when the result of the attempt was used
     */
    public void onAttemptEnded(
            String workClass, String group, String stage, Duration backendTime, boolean used) {
        RowState row = row(workClass, group);
        if (row.mStages.size() >= MAX_STAGES && !row.mStages.containsKey(stage)) {
            return;
        }
        double ms = backendTime.toNanos() / 1e6;
        StageCost cost = new StageCost(1, used ? ms : 0, used ? 0 : ms);
        row.mStages.merge(stage, cost, StageCost::plus);
    }

    /** Returns true when the class missed its target over the last five minutes. */
    public boolean isBelowTarget(WorkClass workClass) {
        MinuteCounts counts = mClassCounts.get(workClass.name());
        return counts != null
                && counts.count(minute(), BurnWindow.FIVE_MINUTES).burnRate(workClass.target()) > 1;
    }

    /** Returns the current counts. */
    public AttainmentSnapshot snapshot() {
        long minute = minute();
        List<AttainmentRow> rows = new ArrayList<>();
        mRows.forEach((key, row) -> rows.add(row.snapshot(key.get(0), key.get(1), minute)));
        return new AttainmentSnapshot(mEntry, rows);
    }

    private long minute() {
        return Math.floorDiv(mClock.monotonicNanos(), Duration.ofMinutes(1).toNanos());
    }

    private RowState row(String workClass, String group) {
        RowState row = mRows.get(List.of(workClass, group));
        if (row != null) {
            return row;
        }
        String name = mRows.size() < MAX_ROWS ? group : OTHER_GROUP;
        return mRows.computeIfAbsent(List.of(workClass, name), key -> new RowState());
    }

    private static final class RowState {
        private final Map<AttainmentOutcome, Long> mOutcomeCounts =
                new EnumMap<>(AttainmentOutcome.class);
        private final Map<String, StageCost> mStages = new TreeMap<>();
        private final LatencyHistogram mLatency = new LatencyHistogram();
        private final MinuteCounts mMinuteCounts = new MinuteCounts();
        private double mTarget = 1;
        private double mOfferedWorth;
        private double mGainedWorth;

        private AttainmentRow snapshot(String workClass, String group, long minute) {
            Map<BurnWindow, WindowCount> windows = new EnumMap<>(BurnWindow.class);
            for (BurnWindow window : BurnWindow.values()) {
                windows.put(window, mMinuteCounts.count(minute, window));
            }
            LatencyHistogram latency = new LatencyHistogram();
            latency.addAll(mLatency);
            return new AttainmentRow(
                    workClass,
                    group,
                    mTarget,
                    new EnumMap<>(mOutcomeCounts),
                    mOfferedWorth,
                    mGainedWorth,
                    latency,
                    new TreeMap<>(mStages),
                    windows);
        }
    }
}
