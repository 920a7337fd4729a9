package org.bulrushvale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Prints the status of one entry or of all entries.
 *
 * <p>Invariant: with {@code --all}, an entry that gives no answer is listed as unreachable, and the
 * exit code is the one for an unreachable entry. Thread safety: not safe; used by the main thread.
 */
@Command(name = "status", description = "Show whether entries are ready and why not.")
final class StatusCommand implements Callable<Integer> {
    @Mixin private final EntryOptions mOptions = new EntryOptions();

    @Option(names = "--all", description = "ask every peer of the entry too")
    private boolean mAll;

    private final PrintWriter mOut;

    StatusCommand(PrintWriter out) {
        mOut = out;
    }

    @Override
    public Integer call() throws CliException {
        HostPort entry = mOptions.entry();
        try (EntryClient client = mOptions.client()) {
            if (!mAll) {
                mOptions.print(mOut, client.get(entry, "/v1/status"));
                return CliException.OK;
            }
            Map<String, Optional<JsonNode>> answers =
                    EntryQuery.queryAll(client, mOptions.entries(), "/v1/status");
            ArrayNode list = JsonNodeFactory.instance.arrayNode();
            answers.forEach(
                    (name, status) -> {
                        ObjectNode item = list.addObject().put("entry", name);
                        item.put("reachable", status.isPresent());
                        status.filter(JsonNode::isObject)
                                .ifPresent(json -> item.setAll((ObjectNode) json));
                    });
            mOptions.print(mOut, list);
            boolean complete = answers.values().stream().allMatch(Optional::isPresent);
            return complete ? CliException.OK : CliException.UNREACHABLE;
        }
    }
}
