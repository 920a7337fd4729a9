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
 * One entry daemon with stand-ins of its backend servers and of the platform, all in this process.
 *
 * <p>Invariant: every listener uses a free loopback port. Thread safety: used by the test thread.
 */
final class Fleet implements AutoCloseable {
    static final String TOKEN = "token-of-granite";
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(10);

    private final List<AutoCloseable> mOpen = new ArrayList<>();
    private final HttpClient mHttp =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final PoolServer mEncoder;
    private final ModelRunner mModel;
    private final PlainService mBooking;
    private final ConfigService mConfig;
    private final EntryDaemon mDaemon;

    private Fleet(String extraSettings) throws IOException, BulrushvaleException {
        mEncoder = keep(PoolServer.builder().options(o -> o.name("enc-1").slots(64)).start());
        PoolServer retriever =
                keep(PoolServer.builder().options(o -> o.name("ret-1").slots(64)).start());
        PoolServer reranker =
                keep(PoolServer.builder().options(o -> o.name("rer-1").slots(64)).start());
        mModel = keep(ModelRunner.builder().options(o -> o.name("gen-1").slots(64)).start());
        mBooking = keep(PlainService.builder().options(o -> o.name("book-1").slots(64)).start());
        String backends =
                "["
                        + String.join(
                                ",",
                                backend("enc-1", "encode", mEncoder.port()),
                                backend("ret-1", "retrieve", retriever.port()),
                                backend("rer-1", "rerank", reranker.port()),
                                backend("gen-1", "generate", mModel.port()),
                                backend("book-1", "booking", mBooking.port()))
                        + "]";
        mConfig =
                keep(
                        ConfigService.builder()
                                .value("backends", backends)
                                .value(
                                        "domains",
                                        "[{'name':'a','region':'r','in_service':true}]"
                                                .replace('\'', '"'))
                                .value("pipelines", pipelines())
                                .value("classes", classes())
                                .value("workspaces-00", workspaces())
                                .vms(vms(1))
                                .start());
        mDaemon = keep(EntryDaemon.start(settings(mConfig.port(), "vm-1", extraSettings)));
    }

    static Fleet start() throws IOException, BulrushvaleException {
        return start("");
    }

    static Fleet start(String extraSettings) throws IOException, BulrushvaleException {
        Fleet fleet = new Fleet(extraSettings);
        long deadline = System.nanoTime() + READY_TIMEOUT.toNanos();
        while (!fleet.mDaemon.isReady()) {
            if (System.nanoTime() - deadline > 0) {
                fleet.close();
                throw new IllegalStateException("the daemon did not become ready");
            }
            Thread.onSpinWait();
        }
        return fleet;
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

    ConfigService config() {
        return mConfig;
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
        return mHttp.send(built, HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> get(String listener, String path)
            throws IOException, InterruptedException {
        int port = mDaemon.port(listener).orElseThrow();
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path)).build();
        return mHttp.send(request, HttpResponse.BodyHandlers.ofString());
    }

    static String body(String workspace, String workClass, String input) {
        return "{'workspace':'%s','class':'%s','input':'%s','max_tokens':20}"
                .formatted(workspace, workClass, input)
                .replace('\'', '"');
    }

    @Override
    public void close() {
        for (int i = mOpen.size() - 1; i >= 0; i--) {
            try {
                mOpen.get(i).close();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        }
        mOpen.clear();
    }

    private <T extends AutoCloseable> T keep(T resource) {
        mOpen.add(resource);
        return resource;
    }

    /** Returns a list of live VMs named vm-1, vm-2 and so on. */
    static String vms(int count) {
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

    static EntrySettings settings(int configPort, String vm, String extra) {
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
                                url,
                                url,
                                extra.contains("progress_timeout_ms")
                                        ? ""
                                        : "progress_timeout_ms = 700",
                                extra);
        SettingsCheck.Result result = SettingsCheck.check(text);
        return result.settings()
                .orElseThrow(() -> new IllegalStateException(result.faults().toString()));
    }

    private static String backend(String name, String pool, int port) {
        return ("{'name':'%s','pool':'%s','address':'127.0.0.1','port':%d,'failure_domain':'a',"
                        + "'slots':64,'bearable':8,'state':'live'}")
                .formatted(name, pool, port)
                .replace('\'', '"');
    }

    private static String pipelines() {
        String four =
                stage("encode", true, false)
                        + ","
                        + stage("retrieve", true, false)
                        + ","
                        + stage("rerank", true, false)
                        + ","
                        + stage("generate", true, true);
        return ("[{'name':'draft','stages':["
                        + four
                        + "]},"
                        + "{'name':'book','stages':["
                        + stage("encode", true, false)
                        + ","
                        + stage("booking", false, false)
                        + "]}]")
                .replace('\'', '"');
    }

    private static String stage(String name, boolean repeatable, boolean streams) {
        return "{'name':'%s','pool':'%s','repeatable':%s,'streams':%s}"
                .formatted(name, name, repeatable, streams);
    }

    private static String classes() {
        return ("[{'name':'letter','target':0.99,'deadline_ms':5000,'worth':1.0,"
                        + "'pipeline':'draft','idempotent':true},"
                        + "{'name':'seat','target':0.99,'deadline_ms':5000,'worth':2.0,"
                        + "'pipeline':'book','idempotent':false}]")
                .replace('\'', '"');
    }

    static String workspaces() {
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
