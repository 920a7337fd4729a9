package org.bulrushvale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Options of the commands that call an entry.
 *
 * <p>Thread safety: not safe; used by the main thread.
 */
final class EntryOptions {
    @Option(
            names = "--entry",
            paramLabel = "HOST:PORT[,HOST:PORT...]",
            defaultValue = "${env:BULRUSHVALE_ENTRY}",
            description = {
                "operator listener of an entry (default: $BULRUSHVALE_ENTRY);",
                "commands over the whole fleet ask exactly these when several are given,",
                "else the entry and its peers"
            })
    private String mEntries = "";

    @Mixin private OutputOption mOutput = new OutputOption();

    @Option(
            names = "--timeout-ms",
            paramLabel = "MS",
            defaultValue = "5000",
            description = "longest wait for an entry (default: 5000)")
    private int mTimeoutMs = 5_000;

    HostPort entry() throws CliException {
        return entries().get(0);
    }

    List<HostPort> entries() throws CliException {
        if (mEntries == null || mEntries.isEmpty()) {
            throw CliException.usage("--entry HOST:PORT or $BULRUSHVALE_ENTRY is required");
        }
        List<HostPort> entries = new ArrayList<>();
        for (String entry : mEntries.split(",", -1)) {
            entries.add(HostPort.parse(entry));
        }
        return entries;
    }

    EntryClient client() {
        return new EntryClient(Duration.ofMillis(mTimeoutMs));
    }

    boolean isJson() {
        return mOutput.isJson();
    }

    void print(PrintWriter out, JsonNode json) {
        out.print(mOutput.isJson() ? json.toPrettyString() + "\n" : Tables.render(json));
        out.flush();
    }
}
