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
 * Three entry daemons, their backend servers and the configuration service, each in a process of
 * its own, with the published values of {@code examples/quickstart}.
 *
 * <p>Two classes with a single stage are added, whose backend servers receive the caller's input
 * unchanged. The plain services, which are the servers of pool {@code office}, list each run in a
 * ledger, which then holds the digest of each input of class {@value #ORDER_CLASS}; a model runner
 * receives the input of class {@value #DRAFT_CLASS} itself.
 *
 * <pre>{@code
 * try (FleetProcesses fleet = FleetProcesses.builder().start()) {
 *     fleet.entry(0).process().pause();
 * }
 * }</pre>
 *
 * <p>Invariant: every process is ended by {@link #close()}. Thread safety: used by the test thread;
 * the classes of the processes state what other threads may call.
 */
public final class FleetProcesses implements AutoCloseable {
    /** The non-idempotent class with a single stage. */
    public static final String ORDER_CLASS = "counter-order";

    /** The idempotent class whose single stage runs on a model runner. */
    public static final String DRAFT_CLASS = "direct-draft";

    /** Time for a process to start on a busy machine. */
    public static final Duration START_TIMEOUT = Duration.ofSeconds(40);

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final List<String> DOMAINS = List.of("boston", "como", "garda");
    private static final List<String> REGIONS = List.of("ne-east", "italia-nord", "italia-nord");
    private static final List<String> POOLS =
            List.of("encode", "retrieve", "rerank", "generate", "office");
    // Below the range from which the operating system takes ports for outgoing connections, so that
    // a port stays free between its choice and its use.
    private static final int FIRST_PORT = 20_000;
    private static final int PORT_COUNT = 12_000;

    private final Path mDirectory;
    private final Set<Integer> mUsedPorts = new HashSet<>();
    private final SplittableRandom mPortRandom = new SplittableRandom(System.nanoTime());
    private final Map<String, StandinProcess> mServers = new LinkedHashMap<>();
    private final List<EntryProcess> mEntries = new ArrayList<>();
    private final Map<String, JsonNode> mPublishedValues = new LinkedHashMap<>();
    private final String mExtraSettings;
    private StandinProcess mConfigService;

    private FleetProcesses(Builder builder) throws IOException {
        mDirectory = Files.createTempDirectory("fleet");
        mExtraSettings = builder.mExtraSettings;
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
    public List<StandinProcess> serversOfPool(String pool) {
        return mServers.values().stream().filter(s -> s.name().startsWith(pool + "-")).toList();
    }

    /** Returns the configuration service. */
    public StandinProcess configService() {
        return mConfigService;
    }

    /** Returns a copy of a published value. */
    public ArrayNode publishedValue(String name) {
        return mPublishedValues.get(name).deepCopy();
    }

    /** Publishes a value and returns its revision. */
    public long publish(String name, ArrayNode value) throws IOException, InterruptedException {
        ObjectNode patch = JSON.createObjectNode();
        patch.putObject("publish").set(name, value);
        mPublishedValues.put(name, value);
        return mConfigService.control(patch.toString()).path("revision").asLong();
    }

    /** Returns the number of runs at the plain services by the digest of the caller's input. */
    public Map<String, Integer> runsByInputDigest() throws IOException, InterruptedException {
        Map<String, Integer> runs = new LinkedHashMap<>();
        for (StandinProcess service : serversOfPool("office")) {
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
                arguments.addAll(builder.mServerArguments.getOrDefault(name, List.of()));
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

    private void startConfigService(List<Integer> peerPorts)
            throws IOException, InterruptedException {
        Path examples = Path.of(System.getProperty("basedir", "."), "..", "examples", "quickstart");
        Path values = Files.createDirectory(mDirectory.resolve("values"));
        try (Stream<Path> files = Files.list(examples)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".json")).toList()) {
                String text = Files.readString(file);
                for (StandinProcess server : mServers.values()) {
                    String placeholder = "{{port:" + server.name() + "}}";
                    if (text.contains(placeholder)) {
                        text = text.replace(placeholder, Integer.toString(server.port()));
                    }
                }
                for (int i = 0; i < peerPorts.size(); i++) {
                    String placeholder = "{{port:entry-" + (i + 1) + "-peer}}";
                    text = text.replace(placeholder, peerPorts.get(i).toString());
                }
                String name = file.toFile().getName().replace(".json", "");
                mPublishedValues.put(name, JSON.readTree(text));
            }
        }
        addSingleStageClass(ORDER_CLASS, "order", "office", false);
        addSingleStageClass(DRAFT_CLASS, "generate", "generate", true);
        addModelRunners();
        for (Map.Entry<String, JsonNode> value : mPublishedValues.entrySet()) {
            Path file = values.resolve(value.getKey() + ".json");
            Files.writeString(file, value.getValue().toString());
        }
        mConfigService =
                StandinProcess.start("config", List.of("config", "--values", values.toString()));
        mConfigService.port();
    }

    /** Adds the model runners beyond the two of the example, spread over the failure domains. */
    private void addModelRunners() throws InterruptedException {
        ArrayNode backends = (ArrayNode) mPublishedValues.get("backends");
        for (StandinProcess server : serversOfPool("generate")) {
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
        ((ArrayNode) mPublishedValues.get("pipelines"))
                .addObject()
                .put("name", name + "-only")
                .putArray("stages")
                .addObject()
                .put("name", stage)
                .put("pool", pool)
                .put("repeatable", repeatable)
                .put("streams", repeatable);
        ((ArrayNode) mPublishedValues.get("classes"))
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
            url = "http://127.0.0.1:" + mConfigService.port();
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
                                mExtraSettings);
        Path file = mDirectory.resolve(vm + ".ini");
        Files.writeString(file, settings);
        mEntries.add(new EntryProcess(vm, file, callerPort, operatorPort));
    }

    private int freePort() throws IOException {
        while (true) {
            int port = FIRST_PORT + mPortRandom.nextInt(PORT_COUNT);
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
        if (mConfigService != null) {
            mConfigService.close();
        }
        try (Stream<Path> files = Files.walk(mDirectory)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException ignored) {
            // The operating system removes what is left of the temporary directory.
        }
    }

    /** Builder of a fleet. Thread safety: not safe; used by one thread. */
    public static final class Builder {
        private final Map<String, List<String>> mServerArguments = new LinkedHashMap<>();
        private String mExtraSettings = "";
        private int mModelRunners = 2;

        private Builder() {}

        /** Adds command-line arguments for one backend server. */
        public Builder server(String name, String... arguments) {
            mServerArguments.put(name, List.of(arguments));
            return this;
        }

        /** Sets the number of model runners. */
        public Builder modelRunners(int count) {
            mModelRunners = count;
            return this;
        }

        /** Adds sections to the settings of every entry. */
        public Builder settings(String text) {
            mExtraSettings = text;
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
                fleet.startConfigService(peerPorts);
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
