package org.bulrushvale.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.bulrushvale.decision.attainment.AttainmentOutcome;
import org.bulrushvale.decision.attainment.AttainmentRow;
import org.bulrushvale.decision.attainment.BurnReport;
import org.bulrushvale.decision.attainment.BurnWindow;
import org.bulrushvale.decision.attainment.StageCost;

/**
 * Renders a burn report, which shows the use of error budgets, as JSON or as text.
 *
 * <p>Thread safety: stateless.
 */
final class BurnView {
    private static final double P50 = 0.5;
    private static final double P95 = 0.95;
    private static final double P99 = 0.99;

    private BurnView() {}

    static ObjectNode json(BurnReport report) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        report.entries().forEach(json.putArray("entries")::add);
        report.missing().forEach(json.putArray("missing")::add);
        json.put("worth_attainment", report.worthAttainment());
        ArrayNode classes = json.putArray("classes");
        report.classes().forEach(row -> addRow(classes.addObject(), row));
        ArrayNode groups = json.putArray("groups");
        report.groups().forEach(row -> addRow(groups.addObject(), row));
        ArrayNode stages = json.putArray("stages");
        stageCosts(report)
                .forEach(
                        (stage, cost) ->
                                stages.addObject()
                                        .put("stage", stage)
                                        .put("attempts", cost.attempts())
                                        .put("used_ms", cost.usedMs())
                                        .put("wasted_ms", cost.wastedMs()));
        ArrayNode alerts = json.putArray("alerts");
        for (BurnReport.Alert alert : report.alerts()) {
            alerts.addObject()
                    .put("class", alert.workClass())
                    .put("severity", alert.severity().name())
                    .put("short_rate", alert.shortRate())
                    .put("long_rate", alert.longRate());
        }
        return json;
    }

    static String table(BurnReport report) {
        StringBuilder text = new StringBuilder();
        text.append("entries: ").append(report.entries().size());
        text.append("  missing: ");
        text.append(report.missing().isEmpty() ? "none" : String.join(", ", report.missing()));
        text.append("  worth attainment: ")
                .append(formatNumber(report.worthAttainment()))
                .append("\n\n");
        List<List<String>> lines = new ArrayList<>();
        lines.add(
                List.of(
                        "class",
                        "group",
                        "target",
                        "attained",
                        "budget left",
                        "total",
                        "queue",
                        "stage",
                        "refusal",
                        "fault",
                        "p50 ms",
                        "p95 ms",
                        "p99 ms",
                        "burn 5m",
                        "burn 1h",
                        "burn 6h"));
        report.classes().forEach(row -> lines.add(rowCells(row)));
        report.groups().forEach(row -> lines.add(rowCells(row)));
        text.append(Tables.align(lines)).append('\n');
        List<List<String>> stages = new ArrayList<>();
        stages.add(List.of("pipeline stage", "attempts", "used s", "wasted s"));
        stageCosts(report)
                .forEach(
                        (stage, cost) ->
                                stages.add(
                                        List.of(
                                                stage,
                                                Long.toString(cost.attempts()),
                                                formatNumber(cost.usedMs() / 1_000),
                                                formatNumber(cost.wastedMs() / 1_000))));
        text.append(Tables.align(stages));
        for (BurnReport.Alert alert : report.alerts()) {
            text.append("\nALERT ").append(alert.severity()).append(' ').append(alert.workClass());
            text.append(": burn rate ")
                    .append(formatNumber(alert.shortRate()))
                    .append(" (short), ");
            text.append(formatNumber(alert.longRate())).append(" (long)");
        }
        return text.append('\n').toString();
    }

    static Map<String, StageCost> stageCosts(BurnReport report) {
        Map<String, StageCost> costs = new TreeMap<>();
        for (AttainmentRow row : report.classes()) {
            row.stages().forEach((stage, cost) -> costs.merge(stage, cost, StageCost::plus));
        }
        return costs;
    }

    private static void addRow(ObjectNode json, AttainmentRow row) {
        json.put("class", row.workClass());
        json.put("group", row.group());
        json.put("target", row.target());
        json.put("attainment", row.attainment());
        json.put("budget_left", row.budgetLeft());
        json.put("offered_worth", row.offeredWorth());
        json.put("gained_worth", row.gainedWorth());
        ObjectNode counts = json.putObject("counts");
        for (AttainmentOutcome outcome : AttainmentOutcome.values()) {
            counts.put(outcome.name().toLowerCase(Locale.ROOT), count(row, outcome));
        }
        ObjectNode latency = json.putObject("latency_ms");
        latency.put("p50", row.latency().quantile(P50).toMillis());
        latency.put("p95", row.latency().quantile(P95).toMillis());
        latency.put("p99", row.latency().quantile(P99).toMillis());
        ObjectNode burn = json.putObject("burn_rate");
        for (BurnWindow window : BurnWindow.values()) {
            burn.put(window.length().toMinutes() + "m", BurnReport.burnRate(row, window));
        }
    }

    private static List<String> rowCells(AttainmentRow row) {
        List<String> cells = new ArrayList<>(List.of(row.workClass(), row.group()));
        cells.add(formatNumber(row.target()));
        cells.add(formatNumber(row.attainment()));
        cells.add(formatNumber(row.budgetLeft()));
        cells.add(Long.toString(row.total().total()));
        for (AttainmentOutcome outcome :
                List.of(
                        AttainmentOutcome.QUEUE,
                        AttainmentOutcome.STAGE,
                        AttainmentOutcome.REFUSAL,
                        AttainmentOutcome.FAULT)) {
            cells.add(Long.toString(count(row, outcome)));
        }
        for (double quantile : new double[] {P50, P95, P99}) {
            cells.add(Long.toString(row.latency().quantile(quantile).toMillis()));
        }
        cells.add(formatNumber(BurnReport.burnRate(row, BurnWindow.FIVE_MINUTES)));
        cells.add(formatNumber(BurnReport.burnRate(row, BurnWindow.HOUR)));
        cells.add(formatNumber(BurnReport.burnRate(row, BurnWindow.SIX_HOURS)));
        return cells;
    }

    private static long count(AttainmentRow row, AttainmentOutcome outcome) {
        return row.counts().getOrDefault(outcome, 0L);
    }

    private static String formatNumber(double value) {
        return String.format(Locale.ROOT, "%.4f", value);
    }
}
