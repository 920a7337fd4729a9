package org.bulrushvale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import org.bulrushvale.decision.attainment.AttainmentSnapshot;
import org.bulrushvale.decision.attainment.BurnReport;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Prints attainment and error budgets merged over all entries.
 *
 * <p>Invariant: an entry without readable figures is listed as missing. Thread safety: not safe;
 * used by the main thread.
 */
@Command(
        name = "burn",
        description = "Show attainment, error budgets and cost, merged over all entries.")
final class BurnCommand implements Callable<Integer> {
    @Mixin private final EntryOptions mOptions = new EntryOptions();

    @Option(names = "--html", paramLabel = "FILE", description = "also write an HTML page")
    private @Nullable Path mHtmlFile;

    private final PrintWriter mOut;

    BurnCommand(PrintWriter out) {
        mOut = out;
    }

    @Override
    public Integer call() throws CliException {
        Map<String, Optional<AttainmentSnapshot>> snapshots = new LinkedHashMap<>();
        Set<String> mergedEntries = new HashSet<>();
        try (EntryClient client = mOptions.client()) {
            EntryQuery.queryAll(client, mOptions.entries(), "/v1/burn")
                    .forEach(
                            (name, json) ->
                                    snapshots.put(name, parseUnlessMerged(mergedEntries, json)));
        }
        BurnReport report = BurnReport.of(snapshots);
        if (mHtmlFile != null) {
            try {
                Files.writeString(mHtmlFile, BurnPage.of(report, Clock.systemUTC().instant()));
            } catch (IOException e) {
                throw CliException.refused("cannot write " + mHtmlFile);
            }
        }
        boolean json = mOptions.isJson();
        mOut.print(json ? BurnView.json(report).toPrettyString() + "\n" : BurnView.table(report));
        mOut.flush();
        return CliException.OK;
    }

    /** Parses the figures; empty if the same entry already answered at another address. */
    private static Optional<AttainmentSnapshot> parseUnlessMerged(
            Set<String> mergedEntries, Optional<JsonNode> json) {
        return json.flatMap(BurnCommand::parse)
                .filter(snapshot -> mergedEntries.add(snapshot.entry()));
    }

    private static Optional<AttainmentSnapshot> parse(JsonNode json) {
        try {
            return Optional.of(AttainmentSnapshot.fromJson(json.toString()));
        } catch (BulrushvaleException e) {
            return Optional.empty();
        }
    }
}
