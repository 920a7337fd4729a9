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
 * Counts what became of the requests of one entry.
 *
 * <pre>{@code
 * tracker.onEnd(workClass, "large", Cause.MET, Duration.ofMillis(310));
 * AttainmentSnapshot snapshot = tracker.snapshot();
 * }</pre>
 *
 * <p>Invariant: every ended request is counted exactly once. Once {@value #MAX_ROWS} rows exist,
 * further workspace groups share one row per class, the group {@value #OTHER}.
 *
 * <p>Thread safety: not safe; owned by the event loop.
 */
public final class AttainmentTracker {
    /** Group that takes the workspaces that have no row of their own. */
    public static final String OTHER = "other";

    /** A row takes about 20 KB, so all rows stay below 6 MB. */
    public static final int MAX_ROWS = 256;

    private static final int MAX_STAGES = 32;

    private final String mEntry;
    private final Clock mClock;
    private final Map<List<String>, Row> mRows = new LinkedHashMap<>();

    /** Sums over the groups, because the admission queue asks for them with every request. */
    private final Map<String, WindowRing> mClasses = new HashMap<>();

    /** Creates an empty tracker for the entry of the given name. */
    public AttainmentTracker(String entry, Clock clock) {
        mEntry = entry;
        mClock = clock;
    }

    /** Counts the end of a request. */
    public void onRequestEnded(
            WorkClass workClass, String group, AttainmentOutcome cause, Duration latency) {
        Row row = row(workClass.name(), group);
        row.mTarget = workClass.target();
        row.mCounts.merge(cause, 1L, Long::sum);
        if (!cause.counts()) {
            return;
        }
        row.mOfferedWorth += workClass.worth();
        row.mGainedWorth += cause.missed() ? 0 : workClass.worth();
        row.mRing.add(minute(), cause.missed());
        mClasses.computeIfAbsent(workClass.name(), name -> new WindowRing())
                .add(minute(), cause.missed());
        if (cause == AttainmentOutcome.MET) {
            row.mLatency.record(latency);
        }
    }

    /** Counts the backend time of one attempt. */
    public void onAttemptEnded(
            String workClass, String group, String stage, Duration backendTime, boolean used) {
        Row row = row(workClass, group);
        if (row.mStages.size() >= MAX_STAGES && !row.mStages.containsKey(stage)) {
            return;
        }
        double ms = backendTime.toNanos() / 1e6;
        StageCost cost = new StageCost(1, used ? ms : 0, used ? 0 : ms);
        row.mStages.merge(stage, cost, StageCost::plus);
    }

    /** Returns true when the class missed its target over the short window. */
    public boolean isBelowTarget(WorkClass workClass) {
        WindowRing ring = mClasses.get(workClass.name());
        return ring != null
                && ring.count(minute(), BurnWindow.FIVE_MINUTES).burnRate(workClass.target()) > 1;
    }

    /** Returns the figures as they are now. */
    public AttainmentSnapshot snapshot() {
        long minute = minute();
        List<AttainmentRow> rows = new ArrayList<>();
        mRows.forEach((key, row) -> rows.add(row.snapshot(key.get(0), key.get(1), minute)));
        return new AttainmentSnapshot(mEntry, rows);
    }

    private long minute() {
        return Math.floorDiv(mClock.monotonicNanos(), Duration.ofMinutes(1).toNanos());
    }

    private Row row(String workClass, String group) {
        Row row = mRows.get(List.of(workClass, group));
        if (row != null) {
            return row;
        }
        String name = mRows.size() < MAX_ROWS ? group : OTHER;
        return mRows.computeIfAbsent(List.of(workClass, name), key -> new Row());
    }

    private static final class Row {
        private final Map<AttainmentOutcome, Long> mCounts = new EnumMap<>(AttainmentOutcome.class);
        private final Map<String, StageCost> mStages = new TreeMap<>();
        private final LatencyHistogram mLatency = new LatencyHistogram();
        private final WindowRing mRing = new WindowRing();
        private double mTarget = 1;
        private double mOfferedWorth;
        private double mGainedWorth;

        private AttainmentRow snapshot(String workClass, String group, long minute) {
            Map<BurnWindow, WindowCount> windows = new EnumMap<>(BurnWindow.class);
            for (BurnWindow window : BurnWindow.values()) {
                windows.put(window, mRing.count(minute, window));
            }
            LatencyHistogram latency = new LatencyHistogram();
            latency.addAll(mLatency);
            return new AttainmentRow(
                    workClass,
                    group,
                    mTarget,
                    new EnumMap<>(mCounts),
                    mOfferedWorth,
                    mGainedWorth,
                    latency,
                    new TreeMap<>(mStages),
                    windows);
        }
    }
}
