package org.bulrushvale.decision.config;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Function;

/**
 * Writes a configuration as published values, the reverse of {@link ConfigParser}. The command-line
 * tool uses it to show how a set of values is understood and to check that parsing loses nothing.
 *
 * <p>Invariant: parsing the written values gives an equal configuration; the text is the same for
 * equal configurations. Thread safety: stateless.
 */
public final class ConfigWriter {
    private static final int WORKSPACES_PER_SHARD = 100;

    private ConfigWriter() {}

    /** Returns the values by name, with items sorted by name. */
    public static Map<String, String> write(PublishedConfig config) {
        Map<String, String> values = new TreeMap<>();
        values.put(
                ConfigParser.CLASSES,
                array(sorted(config.classes(), WorkClass::name), ConfigWriter::writeClass));
        values.put(
                ConfigParser.PIPELINES,
                array(sorted(config.pipelines(), Pipeline::name), ConfigWriter::writePipeline));
        values.put(
                ConfigParser.BACKENDS,
                array(sorted(config.backends(), BackendServer::name), ConfigWriter::writeBackend));
        values.put(
                ConfigParser.DOMAINS,
                array(sorted(config.domains(), FailureDomain::name), ConfigWriter::writeDomain));
        List<Workspace> workspaces = sorted(config.workspaces(), Workspace::name);
        for (int from = 0; from < workspaces.size(); from += WORKSPACES_PER_SHARD) {
            List<Workspace> shard =
                    workspaces.subList(
                            from, Math.min(from + WORKSPACES_PER_SHARD, workspaces.size()));
            values.put(
                    ConfigParser.WORKSPACES_PREFIX
                            + String.format("%02d", from / WORKSPACES_PER_SHARD),
                    array(shard, ConfigWriter::writeWorkspace));
        }
        return values;
    }

    /** Returns true when writing and parsing the configuration again gives the same values. */
    public static boolean roundTrips(PublishedConfig config) {
        Map<String, String> values = write(config);
        return ConfigParser.parse(config.revision(), values) instanceof ParseResult.Valid valid
                && values.equals(write(valid.config()));
    }

    private static <T> List<T> sorted(Collection<T> items, Function<T, String> name) {
        return items.stream().sorted(Comparator.comparing(name)).toList();
    }

    private static <T> String array(List<T> items, BiConsumer<T, ObjectNode> writer) {
        ArrayNode array = JsonNodeFactory.instance.arrayNode();
        items.forEach(item -> writer.accept(item, array.addObject()));
        return array.toString();
    }

    private static void writeClass(WorkClass item, ObjectNode node) {
        node.put("name", item.name())
                .put("target", item.target())
                .put("deadline_ms", item.deadline().toMillis())
                .put("worth", item.worth())
                .put("pipeline", item.pipeline())
                .put("idempotent", item.idempotent());
    }

    private static void writePipeline(Pipeline item, ObjectNode node) {
        ArrayNode stages = node.put("name", item.name()).putArray("stages");
        for (Stage stage : item.stages()) {
            stages.addObject()
                    .put("name", stage.name())
                    .put("pool", stage.pool())
                    .put("repeatable", stage.repeatable())
                    .put("streams", stage.streams());
        }
    }

    private static void writeBackend(BackendServer item, ObjectNode node) {
        node.put("name", item.name())
                .put("pool", item.pool())
                .put("address", item.address())
                .put("port", item.port())
                .put("failure_domain", item.failureDomain())
                .put("slots", item.slots())
                .put("bearable", item.coldConcurrency())
                .put("state", item.leaving() ? "leaving" : "live");
    }

    private static void writeDomain(FailureDomain item, ObjectNode node) {
        node.put("name", item.name())
                .put("region", item.region())
                .put("in_service", item.inService());
    }

    private static void writeWorkspace(Workspace item, ObjectNode node) {
        node.put("name", item.name())
                .put("token_sha256", item.tokenSha256())
                .put("share", item.share());
    }
}
