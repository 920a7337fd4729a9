package org.bulrushvale.system;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;
import org.bulrushvale.daemon.EntryDaemon;
import org.bulrushvale.standin.config.ConfigService;
import org.bulrushvale.standin.pool.PoolServer;

/**
 * Several entry daemons in front of one pool of backend servers in the failure domains {@code a}
 * and {@code b}, all in this process, with pipelines of one stage.
 *
 * <p>Invariant: every listener uses a free loopback port. Thread safety: {@link #send} may be
 * called from any thread, the rest by the test thread.
 */
final class SingleStageCluster implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final Map<String, Server> mServers = new LinkedHashMap<>();
    private final List<EntryDaemon> mDaemons = new ArrayList<>();
    private final List<AutoCloseable> mResources = new ArrayList<>();
    private final ExecutorService mCallerExecutor = Executors.newCachedThreadPool();
    private final HttpClient mHttpClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private ConfigService mConfigService;
    private int mAnswerTokens = 16;

    private record Server(
            String name, String domain, int slots, int bearable, PoolServer standin) {}

    /** Sets the number of tokens in the answers of the servers added next. */
    SingleStageCluster tokens(int tokens) {
        mAnswerTokens = tokens;
        return this;
    }

    /**
     * Adds a server that is cold until it has completed {@code coldCompletions} calls. While it is
     * cold, it crashes when it gets more than {@code bearable} calls at once.
     */
    SingleStageCluster server(
            String name, String domain, int slots, int bearable, int coldCompletions)
            throws Exception {
        PoolServer standin =
                closeLater(
                        PoolServer.builder()
                                .options(
                                        o ->
                                                o.name(name)
                                                        .slots(slots)
                                                        .bearable(bearable)
                                                        .coldCompletions(coldCompletions)
                                                        .defaultTokens(mAnswerTokens)
                                                        .tokenTime(Duration.ZERO))
                                .start());
        mServers.put(name, new Server(name, domain, slots, bearable, standin));
        return this;
    }

    /** Starts daemons on the VMs vm-1, vm-2 and so on and waits until they are ready. */
    SingleStageCluster start(int daemons, int deadlineMs, String extraSettings) throws Exception {
        mConfigService =
                closeLater(
                        ConfigService.builder()
                                .value("backends", backendsJson(""))
                                .value("domains", domainsJson(true))
                                .value("pipelines", pipelinesJson())
                                .value("classes", classesJson(deadlineMs))
                                .value("workspaces-00", SingleEntryFixture.workspacesJson())
                                .vms(SingleEntryFixture.vmsJson(daemons))
                                .start());
        for (int i = 1; i <= daemons; i++) {
            mDaemons.add(
                    closeLater(
                            EntryDaemon.start(
                                    SingleEntryFixture.entrySettings(
                                            mConfigService.port(), "vm-" + i, extraSettings))));
        }
        await("daemons are ready", () -> mDaemons.stream().allMatch(EntryDaemon::isReady));
        return this;
    }

    PoolServer standin(String name) {
        return mServers.get(name).standin();
    }

    long counterOf(String server, String counter) {
        return standin(server).stats().path(counter).asLong();
    }

    void controlAll(String json) {
        mServers.values().forEach(server -> server.standin().control(json));
    }

    /** Takes domain b out of service and waits until every daemon has applied the revision. */
    void disableDomainB() throws Exception {
        awaitRevision(mConfigService.publish("domains", domainsJson(false)));
    }

    /** Publishes a server as leaving and waits until every daemon has applied the revision. */
    void publishLeaving(String server) throws Exception {
        awaitRevision(mConfigService.publish("backends", backendsJson(server)));
    }

    private void awaitRevision(long revision) throws Exception {
        await(
                "revision " + revision + " is applied",
                () -> {
                    for (EntryDaemon daemon : mDaemons) {
                        int port = daemon.port("operator").orElseThrow();
                        URI uri = URI.create("http://127.0.0.1:" + port + "/v1/config");
                        HttpResponse<String> response =
                                mHttpClient.send(
                                        HttpRequest.newBuilder(uri).build(),
                                        HttpResponse.BodyHandlers.ofString());
                        if (JSON.readTree(response.body()).path("revision").asLong() < revision) {
                            return false;
                        }
                    }
                    return true;
                });
    }

    static void await(String what, Callable<Boolean> condition) throws Exception {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.call()) {
            assertThat(System.nanoTime() - deadline).as(what).isNegative();
            Thread.onSpinWait();
        }
    }

    /** Sends a request to the daemon with the given index, counted from 0. */
    CompletableFuture<HttpResponse<String>> send(int daemon, String workClass, String input) {
        return send(daemon, workClass, input, "");
    }

    CompletableFuture<HttpResponse<String>> send(
            int daemon, String workClass, String input, String key) {
        String body =
                "{'workspace':'granite','class':'%s','input':'%s'}"
                        .formatted(workClass, input)
                        .replace('\'', '"');
        return CompletableFuture.supplyAsync(
                () -> post(daemon, "/v1/requests", body, key), mCallerExecutor);
    }

    String issueKey(int daemon, String workClass) throws Exception {
        String body =
                "{'workspace':'granite','class':'%s'}".formatted(workClass).replace('\'', '"');
        return JSON.readTree(post(daemon, "/v1/keys", body, "").body()).path("key").asText();
    }

    private HttpResponse<String> post(int daemon, String path, String body, String key) {
        int port = mDaemons.get(daemon).port("caller").orElseThrow();
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                        .timeout(TIMEOUT)
                        .header("Authorization", "Bearer " + SingleEntryFixture.TOKEN)
                        .POST(HttpRequest.BodyPublishers.ofString(body));
        if (!key.isEmpty()) {
            request.header("Idempotency-Key", key);
        }
        try {
            return mHttpClient.send(request.build(), HttpResponse.BodyHandlers.ofString());
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() throws Exception {
        for (int i = mResources.size() - 1; i >= 0; i--) {
            mResources.get(i).close();
        }
        mCallerExecutor.shutdownNow();
    }

    private <T extends AutoCloseable> T closeLater(T resource) {
        mResources.add(resource);
        return resource;
    }

    private String backendsJson(String leavingServer) {
        return mServers.values().stream()
                .map(
                        server ->
                                ("{'name':'%s','pool':'p','address':'127.0.0.1','port':%d,"
                                                + "'failure_domain':'%s','slots':%d,'bearable':%d,"
                                                + "'state':'%s'}")
                                        .formatted(
                                                server.name(),
                                                server.standin().port(),
                                                server.domain(),
                                                server.slots(),
                                                server.bearable(),
                                                server.name().equals(leavingServer)
                                                        ? "leaving"
                                                        : "live"))
                .collect(Collectors.joining(",", "[", "]"))
                .replace('\'', '"');
    }

    private static String domainsJson(boolean bothInService) {
        return ("[{'name':'a','region':'r','in_service':true},"
                        + "{'name':'b','region':'r','in_service':%s}]")
                .formatted(bothInService)
                .replace('\'', '"');
    }

    private static String pipelinesJson() {
        return ("[{'name':'one','stages':[{'name':'answer','pool':'p','repeatable':true,"
                        + "'streams':false}]},"
                        + "{'name':'once','stages':[{'name':'book','pool':'p',"
                        + "'repeatable':false,'streams':false}]}]")
                .replace('\'', '"');
    }

    private static String classesJson(int deadlineMs) {
        return ("[{'name':'ask','target':0.99,'deadline_ms':%d,'worth':1.0,"
                        + "'pipeline':'one','idempotent':true},"
                        + "{'name':'other','target':0.99,'deadline_ms':%d,'worth':1.0,"
                        + "'pipeline':'one','idempotent':true},"
                        + "{'name':'seat','target':0.99,'deadline_ms':%d,'worth':2.0,"
                        + "'pipeline':'once','idempotent':false}]")
                .formatted(deadlineMs, deadlineMs, deadlineMs)
                .replace('\'', '"');
    }
}
