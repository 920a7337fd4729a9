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
 * Joins the decision logs of several entries into the story of one request.
 *
 * <p>Invariant: the files are only read. Thread safety: not safe; used by the main thread.
 */
@Command(
        name = "explain",
        description = {
            "Show from the logs of entries what happened to a request.",
            "Lines that are no log lines are counted and passed over."
        })
final class ExplainCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "ID", description = "id of the request")
    private String mRequest = "";

    @Parameters(index = "1..*", arity = "1..*", paramLabel = "FILE", description = "log files")
    private List<Path> mFiles = new ArrayList<>();

    @Mixin private OutputOption mOutput = new OutputOption();

    private final PrintWriter mOut;
    private int mUnread;

    ExplainCommand(PrintWriter out) {
        mOut = out;
    }

    @Override
    public Integer call() throws CliException {
        RequestTimeline timeline = new RequestTimeline(mRequest);
        for (Path file : mFiles) {
            read(file, timeline);
        }
        if (timeline.own().isEmpty()) {
            throw CliException.refused(
                    "no line about request " + mRequest + " (" + mUnread + " unreadable lines)");
        }
        if (mOutput.isJson()) {
            printJson(timeline);
        } else {
            printTable(timeline);
        }
        mOut.flush();
        return CliException.OK;
    }

    private void read(Path file, RequestTimeline timeline) throws CliException {
        try (BufferedReader lines = Files.newBufferedReader(file)) {
            for (String text = lines.readLine(); text != null; text = lines.readLine()) {
                Optional<LogLine> line = LogLine.parse(text);
                line.ifPresent(timeline::add);
                mUnread += line.isPresent() ? 0 : 1;
            }
        } catch (MalformedInputException e) {
            throw CliException.refused(file + " is not a text file in UTF-8");
        } catch (IOException e) {
            throw CliException.unreadable(file.toString());
        }
    }

    private void printTable(RequestTimeline timeline) {
        mOut.println("request " + mRequest + ": " + timeline.ending().meaning());
        mOut.print(Tables.align(rows(timeline.own())));
        List<LogLine> around = timeline.around();
        if (!around.isEmpty()) {
            mOut.println("around it:");
            mOut.print(Tables.align(rows(around)));
        }
        if (mUnread > 0) {
            mOut.println(mUnread + " lines are no log lines");
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
                                        Tables.clean(line.details())))
                .toList();
    }

    private void printJson(RequestTimeline timeline) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("request", mRequest);
        json.put("ending", timeline.ending().name());
        addLines(json.putArray("lines"), timeline.own());
        addLines(json.putArray("around"), timeline.around());
        json.put("unreadable_lines", mUnread);
        mOut.println(json.toPrettyString());
    }

    private static void addLines(ArrayNode array, List<LogLine> lines) {
        lines.forEach(line -> array.add(line.fields()));
    }
}
