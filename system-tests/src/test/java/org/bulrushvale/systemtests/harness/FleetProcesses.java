package org.bulrushvale.systemtests.harness;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Stream;

/**
 * Three entry daemons, their backend servers and the platform, each in a process of its own, with
 * the published values of {@code examples/quickstart}.
 *
 * <p>Two classes with a single stage are added, whose backend servers receive the caller's input
 * unchanged: the ledger of the plain service then holds the digest of an input of {@value #ORDER},
 * and a model runner meets the text of {@value #DRAFT}.
 *
 * <pre>{@code
 * try (FleetProcesses fleet = FleetProcesses.builder().start()) {
 *     fleet.entry(0).process().pause();
 * }
 * }</pre>
 *
 * <p>Invariant: every process is ended by {@link #close()}. Thread safety: used by the test thread;
 * its parts say what other threads may call.
 */
public final class FleetProcesses implements AutoCloseable {
    /** The non-idempotent class with a single stage. */
    public static final String ORDER = "counter-order";

    /** The idempotent class whose single stage is a model runner's. */
    public static final String DRAFT = "direct-draft";

    /** Time for a process to start on a busy machine. */
    public static final Duration START_LIMIT = Duration.ofSeconds(40);

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final List<String> DOMAINS = List.of("boston", "como", "garda");
    private static final List<String> REGIONS = List.of("ne-east", "italia-nord", "italia-nord");
    private static final List<String> POOLS =
            List.of("encode", "retrieve", "rerank", "generate", "office");
    // Below the range that the system takes for outgoing connections, so that a port stays free
    // between its choice and its use.
    private static final int FIRST_PORT = 20_000;
    private static final int PORTS = 12_000;

    private final Path mDirectory;
    private final Set<Integer> mUsedPorts = new HashSet<>();
    private final SplittableRandom mPortChoice = new SplittableRandom(System.nanoTime());
    private final Map<String, StandinProcess> mServers = new LinkedHashMap<>();
    private final List<EntryProcess> mEntries = new ArrayList<>();
    private final Map<String, JsonNode> mValues = new LinkedHashMap<>();
    private final String mSettings;
    private StandinProcess mConfig;

    private FleetProcesses(Builder builder) throws IOException {
        mDirectory = Files.createTempDirectory("fleet");
        mSettings = builder.mSettings;
    }

    /** Returns a builder of the quickstart fleet. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns an entry, counted from 0. */
    public EntryProcess entry(int index) {
        return mEntries.get(index);
    }

    /** Returns all entries. */
    public List<EntryProcess> entries() {
        return List.copyOf(mEntries);
    }

    /** Returns a backend server. */
    public StandinProcess server(String name) {
        StandinProcess server = mServers.get(name);
        if (server == null) {
            throw new IllegalArgumentException("no server " + name);
        }
        return server;
    }

    /** Returns the servers of a pool. */
    public List<StandinProcess> pool(String pool) {
        return mServers.values().stream().filter(s -> s.name().startsWith(pool + "-")).toList();
    }

    /** Returns the configuration service. */
    public StandinProcess config() {
        return mConfig;
    }

    /** Returns a copy of a published value. */
    public ArrayNode value(String name) {
        return mValues.get(name).deepCopy();
    }

    /** Publishes a value and returns its revision. */
    public long publish(String name, ArrayNode value) throws IOException, InterruptedException {
        ObjectNode patch = JSON.createObjectNode();
        patch.putObject("publish").set(name, value);
        mValues.put(name, value);
        return mConfig.control(patch.toString()).path("revision").asLong();
    }

    /** Returns the runs of the plain services by digest of the caller's input. */
    public Map<String, Integer> runs() throws IOException, InterruptedException {
        Map<String, Integer> runs = new LinkedHashMap<>();
        for (StandinProcess service : pool("office")) {
            for (JsonNode run : service.ledger()) {
                runs.merge(run.path("body_sha256").asText(), 1, Integer::sum);
            }
        }
        return runs;
    }

    private void startServers(Builder builder) throws IOException, InterruptedException {
        for (String pool : POOLS) {
            int servers = pool.equals("generate") ? builder.mModelRunners : 2;
            for (int number = 1; number <= servers; number++) {
                String name = pool + "-" + number;
                List<String> arguments = new ArrayList<>(serverArguments(pool));
                arguments.addAll(List.of("--name", name));
                arguments.addAll(builder.mArguments.getOrDefault(name, List.of()));
                mServers.put(name, StandinProcess.start(name, arguments));
            }
        }
    }

    private static List<String> serverArguments(String pool) {
        return switch (pool) {
            case "generate" -> List.of("model", "--slots", "8", "--bearable", "2");
            case "office" -> List.of("plain", "--slots", "8", "--bearable", "4");
            default -> List.of("pool", "--slots", "16", "--bearable", "4");
        };
    }

    private void startConfig(List<Integer> peerPorts) throws IOException, InterruptedException {
        Path examples = Path.of(System.getProperty("basedir", "."), "..", "examples", "quickstart");
        Path values = Files.createDirectory(mDirectory.resolve("values"));
        try (Stream<Path> files = Files.list(examples)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".json")).toList()) {
                String text = Files.readString(file);
                for (StandinProcess server : mServers.values()) {
                    String mark = "{{port:" + server.name() + "}}";
                    if (text.contains(mark)) {
                        text = text.replace(mark, Integer.toString(server.port()));
                    }
                }
                for (int i = 0; i < peerPorts.size(); i++) {
                    String mark = "{{port:entry-" + (i + 1) + "-peer}}";
                    text = text.replace(mark, peerPorts.get(i).toString());
                }
                String name = file.toFile().getName().replace(".json", "");
                mValues.put(name, JSON.readTree(text));
            }
        }
        addSingleStageClass(ORDER, "order", "office", false);
        addSingleStageClass(DRAFT, "generate", "generate", true);
        addModelRunners();
        for (Map.Entry<String, JsonNode> value : mValues.entrySet()) {
            Path file = values.resolve(value.getKey() + ".json");
            Files.writeString(file, value.getValue().toString());
        }
        mConfig = StandinProcess.start("config", List.of("config", "--values", values.toString()));
        mConfig.port();
    }

    /** Publishes the model runners beyond the two of the example, in turn in all domains. */
    private void addModelRunners() throws InterruptedException {
        ArrayNode backends = (ArrayNode) mValues.get("backends");
        for (StandinProcess server : pool("generate")) {
            int number = Integer.parseInt(server.name().substring("generate-".length()));
            if (number > 2) {
                backends.addObject()
                        .put("name", server.name())
                        .put("pool", "generate")
                        .put("address", "127.0.0.1")
                        .put("port", server.port())
                        .put("failure_domain", DOMAINS.get((number - 1) % DOMAINS.size()))
                        .put("slots", 8)
                        .put("bearable", 2)
                        .put("state", "live");
            }
        }
    }

    private void addSingleStageClass(String name, String stage, String pool, boolean repeatable) {
        ((ArrayNode) mValues.get("pipelines"))
                .addObject()
                .put("name", name + "-only")
                .putArray("stages")
                .addObject()
                .put("name", stage)
                .put("pool", pool)
                .put("repeatable", repeatable)
                .put("streams", repeatable);
        ((ArrayNode) mValues.get("classes"))
                .addObject()
                .put("name", name)
                .put("target", 0.99)
                .put("deadline_ms", repeatable ? 5000 : 3000)
                .put("worth", 5)
                .put("pipeline", name + "-only")
                .put("idempotent", repeatable);
    }

    private void startEntry(int index, int peerPort) throws IOException {
        int callerPort = freePort();
        int operatorPort = freePort();
        String vm = "entry-" + (index + 1);
        String url;
        try {
            url = "http://127.0.0.1:" + mConfig.port();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
        String settings =
                """
                [entry]
                vm = %s
                failure_domain = %s
                region = %s
                fleet = system-test
                [caller]
                address = 127.0.0.1
                port = %d
                [operator]
                address = 127.0.0.1
                port = %d
                allowed_addresses = 127.0.0.1
                [peer]
                address = 127.0.0.1
                port = %d
                secret = secret-of-the-system-tests
                [platform]
                config_url = %s
                vms_url = %s
                %s
                """
                        .formatted(
                                vm,
                                DOMAINS.get(index),
                                REGIONS.get(index),
                                callerPort,
                                operatorPort,
                                peerPort,
                                url,
                                url,
                                mSettings);
        Path file = mDirectory.resolve(vm + ".ini");
        Files.writeString(file, settings);
        mEntries.add(new EntryProcess(vm, file, callerPort, operatorPort));
    }

    private int freePort() throws IOException {
        while (true) {
            int port = FIRST_PORT + mPortChoice.nextInt(PORTS);
            if (mUsedPorts.add(port) && isFree(port)) {
                return port;
            }
        }
    }

    private static boolean isFree(int port) throws IOException {
        try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
            return probe.isBound();
        } catch (java.net.BindException expected) {
            return false;
        }
    }

    @Override
    public void close() {
        mEntries.forEach(EntryProcess::close);
        mServers.values().forEach(StandinProcess::close);
        if (mConfig != null) {
            mConfig.close();
        }
        try (Stream<Path> files = Files.walk(mDirectory)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException ignored) {
            // The operating system removes what is left of the temporary directory.
        }
    }

    /** Collects the options. Thread safety: not safe; used by one thread. */
    public static final class Builder {
        private final Map<String, List<String>> mArguments = new LinkedHashMap<>();
        private String mSettings = "";
        private int mModelRunners = 2;

        private Builder() {}

        /** Adds arguments of one backend server. */
        public Builder server(String name, String... arguments) {
            mArguments.put(name, List.of(arguments));
            return this;
        }

        /** Sets the number of model runners. */
        public Builder modelRunners(int count) {
            mModelRunners = count;
            return this;
        }

        /** Adds sections to the settings of every entry. */
        public Builder settings(String text) {
            mSettings = text;
            return this;
        }

        /** Starts all processes and waits until every entry accepts callers. */
        public FleetProcesses start() throws Exception {
            FleetProcesses fleet = new FleetProcesses(this);
            try {
                fleet.startServers(this);
                List<Integer> peerPorts = new ArrayList<>();
                for (int i = 0; i < DOMAINS.size(); i++) {
                    peerPorts.add(fleet.freePort());
                }
                fleet.startConfig(peerPorts);
                for (int i = 0; i < DOMAINS.size(); i++) {
                    fleet.startEntry(i, peerPorts.get(i));
                }
                for (EntryProcess entry : fleet.mEntries) {
                    entry.awaitReady();
                }
                return fleet;
            } catch (Throwable e) {
                fleet.close();
                throw e;
            }
        }
    }
}
