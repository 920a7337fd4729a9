package org.bulrushvale.system;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.locks.LockSupport;
import org.bulrushvale.daemon.EntryDaemon;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.bulrushvale.standin.config.ConfigService;
import org.bulrushvale.standin.plain.PlainService;
import org.bulrushvale.standin.pool.PoolServer;

/**
 * Several entry daemons in this process that share stand-ins for their backend servers. Each may
 * have a configuration service of its own, so that the service of one entry can be unreachable or
 * stale.
 *
 * <p>Invariant: every listener uses a free loopback port; all configuration services start with
 * equal values. Thread safety: the methods that call an entry may be used by any thread, the rest
 * by the test thread.
 */
final class EntryFleet implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final String DOMAINS = "[{\"name\":\"a\",\"region\":\"r\",\"in_service\":true}]";

    private final Map<String, EntryDaemon> mEntries = new LinkedHashMap<>();
    private final List<ConfigService> mConfigServices = new ArrayList<>();
    private final HttpClient mHttpClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final PoolServer mEncoder;
    private final PlainService mBooking;

    EntryFleet() throws IOException {
        mEncoder = PoolServer.builder().options(o -> o.name("enc-1").slots(64)).start();
        mBooking = PlainService.builder().options(o -> o.name("book-1").slots(64)).start();
    }

    /** Starts entries vm-1 to vm-N with one configuration service and waits until all are peers. */
    static EntryFleet start(int entries) throws Exception {
        EntryFleet fleet = new EntryFleet();
        try {
            ConfigService configService = fleet.startConfigService();
            for (int i = 1; i <= entries; i++) {
                fleet.startEntry("vm-" + i, configService, "");
            }
            fleet.publishVmList();
            fleet.awaitAllPeersKnown();
            return fleet;
        } catch (AssertionError e) {
            fleet.close();
            throw e;
        }
    }

    ConfigService startConfigService() throws IOException {
        // Every pool of the pipelines needs a server, but the tests run only stages of the pools
        // encode and booking. The other pools get the port of the encoder.
        int port = mEncoder.port();
        String backends =
                "["
                        + String.join(
                                ",",
                                SingleEntryFixture.backendJson("enc-1", "encode", port),
                                SingleEntryFixture.backendJson("ret-1", "retrieve", port),
                                SingleEntryFixture.backendJson("rer-1", "rerank", port),
                                SingleEntryFixture.backendJson("gen-1", "generate", port),
                                SingleEntryFixture.backendJson(
                                        "book-1", "booking", mBooking.port()))
                        + "]";
        ConfigService configService =
                ConfigService.builder()
                        .value("backends", backends)
                        .value("domains", DOMAINS)
                        .value("pipelines", SingleEntryFixture.pipelinesJson())
                        .value("classes", SingleEntryFixture.classesJson())
                        .value("workspaces-00", SingleEntryFixture.workspacesJson())
                        .vms("[]")
                        .start();
        mConfigServices.add(configService);
        return configService;
    }

    EntryDaemon startEntry(String vm, ConfigService configService, String peers)
            throws BulrushvaleException {
        EntryDaemon daemon =
                EntryDaemon.start(
                        SingleEntryFixture.entrySettings(vm, configService.port(), peers, ""));
        mEntries.put(vm, daemon);
        return daemon;
    }

    EntryDaemon entry(String vm) {
        EntryDaemon daemon = mEntries.get(vm);
        if (daemon == null) {
            throw new IllegalArgumentException("no entry on VM " + vm);
        }
        return daemon;
    }

    ConfigService configService(int index) {
        return mConfigServices.get(index);
    }

    PlainService booking() {
        return mBooking;
    }

    /** Publishes the list of all running entries at every configuration service. */
    void publishVmList() {
        List<String> vms = new ArrayList<>();
        mEntries.forEach(
                (vm, daemon) ->
                        vms.add(
                                ("{'name':'%s','address':'127.0.0.1','peer_port':%d,"
                                                + "'failure_domain':'a','region':'r',"
                                                + "'state':'live'}")
                                        .formatted(vm, daemon.port("peer").orElseThrow())
                                        .replace('\'', '"')));
        mConfigServices.forEach(
                configService -> configService.publishVmList("[" + String.join(",", vms) + "]"));
    }

    void awaitAllPeersKnown() {
        for (String vm : mEntries.keySet()) {
            await(vm + " has heard from all peers", TIMEOUT, () -> knowsAllPeers(vm));
        }
    }

    private boolean knowsAllPeers(String vm) throws Exception {
        int recentPeers = 0;
        for (JsonNode peer : report(vm, "peers").path("peers")) {
            recentPeers += peer.has("age_ms") && peer.path("age_ms").asLong() < 4_000 ? 1 : 0;
        }
        return entry(vm).isReady() && recentPeers == mEntries.size() - 1;
    }

    JsonNode report(String vm, String name) throws IOException, InterruptedException {
        int port = entry(vm).port("operator").orElseThrow();
        URI uri = URI.create("http://127.0.0.1:" + port + "/v1/" + name);
        HttpRequest request = HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(5)).build();
        return JSON.readTree(
                mHttpClient.send(request, HttpResponse.BodyHandlers.ofString()).body());
    }

    long revision(String vm) throws Exception {
        return report(vm, "status").path("revision").asLong(-1);
    }

    String issueKey(String vm) throws Exception {
        HttpRequest.Builder request = request(vm, "/v1/keys");
        JsonNode json = post(request, "{\"workspace\":\"granite\",\"class\":\"seat\"}");
        return json.path("key").asText();
    }

    JsonNode sendBooking(String vm, String key, String input) throws Exception {
        HttpRequest.Builder request = request(vm, "/v1/requests").header("Idempotency-Key", key);
        return post(request, SingleEntryFixture.requestBody("granite", "seat", input));
    }

    JsonNode sendLetter(String vm) throws Exception {
        return post(
                request(vm, "/v1/requests"),
                SingleEntryFixture.requestBody("granite", "letter", "x"));
    }

    private HttpRequest.Builder request(String vm, String path) {
        int port = entry(vm).port("caller").orElseThrow();
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(Duration.ofSeconds(20))
                .header("Authorization", "Bearer " + SingleEntryFixture.TOKEN);
    }

    private JsonNode post(HttpRequest.Builder request, String body)
            throws IOException, InterruptedException {
        HttpRequest built = request.POST(HttpRequest.BodyPublishers.ofString(body)).build();
        return JSON.readTree(mHttpClient.send(built, HttpResponse.BodyHandlers.ofString()).body());
    }

    /** Stops an entry without a graceful shutdown. */
    void kill(String vm) {
        entry(vm).close();
        mEntries.remove(vm);
    }

    static void await(String what, Duration limit, Callable<Boolean> condition) {
        long deadline = System.nanoTime() + limit.toNanos();
        try {
            while (!condition.call()) {
                if (System.nanoTime() - deadline > 0) {
                    throw new AssertionError("not within " + limit + ": " + what);
                }
                // Polling without a pause would take processor time from the daemons.
                LockSupport.parkNanos(Duration.ofMillis(10).toNanos());
            }
        } catch (RuntimeException e) {
            throw e;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        mEntries.values().forEach(EntryDaemon::close);
        mEntries.clear();
        mConfigServices.forEach(ConfigService::close);
        mBooking.close();
        mEncoder.close();
    }
}
