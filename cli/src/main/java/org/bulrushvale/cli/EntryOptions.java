package org.bulrushvale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.time.Duration;
import picocli.CommandLine.Option;

/**
 * Options of the commands that ask an entry.
 *
 * <p>Thread safety: not safe; used by the main thread.
 */
final class EntryOptions {
    @Option(
            names = "--entry",
            paramLabel = "HOST:PORT",
            defaultValue = "${env:BULRUSHVALE_ENTRY}",
            description = "operator listener of an entry (default: $BULRUSHVALE_ENTRY)")
    private String mEntry = "";

    @Option(
            names = "--output",
            paramLabel = "FORMAT",
            defaultValue = "table",
            description = "${COMPLETION-CANDIDATES} (default: table)")
    private OutputFormat mOutput = OutputFormat.TABLE;

    @Option(
            names = "--timeout-ms",
            paramLabel = "MS",
            defaultValue = "5000",
            description = "longest wait for an entry (default: 5000)")
    private int mTimeoutMs = 5_000;

    HostPort entry() throws CliException {
        if (mEntry == null || mEntry.isEmpty()) {
            throw CliException.usage("--entry HOST:PORT or $BULRUSHVALE_ENTRY is required");
        }
        return HostPort.parse(mEntry);
    }

    EntryClient client() {
        return new EntryClient(Duration.ofMillis(mTimeoutMs));
    }

    OutputFormat output() {
        return mOutput;
    }

    void print(PrintWriter out, JsonNode json) {
        out.print(mOutput == OutputFormat.JSON ? json.toPrettyString() + "\n" : Tables.of(json));
        out.flush();
    }
}
