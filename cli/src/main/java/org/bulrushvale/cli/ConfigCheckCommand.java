package org.bulrushvale.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import org.bulrushvale.decision.config.ConfigFault;
import org.bulrushvale.decision.config.ConfigParser;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/**
 * Checks configuration values by the rules that entries apply, before the values are published.
 *
 * <p>Invariant: the exit code is zero only when an entry would accept the values. Thread safety:
 * not safe; used by the main thread.
 */
@Command(
        name = "check",
        description = {
            "Check a configuration before it is published.",
            "A directory holds one NAME.json per value; a file holds one object with all values."
        })
final class ConfigCheckCommand implements Callable<Integer> {
    private static final String FILE_SUFFIX = ".json";
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    @Parameters(index = "0", paramLabel = "FILE|DIR")
    private Path mPath = Path.of("");

    @Mixin private OutputOption mOutput = new OutputOption();

    private final PrintWriter mOut;

    ConfigCheckCommand(PrintWriter out) {
        mOut = out;
    }

    @Override
    public Integer call() throws CliException {
        List<ConfigFault> faults;
        try {
            faults = ConfigParser.check(Files.isDirectory(mPath) ? readDirectory() : readFile());
        } catch (JsonProcessingException e) {
            faults = List.of(malformedJson(e));
        } catch (IOException e) {
            throw CliException.unreadable(mPath.toString());
        }
        print(faults);
        return faults.isEmpty() ? CliException.OK : CliException.INVALID_CONFIG;
    }

    private ConfigFault malformedJson(JsonProcessingException e) {
        String location = e.getLocation() == null ? "" : "line " + e.getLocation().getLineNr();
        return new ConfigFault(
                ConfigFault.Kind.MALFORMED_JSON, String.valueOf(mPath.getFileName()), location, "");
    }

    private Map<String, String> readDirectory() throws IOException {
        Map<String, String> values = new TreeMap<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(mPath, "*" + FILE_SUFFIX)) {
            for (Path file : files) {
                String name = String.valueOf(file.getFileName());
                values.put(
                        name.substring(0, name.length() - FILE_SUFFIX.length()),
                        Files.readString(file));
            }
        }
        return values;
    }

    private Map<String, String> readFile() throws IOException {
        Map<String, String> values = new TreeMap<>();
        JsonNode root = MAPPER.readTree(Files.readString(mPath));
        root.fields()
                .forEachRemaining(field -> values.put(field.getKey(), field.getValue().toString()));
        return values;
    }

    private void print(List<ConfigFault> faults) {
        if (mOutput.isJson()) {
            ObjectNode json = JsonNodeFactory.instance.objectNode();
            json.put("valid", faults.isEmpty());
            ArrayNode list = json.putArray("faults");
            for (ConfigFault fault : faults) {
                list.addObject()
                        .put("kind", fault.kind().name())
                        .put("value", fault.value())
                        .put("path", fault.path())
                        .put("text", fault.text());
            }
            mOut.println(json.toPrettyString());
        } else {
            faults.forEach(fault -> mOut.println(fault.describe()));
            mOut.println(faults.isEmpty() ? "valid" : "invalid: " + faults.size() + " fault(s)");
        }
        mOut.flush();
    }
}
