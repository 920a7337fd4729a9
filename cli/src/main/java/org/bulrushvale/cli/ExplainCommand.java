package org.bulrushvale.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/**
 * Joins the decision logs of several entries into the timeline of one request.
 *
 * <p>Invariant: the files are only read. Thread safety: not safe; used by the main thread.
 */
@Command(
        name = "explain",
        description = {
            "Show what happened to a request, from the logs of entries.",
            "Lines that are not log lines are skipped and counted."
        })
final class ExplainCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "ID", description = "id of the request")
    private String mRequestId = "";

    @Parameters(index = "1..*", arity = "1..*", paramLabel = "FILE", description = "log files")
    private List<Path> mFiles = new ArrayList<>();

    @Mixin private OutputOption mOutput = new OutputOption();

    private final PrintWriter mOut;
    private int mUnreadableLines;

    ExplainCommand(PrintWriter out) {
        mOut = out;
    }

    @Override
    public Integer call() throws CliException {
        RequestTimeline timeline = new RequestTimeline(mRequestId);
        for (Path file : mFiles) {
            readLog(file, timeline);
        }
        if (timeline.requestLines().isEmpty()) {
            throw CliException.refused(
                    "no line about request "
                            + mRequestId
                            + " ("
                            + mUnreadableLines
                            + " unreadable lines)");
        }
        if (mOutput.isJson()) {
            printJson(timeline);
        } else {
            printTable(timeline);
        }
        mOut.flush();
        return CliException.OK;
    }

    private void readLog(Path file, RequestTimeline timeline) throws CliException {
        try (BufferedReader reader = Files.newBufferedReader(file)) {
            for (String logText = reader.readLine(); logText != null; logText = reader.readLine()) {
                Optional<LogLine> line = LogLine.parse(logText);
                line.ifPresent(timeline::add);
                mUnreadableLines += line.isPresent() ? 0 : 1;
            }
        } catch (MalformedInputException e) {
            throw CliException.refused(file + " is not a text file in UTF-8");
        } catch (IOException e) {
            throw CliException.unreadable(file.toString());
        }
    }

    private void printTable(RequestTimeline timeline) {
        mOut.println("request " + mRequestId + ": " + timeline.ending().description());
        mOut.print(Tables.align(rows(timeline.requestLines())));
        List<LogLine> relatedLines = timeline.relatedLines();
        if (!relatedLines.isEmpty()) {
            mOut.println("around it:");
            mOut.print(Tables.align(rows(relatedLines)));
        }
        if (mUnreadableLines > 0) {
            mOut.println(mUnreadableLines + " lines are no log lines");
        }
    }

    private static List<List<String>> rows(List<LogLine> lines) {
        return lines.stream()
                .map(
                        line ->
                                List.of(
                                        line.time().toString(),
                                        line.vm(),
                                        line.event(),
                                        Tables.replaceControlCharacters(line.details())))
                .toList();
    }

    private void printJson(RequestTimeline timeline) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("request", mRequestId);
        json.put("ending", timeline.ending().name());
        addLines(json.putArray("lines"), timeline.requestLines());
        addLines(json.putArray("around"), timeline.relatedLines());
        json.put("unreadable_lines", mUnreadableLines);
        mOut.println(json.toPrettyString());
    }

    private static void addLines(ArrayNode array, List<LogLine> lines) {
        lines.forEach(line -> array.add(line.fields()));
    }
}
