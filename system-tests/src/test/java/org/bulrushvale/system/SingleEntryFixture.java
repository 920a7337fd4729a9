package org.bulrushvale.system;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.bulrushvale.adapters.settings.EntrySettings;
import org.bulrushvale.adapters.settings.SettingsCheck;
import org.bulrushvale.daemon.EntryDaemon;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.bulrushvale.standin.config.ConfigService;
import org.bulrushvale.standin.model.ModelRunner;
import org.bulrushvale.standin.plain.PlainService;
import org.bulrushvale.standin.pool.PoolServer;

/**
 * One entry daemon with stand-ins for its backend servers and the configuration service, all in
 * this process.
 *
 * <p>Invariant: every listener uses a free loopback port. Thread safety: used by the test thread.
 */
final class SingleEntryFixture implements AutoCloseable {
    static final String TOKEN = "token-of-granite";
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(10);

    private final List<AutoCloseable> mResources = new ArrayList<>();
    private final HttpClient mHttpClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final PoolServer mEncoder;
    private final ModelRunner mModel;
    private final PlainService mBooking;
    private final ConfigService mConfigService;
    private final EntryDaemon mDaemon;

    private SingleEntryFixture(String extraSettings) throws IOException, BulrushvaleException {
        mEncoder = closeLater(PoolServer.builder().options(o -> o.name("enc-1").slots(64)).start());
        PoolServer retriever =
                closeLater(PoolServer.builder().options(o -> o.name("ret-1").slots(64)).start());
        PoolServer reranker =
                closeLater(PoolServer.builder().options(o -> o.name("rer-1").slots(64)).start());
        mModel = closeLater(ModelRunner.builder().options(o -> o.name("gen-1").slots(64)).start());
        mBooking =
                closeLater(PlainService.builder().options(o -> o.name("book-1").slots(64)).start());
        String backends =
                "["
                        + String.join(
                                ",",
                                backendJson("enc-1", "encode", mEncoder.port()),
                                backendJson("ret-1", "retrieve", retriever.port()),
                                backendJson("rer-1", "rerank", reranker.port()),
                                backendJson("gen-1", "generate", mModel.port()),
                                backendJson("book-1", "booking", mBooking.port()))
                        + "]";
        mConfigService =
                closeLater(
                        ConfigService.builder()
                                .value("backends", backends)
                                .value(
                                        "domains",
                                        "[{'name':'a','region':'r','in_service':true}]"
                                                .replace('\'', '"'))
                                .value("pipelines", pipelinesJson())
                                .value("classes", classesJson())
                                .value("workspaces-00", workspacesJson())
                                .vms(vmsJson(1))
                                .start());
        mDaemon =
                closeLater(
                        EntryDaemon.start(
                                entrySettings(mConfigService.port(), "vm-1", extraSettings)));
    }

    static SingleEntryFixture start() throws IOException, BulrushvaleException {
        return start("");
    }

    static SingleEntryFixture start(String extraSettings) throws IOException, BulrushvaleException {
        SingleEntryFixture fixture = new SingleEntryFixture(extraSettings);
        long deadline = System.nanoTime() + READY_TIMEOUT.toNanos();
        while (!fixture.mDaemon.isReady()) {
            if (System.nanoTime() - deadline > 0) {
                fixture.close();
                throw new IllegalStateException("the daemon is not ready after " + READY_TIMEOUT);
            }
            Thread.onSpinWait();
        }
        return fixture;
    }

    PoolServer encoder() {
        return mEncoder;
    }

    ModelRunner model() {
        return mModel;
    }

    PlainService booking() {
        return mBooking;
    }

    ConfigService configService() {
        return mConfigService;
    }

    EntryDaemon daemon() {
        return mDaemon;
    }

    int callerPort() {
        return mDaemon.port("caller").orElseThrow();
    }

    HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + callerPort() + path))
                .timeout(Duration.ofSeconds(20))
                .header("Authorization", "Bearer " + TOKEN);
    }

    HttpResponse<String> post(HttpRequest.Builder request, String body)
            throws IOException, InterruptedException {
        HttpRequest built = request.POST(HttpRequest.BodyPublishers.ofString(body)).build();
        return mHttpClient.send(built, HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> get(String listener, String path)
            throws IOException, InterruptedException {
        int port = mDaemon.port(listener).orElseThrow();
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path)).build();
        return mHttpClient.send(request, HttpResponse.BodyHandlers.ofString());
    }

    static String requestBody(String workspace, String workClass, String input) {
        return "{'workspace':'%s','class':'%s','input':'%s','max_tokens':20}"
                .formatted(workspace, workClass, input)
                .replace('\'', '"');
    }

    @Override
    public void close() {
        for (int i = mResources.size() - 1; i >= 0; i--) {
            try {
                mResources.get(i).close();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        }
        mResources.clear();
    }

    private <T extends AutoCloseable> T closeLater(T resource) {
        mResources.add(resource);
        return resource;
    }

    /**
     * Returns the JSON of a list of live VMs named vm-1, vm-2 and so on. Their peer ports are
     * placeholders on which no entry listens.
     */
    static String vmsJson(int count) {
        List<String> vms = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            vms.add(
                    ("{'name':'vm-%d','address':'127.0.0.1','peer_port':%d,'failure_domain':'a',"
                                    + "'region':'r','state':'live'}")
                            .formatted(i, i)
                            .replace('\'', '"'));
        }
        return "[" + String.join(",", vms) + "]";
    }

    static EntrySettings entrySettings(int configPort, String vm, String extraSettings) {
        return entrySettings(vm, configPort, "", extraSettings);
    }

    /**
     * Returns settings of an entry.
     *
     * @param peers addresses of peers to contact while the VM list is unknown; may be empty
     */
    static EntrySettings entrySettings(
            String vm, int configPort, String peers, String extraSettings) {
        String url = "http://127.0.0.1:" + configPort;
        String text =
                """
                [entry]
                vm = %s
                failure_domain = a
                region = r
                fleet = test
                [caller]
                address = 127.0.0.1
                port = 0
                max_body_bytes = 65536
                read_timeout_ms = 400
                [operator]
                address = 127.0.0.1
                port = 0
                allowed_addresses = 127.0.0.1
                [peer]
                address = 127.0.0.1
                port = 0
                secret = a-secret-of-the-test-fleet
                peers = %s
                [platform]
                config_url = %s
                vms_url = %s
                [drain]
                readiness_delay_ms = 0
                [backend]
                %s
                %s
                """
                        .formatted(
                                vm,
                                peers,
                                url,
                                url,
                                extraSettings.contains("progress_timeout_ms")
                                        ? ""
                                        : "progress_timeout_ms = 700",
                                extraSettings);
        SettingsCheck.Result result = SettingsCheck.check(text);
        return result.settings()
                .orElseThrow(() -> new IllegalStateException(result.faults().toString()));
    }

    static String backendJson(String name, String pool, int port) {
        return ("{'name':'%s','pool':'%s','address':'127.0.0.1','port':%d,'failure_domain':'a',"
                        + "'slots':64,'bearable':8,'state':'live'}")
                .formatted(name, pool, port)
                .replace('\'', '"');
    }

    static String pipelinesJson() {
        String fourStages =
                stageJson("encode", true, false)
                        + ","
                        + stageJson("retrieve", true, false)
                        + ","
                        + stageJson("rerank", true, false)
                        + ","
                        + stageJson("generate", true, true);
        return ("[{'name':'draft','stages':["
                        + fourStages
                        + "]},"
                        + "{'name':'book','stages':["
                        + stageJson("encode", true, false)
                        + ","
                        + stageJson("booking", false, false)
                        + "]}]")
                .replace('\'', '"');
    }

    private static String stageJson(String name, boolean repeatable, boolean streams) {
        return "{'name':'%s','pool':'%s','repeatable':%s,'streams':%s}"
                .formatted(name, name, repeatable, streams);
    }

    static String classesJson() {
        return ("[{'name':'letter','target':0.99,'deadline_ms':5000,'worth':1.0,"
                        + "'pipeline':'draft','idempotent':true},"
                        + "{'name':'seat','target':0.99,'deadline_ms':5000,'worth':2.0,"
                        + "'pipeline':'book','idempotent':false}]")
                .replace('\'', '"');
    }

    static String workspacesJson() {
        return "[{'name':'granite','token_sha256':'%s','share':1.0}]"
                .formatted(sha256(TOKEN))
                .replace('\'', '"');
    }

    static String sha256(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
