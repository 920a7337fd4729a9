package org.bulrushvale.decision.attainment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Attainment and error budgets of the fleet, merged from the snapshots of its entries.
 *
 * <pre>{@code
 * BurnReport report =
 *         BurnReport.of(Map.of("entry-1", Optional.of(a), "entry-2", Optional.empty()));
 * report.missing(); // [entry-2]
 * }</pre>
 *
 * <p>Invariant: every named entry is either merged or listed as missing. Thread safety: immutable.
 *
 * @param entries entries whose figures are included
 * @param missing entries that gave no figures
 * @param classes figures by class, over all workspace groups
 * @param groups figures by class and workspace group
 * @param alerts burn rates that exceed their limit over both windows of a pair
 */
public record BurnReport(
        List<String> entries,
        List<String> missing,
        List<AttainmentRow> classes,
        List<AttainmentRow> groups,
        List<Alert> alerts) {
    private static final String ALL = "all";

    /** Merges the snapshots by entry name; an empty one marks the entry as missing. */
    public static BurnReport of(Map<String, Optional<AttainmentSnapshot>> snapshots) {
        List<String> entries = new ArrayList<>();
        List<String> missing = new ArrayList<>();
        Map<String, AttainmentRow> groups = new TreeMap<>();
        Map<String, AttainmentRow> classes = new TreeMap<>();
        new TreeMap<>(snapshots)
                .forEach(
                        (entry, snapshot) -> {
                            (snapshot.isPresent() ? entries : missing).add(entry);
                            for (AttainmentRow row :
                                    snapshot.map(AttainmentSnapshot::rows).orElse(List.of())) {
                                String key = row.workClass() + '\n' + row.group();
                                groups.merge(key, row, AttainmentRow::plus);
                                classes.merge(
                                        row.workClass(), inGroup(row, ALL), AttainmentRow::plus);
                            }
                        });
        List<Alert> alerts = new ArrayList<>();
        classes.values().forEach(row -> alerts.addAll(alerts(row)));
        return new BurnReport(
                entries,
                missing,
                List.copyOf(classes.values()),
                List.copyOf(groups.values()),
                alerts);
    }

    /** Returns the gained part of the offered worth over all classes; 1 without requests. */
    public double worthAttainment() {
        double offered = classes.stream().mapToDouble(AttainmentRow::offeredWorth).sum();
        double gained = classes.stream().mapToDouble(AttainmentRow::gainedWorth).sum();
        return offered == 0 ? 1 : gained / offered;
    }

    private static AttainmentRow inGroup(AttainmentRow row, String group) {
        return new AttainmentRow(
                row.workClass(),
                group,
                row.target(),
                row.counts(),
                row.offeredWorth(),
                row.gainedWorth(),
                row.latency(),
                row.stages(),
                row.windows());
    }

    private static List<Alert> alerts(AttainmentRow row) {
        List<Alert> alerts = new ArrayList<>();
        for (Severity severity : Severity.values()) {
            double shortRate = burnRate(row, severity.mShort);
            double longRate = burnRate(row, severity.mLong);
            if (shortRate >= severity.mLimit && longRate >= severity.mLimit) {
                alerts.add(new Alert(row.workClass(), severity, shortRate, longRate));
            }
        }
        return alerts;
    }

    /** Returns the burn rate of a row over a window. */
    public static double burnRate(AttainmentRow row, BurnWindow window) {
        WindowCount count = row.windows().get(window);
        return count == null ? 0 : count.burnRate(row.target());
    }

    /**
     * A burn rate above its limit. The long window shows that it matters, the short one that it
     * still goes on.
     *
     * <p>Thread safety: immutable.
     *
     * @param workClass name of the class
     * @param severity severity
     * @param shortRate burn rate over the short window
     * @param longRate burn rate over the long window
     */
    public record Alert(String workClass, Severity severity, double shortRate, double longRate) {}

    /**
     * Severity of an alert with its pair of windows.
     *
     * <p>Thread safety: immutable.
     */
    public enum Severity {
        /** 14.4 times the allowed rate uses 2% of a 30-day budget within one hour. */
        FAST(BurnWindow.FIVE_MINUTES, BurnWindow.HOUR, 14.4),
        /** 6 times the allowed rate uses 5% of a 30-day budget within six hours. */
        SLOW(BurnWindow.HALF_HOUR, BurnWindow.SIX_HOURS, 6);

        private final BurnWindow mShort;
        private final BurnWindow mLong;
        private final double mLimit;

        Severity(BurnWindow shortWindow, BurnWindow longWindow, double limit) {
            mShort = shortWindow;
            mLong = longWindow;
            mLimit = limit;
        }
    }
}
