package org.bulrushvale.load.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;

/**
 * The result of a run.
 *
 * <p>Thread safety: immutable; the tallies are safe for use by any thread.
 *
 * @param seed seed of the random arrivals
 * @param rate arrivals per second
 * @param seconds length of the run, including the wait for the last answers
 * @param classes tallies by class name
 */
public record RunReport(long seed, double rate, double seconds, Map<String, ClassTally> classes) {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    static ObjectNode emptyJson() {
        return MAPPER.createObjectNode();
    }

    /** Returns the sum over all classes. */
    public ClassTally total() {
        ClassTally total = new ClassTally();
        classes.values().forEach(total::add);
        return total;
    }

    /** Returns the report as JSON. */
    public ObjectNode toJson() {
        ObjectNode json = emptyJson().put("seed", seed).put("rate", rate).put("seconds", seconds);
        json.set("total", total().toJson());
        ObjectNode byClass = json.putObject("classes");
        classes.forEach((name, tally) -> byClass.set(name, tally.toJson()));
        return json;
    }

    /** Writes the report to a file. */
    public void write(Path file) throws IOException {
        MAPPER.writeValue(file.toFile(), toJson());
    }
}
