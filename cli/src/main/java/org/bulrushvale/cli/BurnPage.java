package org.bulrushvale.cli;

import java.awt.Color;
import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import org.bulrushvale.decision.attainment.AttainmentRow;
import org.bulrushvale.decision.attainment.BurnReport;
import org.bulrushvale.decision.attainment.BurnWindow;
import org.bulrushvale.decision.attainment.StageCost;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/**
 * Renders a burn report as one HTML page with its plots embedded.
 *
 * <p>Invariant: the page contains no reference to another file or host; every name from the report
 * is escaped. Thread safety: stateless.
 */
final class BurnPage {
    private static final int CHART_WIDTH_PIXELS = 900;
    private static final int CHART_HEIGHT_PIXELS = 360;
    private static final String STYLE =
            "body{font-family:sans-serif;margin:2em auto;max-width:70em;padding:0 1em}"
                    + "pre{overflow-x:auto;background:#f4f6f8;padding:1em}"
                    + "img{max-width:100%}.missing{color:#a40000;font-weight:bold}";

    private BurnPage() {}

    static String of(BurnReport report, Instant now) throws IOException {
        StringBuilder page = new StringBuilder();
        page.append("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">");
        page.append("<title>Burn report</title><style>").append(STYLE).append("</style></head>");
        page.append("<body>\n<h1>Burn report</h1>\n<p>").append(now).append("</p>\n");
        if (!report.missing().isEmpty()) {
            page.append("<p class=\"missing\">No figures from: ");
            page.append(escapeHtml(String.join(", ", report.missing()))).append("</p>\n");
        }
        page.append("<pre>").append(escapeHtml(BurnView.table(report))).append("</pre>\n");
        if (!report.classes().isEmpty()) {
            appendChart(page, "Attainment and target by class", attainmentChart(report));
            appendChart(
                    page,
                    "Burn rate by class and window (1 uses the budget exactly)",
                    burnRateChart(report));
        }
        Map<String, StageCost> costs = BurnView.stageCosts(report);
        if (!costs.isEmpty()) {
            appendChart(page, "Backend seconds by stage", stageCostChart(costs));
        }
        return page.append("</body></html>\n").toString();
    }

    private static CategoryChart attainmentChart(BurnReport report) {
        CategoryChart chart = emptyChart("fraction in time");
        List<String> names = classNames(report);
        chart.addSeries(
                "target", names, report.classes().stream().map(AttainmentRow::target).toList());
        chart.addSeries(
                "attained",
                names,
                report.classes().stream().map(AttainmentRow::attainment).toList());
        return chart;
    }

    private static CategoryChart burnRateChart(BurnReport report) {
        CategoryChart chart = emptyChart("burn rate");
        for (BurnWindow window : BurnWindow.values()) {
            List<Double> rates = new ArrayList<>();
            report.classes().forEach(row -> rates.add(BurnReport.burnRate(row, window)));
            chart.addSeries(window.length().toMinutes() + " min", classNames(report), rates);
        }
        return chart;
    }

    private static CategoryChart stageCostChart(Map<String, StageCost> costs) {
        CategoryChart chart = emptyChart("seconds");
        chart.getStyler().setStacked(true);
        List<String> stages = List.copyOf(costs.keySet());
        chart.addSeries(
                "used", stages, costs.values().stream().map(c -> c.usedMs() / 1_000).toList());
        chart.addSeries(
                "wasted", stages, costs.values().stream().map(c -> c.wastedMs() / 1_000).toList());
        return chart;
    }

    private static CategoryChart emptyChart(String yAxisTitle) {
        CategoryChart chart =
                new CategoryChartBuilder()
                        .width(CHART_WIDTH_PIXELS)
                        .height(CHART_HEIGHT_PIXELS)
                        .yAxisTitle(yAxisTitle)
                        .build();
        chart.getStyler().setChartBackgroundColor(Color.WHITE);
        chart.getStyler().setYAxisMin(0.0);
        return chart;
    }

    private static List<String> classNames(BurnReport report) {
        return report.classes().stream().map(AttainmentRow::workClass).toList();
    }

    private static void appendChart(StringBuilder page, String title, CategoryChart chart)
            throws IOException {
        byte[] png = BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG);
        page.append("<h2>").append(escapeHtml(title)).append("</h2>\n<img alt=\"");
        page.append(escapeHtml(title)).append("\" src=\"data:image/png;base64,");
        page.append(Base64.getEncoder().encodeToString(png)).append("\">\n");
    }

    private static String escapeHtml(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
