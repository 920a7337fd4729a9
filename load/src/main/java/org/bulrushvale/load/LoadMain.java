package org.bulrushvale.load;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import org.bulrushvale.kernel.time.Clock;
import org.bulrushvale.load.client.RequestSender;
import org.bulrushvale.load.mix.Mix;
import org.bulrushvale.load.report.ClassTally;
import org.bulrushvale.load.report.LatencyPlot;
import org.bulrushvale.load.report.RunReport;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * {@code bulrushvale-load}: sends a mix of requests at a given rate and reports the outcomes.
 *
 * <p>Thread safety: used by the main thread.
 */
@Command(
        name = "bulrushvale-load",
        description = "Sends a mix of requests at a given rate and reports their outcomes.",
        mixinStandardHelpOptions = true,
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {
            "0:the run met every bound",
            "1:an answer violated the protocol",
            "2:bad arguments or a bad mix file",
            "3:attainment below --min-attainment",
            "4:no entry could be reached",
            "5:an answer was cut and --fail-on-cut is set",
            "6:a report or plot could not be written"
        })
public final class LoadMain implements Callable<Integer> {
    static final int OK = 0;
    static final int INVALID_ANSWER = 1;
    static final int BAD_ARGUMENTS = 2;
    static final int LOW_ATTAINMENT = 3;
    static final int UNREACHABLE = 4;
    static final int CUT = 5;
    static final int NOT_WRITTEN = 6;

    @Option(
            names = "--entry",
            required = true,
            split = ",",
            description = "Base addresses of entries, used in turn, e.g. http://127.0.0.1:8080")
    List<URI> mEntries = List.of();

    @Option(names = "--mix", required = true, description = "INI file with the traffic mix.")
    Path mMixFile = Path.of("mix.ini");

    @Option(names = "--rate", description = "Arrivals per second instead of the mix file's.")
    @Nullable Double mRatePerSecond;

    @Option(names = "--duration", description = "Seconds instead of the mix file's.")
    @Nullable Double mDurationSeconds;

    @Option(names = "--count", description = "Maximum number of requests.")
    long mCount = Long.MAX_VALUE;

    @Option(names = "--seed", defaultValue = "1", description = "Seed of the arrivals.")
    long mSeed = 1;

    @Option(
            names = "--max-in-flight",
            defaultValue = "2000",
            description =
                    "Maximum number of requests in flight; arrivals above it count as unsent.")
    int mMaxInFlight = 2000;

    @Option(names = "--report", description = "JSON file to write.")
    @Nullable Path mReportFile;

    @Option(names = "--plot", description = "PNG or SVG file to write.")
    @Nullable Path mPlotFile;

    @Option(
            names = "--min-attainment",
            description = "Lowest accepted attainment over all classes.")
    double mMinAttainment;

    @Option(names = "--fail-on-cut", description = "Fail when any answer was cut.")
    boolean mFailOnCut;

    @Option(
            names = "--check-request-id",
            description =
                    "Outputs must contain the request id, as the outputs of stand-in servers do.")
    boolean mCheckRequestId;

    private LoadMain() {}

    /** Runs the tool. */
    public static void main(String[] args) {
        System.setProperty("java.awt.headless", "true");
        System.exit(execute(args));
    }

    static int execute(String... args) {
        return new CommandLine(new LoadMain()).execute(args);
    }

    @Override
    public Integer call() throws InterruptedException {
        PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
        RunReport report;
        try {
            Mix mix = Mix.read(mMixFile);
            LoadRun.Bounds bounds =
                    new LoadRun.Bounds(
                            mRatePerSecond == null ? mix.rate() : mRatePerSecond,
                            mDurationSeconds == null
                                    ? mix.duration()
                                    : Duration.ofMillis((long) (mDurationSeconds * 1000)),
                            mCount,
                            mSeed,
                            mMaxInFlight);
            out.printf("seed=%d rate=%.1f/s entries=%s%n", mSeed, bounds.rate(), mEntries);
            RequestSender sender = new RequestSender(mEntries, Clock.system(), mCheckRequestId);
            report = new LoadRun(mix, bounds, sender, Clock.system(), out).run();
        } catch (IllegalArgumentException | IOException e) {
            out.println("bulrushvale-load: " + e.getMessage());
            return BAD_ARGUMENTS;
        }
        report.classes()
                .forEach(
                        (name, tally) ->
                                out.printf(
                                        "%s: attainment=%.4f %s%n",
                                        name, tally.attainment(), tally.summaryLine()));
        ClassTally total = report.total();
        out.printf("total: attainment=%.4f %s%n", total.attainment(), total.summaryLine());
        return writeFiles(report, out) ? exitCode(total) : NOT_WRITTEN;
    }

    private boolean writeFiles(RunReport report, PrintWriter out) {
        try {
            if (mReportFile != null) {
                report.write(mReportFile);
            }
            if (mPlotFile != null) {
                LatencyPlot.write(report, mPlotFile);
            }
            return true;
        } catch (IOException | IllegalArgumentException e) {
            out.println("bulrushvale-load: not written: " + e.getMessage());
            return false;
        }
    }

    private int exitCode(ClassTally total) {
        if (total.invalid() > 0) {
            return INVALID_ANSWER;
        }
        if (total.isUnreachable()) {
            return UNREACHABLE;
        }
        if (mFailOnCut && total.cut() > 0) {
            return CUT;
        }
        return total.attainment() < mMinAttainment ? LOW_ATTAINMENT : OK;
    }
}
