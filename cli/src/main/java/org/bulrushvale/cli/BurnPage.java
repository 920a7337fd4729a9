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
 * <p>Invariant: the page refers to no other file or host; every name from the report is escaped.
 * Thread safety: stateless.
 */
final class BurnPage {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 360;
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
            page.append(escape(String.join(", ", report.missing()))).append("</p>\n");
        }
        page.append("<pre>").append(escape(BurnView.table(report))).append("</pre>\n");
        if (!report.classes().isEmpty()) {
            append(page, "Attainment and target by class", attainment(report));
            append(page, "Burn rate by class and window (1 uses the budget exactly)", burn(report));
        }
        Map<String, StageCost> costs = BurnView.stageCosts(report);
        if (!costs.isEmpty()) {
            append(page, "Backend seconds by stage", cost(costs));
        }
        return page.append("</body></html>\n").toString();
    }

    private static CategoryChart attainment(BurnReport report) {
        CategoryChart chart = chart("fraction in time");
        List<String> names = names(report);
        chart.addSeries(
                "target", names, report.classes().stream().map(AttainmentRow::target).toList());
        chart.addSeries(
                "attained",
                names,
                report.classes().stream().map(AttainmentRow::attainment).toList());
        return chart;
    }

    private static CategoryChart burn(BurnReport report) {
        CategoryChart chart = chart("burn rate");
        for (BurnWindow window : BurnWindow.values()) {
            List<Double> rates = new ArrayList<>();
            report.classes().forEach(row -> rates.add(BurnReport.burnRate(row, window)));
            chart.addSeries(window.length().toMinutes() + " min", names(report), rates);
        }
        return chart;
    }

    private static CategoryChart cost(Map<String, StageCost> costs) {
        CategoryChart chart = chart("seconds");
        chart.getStyler().setStacked(true);
        List<String> stages = List.copyOf(costs.keySet());
        chart.addSeries(
                "used", stages, costs.values().stream().map(c -> c.usedMs() / 1_000).toList());
        chart.addSeries(
                "wasted", stages, costs.values().stream().map(c -> c.wastedMs() / 1_000).toList());
        return chart;
    }

    private static CategoryChart chart(String axis) {
        CategoryChart chart =
                new CategoryChartBuilder().width(WIDTH).height(HEIGHT).yAxisTitle(axis).build();
        chart.getStyler().setChartBackgroundColor(Color.WHITE);
        chart.getStyler().setYAxisMin(0.0);
        return chart;
    }

    private static List<String> names(BurnReport report) {
        return report.classes().stream().map(AttainmentRow::workClass).toList();
    }

    private static void append(StringBuilder page, String title, CategoryChart chart)
            throws IOException {
        byte[] png = BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG);
        page.append("<h2>").append(escape(title)).append("</h2>\n<img alt=\"");
        page.append(escape(title)).append("\" src=\"data:image/png;base64,");
        page.append(Base64.getEncoder().encodeToString(png)).append("\">\n");
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
