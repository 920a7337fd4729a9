package org.bulrushvale.decision.attainment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Attainment and burn rates of the fleet, merged from the snapshots of its entries.
 *
 * <pre>{@code
 * BurnReport report =
 *         BurnReport.of(Map.of("entry-1", Optional.of(a), "entry-2", Optional.empty()));
 * report.missing(); // [entry-2]
 * }</pre>
 *
 * <p>Invariant: every given entry is either merged or listed as missing. Thread safety: immutable.
 *
 * @param entries names of the entries whose snapshots are merged
 * @param missing names of the entries without a snapshot
 * @param classes one row for each class, over all workspace groups
 * @param groups one row for each class and workspace group
 * @param alerts alerts of classes whose burn rate reaches the limit over both windows of a severity
 */
public record BurnReport(
        List<String> entries,
        List<String> missing,
        List<AttainmentRow> classes,
        List<AttainmentRow> groups,
        List<Alert> alerts) {
    private static final String ALL_GROUPS = "all";

    /**
     * Merges snapshots, given by entry name; an entry without a snapshot is reported as missing.
     */
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
                                        row.workClass(),
                                        withGroup(row, ALL_GROUPS),
                                        AttainmentRow::plus);
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

    /** Returns gained worth divided by offered worth over all classes, or 1 without requests. */
    public double worthAttainment() {
        double offered = classes.stream().mapToDouble(AttainmentRow::offeredWorth).sum();
        double gained = classes.stream().mapToDouble(AttainmentRow::gainedWorth).sum();
        return offered == 0 ? 1 : gained / offered;
    }

    private static AttainmentRow withGroup(AttainmentRow row, String group) {
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
            double shortRate = burnRate(row, severity.mShortWindow);
            double longRate = burnRate(row, severity.mLongWindow);
            if (shortRate >= severity.mMinBurnRate && longRate >= severity.mMinBurnRate) {
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
     * Alert for a class whose burn rate reaches its limit. The long window shows that the misses
     * are significant, the short window shows that they still occur.
     *
     * <p>Thread safety: immutable.
     *
     * @param workClass name of the class
     * @param severity severity of the alert
     * @param shortRate burn rate over the short window
     * @param longRate burn rate over the long window
     */
    public record Alert(String workClass, Severity severity, double shortRate, double longRate) {}

    /**
     * Severity of an alert, with its pair of windows and the burn rate from which it is raised.
     *
     * <p>Thread safety: immutable.
     */
    public enum Severity {
        /** 14.4 times the allowed rate uses 2% of a 30-day budget within one hour. */
        FAST(BurnWindow.FIVE_MINUTES, BurnWindow.HOUR, 14.4),
        /** 6 times the allowed rate uses 5% of a 30-day budget within six hours. */
        SLOW(BurnWindow.HALF_HOUR, BurnWindow.SIX_HOURS, 6);

        private final BurnWindow mShortWindow;
        private final BurnWindow mLongWindow;
        private final double mMinBurnRate;

        Severity(BurnWindow shortWindow, BurnWindow longWindow, double minBurnRate) {
            mShortWindow = shortWindow;
            mLongWindow = longWindow;
            mMinBurnRate = minBurnRate;
        }
    }
}
