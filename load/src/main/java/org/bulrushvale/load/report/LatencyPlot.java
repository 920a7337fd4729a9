package org.bulrushvale.load.report;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * Plots the latency of each class by percentile.
 *
 * <p>Thread safety: stateless.
 */
public final class LatencyPlot {
    private static final double PERCENTILE_STEP = 0.5;

    private LatencyPlot() {}

    /** Writes an SVG or PNG file, depending on the extension of its name. */
    public static void write(RunReport report, Path file) throws IOException {
        XYChart chart =
                new XYChartBuilder()
                        .width(960)
                        .height(600)
                        .title("Latency from the intended start")
                        .xAxisTitle("percentile")
                        .yAxisTitle("ms")
                        .build();
        report.classes().forEach((name, tally) -> addClass(chart, name, tally.latency()));
        if (chart.getSeriesMap().isEmpty()) {
            chart.addSeries("no complete answer", new double[] {0, 100}, new double[] {0, 0});
        }
        String target = file.toString();
        if (target.toLowerCase(Locale.ROOT).endsWith(".svg")) {
            VectorGraphicsEncoder.saveVectorGraphic(chart, target, VectorGraphicsFormat.SVG);
        } else if (target.toLowerCase(Locale.ROOT).endsWith(".png")) {
            BitmapEncoder.saveBitmap(chart, target, BitmapEncoder.BitmapFormat.PNG);
        } else {
            throw new IllegalArgumentException("the name of a plot file must end in .png or .svg");
        }
    }

    private static void addClass(XYChart chart, String name, Histogram latency) {
        if (latency.getTotalCount() == 0) {
            return;
        }
        List<Double> percentiles = new ArrayList<>();
        List<Double> millis = new ArrayList<>();
        for (double percentile = 0; percentile <= 100; percentile += PERCENTILE_STEP) {
            percentiles.add(percentile);
            millis.add(latency.getValueAtPercentile(percentile) / 1000.0);
        }
        chart.addSeries(name, percentiles, millis).setMarker(SeriesMarkers.NONE);
    }
}
