package org.bulrushvale.decision.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import org.bulrushvale.decision.config.ConfigFault.Kind;

/**
 * Parses the published values of one revision into a configuration, or lists every fault in them.
 *
 * <pre>{@code
 * ParseResult result = ConfigParser.parse(7, values);
 * }</pre>
 *
 * <p>Invariant: a revision is accepted or refused as a whole. Thread safety: safe for use by any
 * thread; one parse uses one thread.
 */
public final class ConfigParser {
    /** Largest size of one value in UTF-8 bytes. */
    public static final int MAX_VALUE_BYTES = 1 << 20;

    /**
     * Longest deadline of a class of work. A longer one would also lengthen the hold-down, which is
     * the time that a new owner of a server's warm-up waits.
     */
    public static final Duration MAX_DEADLINE = Duration.ofSeconds(60);

    static final String CLASSES = "classes";
    static final String PIPELINES = "pipelines";
    static final String BACKENDS = "backends";
    static final String DOMAINS = "domains";
    static final String WORKSPACES_PREFIX = "workspaces-";

    private static final List<String> REQUIRED = List.of(CLASSES, PIPELINES, BACKENDS, DOMAINS);
    private static final int MAX_SLOTS = 1 << 20;
    private static final Predicate<String> NAME =
            Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}").asMatchPredicate();
    private static final Predicate<String> WORKSPACE_SHARD =
            Pattern.compile(WORKSPACES_PREFIX + "[0-9]{2,4}").asMatchPredicate();
    private static final Predicate<String> ADDRESS =
            Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}|[0-9a-fA-F:.]*:[0-9a-fA-F:.]*")
                    .asMatchPredicate();
    private static final Predicate<String> SHA256 =
            Pattern.compile("[0-9a-f]{64}").asMatchPredicate();
    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .disable(StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION)
                    .build();

    private final List<ConfigFault> mFaults = new ArrayList<>();
    private final Map<String, Set<String>> mNamesByKind = new HashMap<>();
    private final Map<String, Pipeline> mPipelines = new HashMap<>();
    private final Set<String> mKnownPools = new HashSet<>();
    private final PublishedConfig.Builder mBuilder;

    private ConfigParser(long revision) {
        mBuilder = PublishedConfig.builder(revision);
    }

    /** Parses all values of one revision, given by name. */
    public static ParseResult parse(long revision, Map<String, String> values) {
        return new ConfigParser(revision).parseAll(new TreeMap<>(values));
    }

    /** Returns the faults of a set of values, empty when it may be published. */
    public static List<ConfigFault> check(Map<String, String> values) {
        ParseResult result = parse(0, values);
        return result instanceof ParseResult.Invalid invalid ? invalid.faults() : List.of();
    }

    private ParseResult parseAll(Map<String, String> values) {
        for (String name : REQUIRED) {
            if (!values.containsKey(name)) {
                mFaults.add(new ConfigFault(Kind.MISSING_VALUE, name, "", name));
            }
        }
        // Values that others refer to are read first.
        readValue(DOMAINS, values, this::readDomain);
        readValue(BACKENDS, values, this::readBackend);
        readValue(PIPELINES, values, this::readPipeline);
        readValue(CLASSES, values, this::readClass);
        for (String name : values.keySet()) {
            if (WORKSPACE_SHARD.test(name)) {
                readValue(name, values, this::readWorkspace);
            } else if (!REQUIRED.contains(name)) {
                mFaults.add(new ConfigFault(Kind.UNKNOWN_VALUE, name, "", name));
            }
        }
        return mFaults.isEmpty()
                ? new ParseResult.Valid(mBuilder.build())
                : new ParseResult.Invalid(mFaults);
    }

    private void readValue(String name, Map<String, String> values, ItemReader reader) {
        String json = values.get(name);
        if (json == null) {
            return;
        }
        if (json.length() > MAX_VALUE_BYTES
                || json.getBytes(StandardCharsets.UTF_8).length > MAX_VALUE_BYTES) {
            mFaults.add(new ConfigFault(Kind.TOO_LARGE, name, "", json.length() + " characters"));
            return;
        }
        JsonNode root;
        try {
            root = MAPPER.readTree(json);
        } catch (JsonProcessingException e) {
            String place =
                    e.getLocation() == null
                            ? ""
                            : "line "
                                    + e.getLocation().getLineNr()
                                    + " column "
                                    + e.getLocation().getColumnNr();
            // Jackson's message can quote the input, which contains token digests in a workspace
            // shard.
            String text = name.startsWith(WORKSPACES_PREFIX) ? place : e.getOriginalMessage();
            mFaults.add(new ConfigFault(Kind.MALFORMED_JSON, name, place, text));
            return;
        }
        if (!root.isArray()) {
            mFaults.add(new ConfigFault(Kind.WRONG_TYPE, name, "", "array expected"));
            return;
        }
        for (int i = 0; i < root.size(); i++) {
            FieldReader fields = new FieldReader(name, "[" + i + "]", root.get(i), mFaults);
            int faultsBefore = mFaults.size();
            if (root.get(i).isObject()) {
                reader.read(fields, faultsBefore);
                fields.addUnknownFieldFaults();
            }
        }
    }

    private String readUniqueName(FieldReader fields, String kind) {
        String name = fields.text("name", NAME);
        if (!name.isEmpty()
                && !mNamesByKind.computeIfAbsent(kind, k -> new HashSet<>()).add(name)) {
            fields.addFault(Kind.DUPLICATE, "name", name);
        }
        return name;
    }

    private void readDomain(FieldReader fields, int faultsBefore) {
        FailureDomain domain =
                new FailureDomain(
                        readUniqueName(fields, DOMAINS),
                        fields.text("region", NAME),
                        fields.flag("in_service"));
        if (mFaults.size() == faultsBefore) {
            mBuilder.addDomain(domain);
        }
    }

    private void readBackend(FieldReader fields, int faultsBefore) {
        String name = readUniqueName(fields, BACKENDS);
        String pool = fields.text("pool", NAME);
        String address = fields.text("address", ADDRESS);
        int port = fields.integer("port", 1, 65_535);
        String domain = fields.text("failure_domain", NAME);
        int slots = fields.integer("slots", 1, MAX_SLOTS);
        int coldConcurrency = fields.integer("bearable", 1, MAX_SLOTS);
        String state = fields.text("state", ConfigParser::isState);
        mKnownPools.add(pool);
        if (coldConcurrency > slots) {
            fields.addFault(Kind.OUT_OF_RANGE, "bearable", coldConcurrency + " > slots " + slots);
        }
        requireKnownName(fields, DOMAINS, "failure_domain", domain);
        if (mFaults.size() == faultsBefore) {
            mBuilder.addBackend(
                    new BackendServer(
                            name,
                            pool,
                            address,
                            port,
                            domain,
                            slots,
                            coldConcurrency,
                            "leaving".equals(state)));
        }
    }

    private static boolean isState(String state) {
        return "live".equals(state) || "leaving".equals(state);
    }

    private void readPipeline(FieldReader fields, int faultsBefore) {
        String name = readUniqueName(fields, PIPELINES);
        List<Stage> stages = new ArrayList<>();
        Set<String> stageNames = new HashSet<>();
        int index = 0;
        for (JsonNode node : fields.list("stages")) {
            FieldReader stage = fields.child("stages[" + index + "]", node);
            if (node.isObject()) {
                stages.add(readStage(stage, stageNames));
                stage.addUnknownFieldFaults();
            }
            index++;
        }
        for (int i = 0; i + 1 < stages.size(); i++) {
            if (stages.get(i).streams()) {
                fields.addFault(
                        Kind.STREAM_NOT_LAST, "stages[" + i + "].streams", stages.get(i).name());
            }
        }
        Pipeline pipeline = new Pipeline(name, stages);
        mPipelines.putIfAbsent(name, pipeline);
        if (mFaults.size() == faultsBefore) {
            mBuilder.addPipeline(pipeline);
        }
    }

    private Stage readStage(FieldReader fields, Set<String> stageNames) {
        String name = fields.text("name", NAME);
        if (!name.isEmpty() && !stageNames.add(name)) {
            fields.addFault(Kind.DUPLICATE, "name", name);
        }
        String pool = fields.text("pool", NAME);
        if (!pool.isEmpty() && !mKnownPools.contains(pool)) {
            fields.addFault(Kind.DANGLING_REFERENCE, "pool", pool);
        }
        return new Stage(name, pool, fields.flag("repeatable"), fields.flag("streams"));
    }

    private void readClass(FieldReader fields, int faultsBefore) {
        String name = readUniqueName(fields, CLASSES);
        double target = fields.number("target", number -> number > 0 && number <= 1);
        int deadlineMs = fields.integer("deadline_ms", 1, (int) MAX_DEADLINE.toMillis());
        double worth = fields.number("worth", number -> number > 0);
        String pipelineName = fields.text("pipeline", NAME);
        boolean idempotent = fields.flag("idempotent");
        requireKnownName(fields, PIPELINES, "pipeline", pipelineName);
        Pipeline pipeline = mPipelines.get(pipelineName);
        if (idempotent && pipeline != null) {
            for (Stage stage : pipeline.stages()) {
                if (!stage.repeatable()) {
                    fields.addFault(Kind.NOT_REPEATABLE, "idempotent", stage.name());
                }
            }
        }
        if (mFaults.size() == faultsBefore) {
            mBuilder.addClass(
                    new WorkClass(
                            name,
                            target,
                            Duration.ofMillis(deadlineMs),
                            worth,
                            pipelineName,
                            idempotent));
        }
    }

    private void readWorkspace(FieldReader fields, int faultsBefore) {
        Workspace workspace =
                new Workspace(
                        readUniqueName(fields, WORKSPACES_PREFIX),
                        fields.digest("token_sha256", SHA256),
                        fields.number("share", number -> number > 0));
        if (mFaults.size() == faultsBefore) {
            mBuilder.addWorkspace(workspace);
        }
    }

    private void requireKnownName(FieldReader fields, String kind, String field, String name) {
        if (!name.isEmpty() && !mNamesByKind.getOrDefault(kind, Set.of()).contains(name)) {
            fields.addFault(Kind.DANGLING_REFERENCE, field, name);
        }
    }

    /**
     * Reads one item of a value and adds it to the configuration if it has no fault.
     *
     * <p>Thread safety: not safe; used by the thread that parses.
     */
    @FunctionalInterface
    private interface ItemReader {
        void read(FieldReader fields, int faultsBefore);
    }
}
