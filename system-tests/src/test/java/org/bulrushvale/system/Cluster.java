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
 * Several entry daemons in front of one pool of servers in the failure domains {@code a} and {@code
 * b}, all in this process, with a pipeline of one stage.
 *
 * <p>Invariant: every listener uses a free loopback port. Thread safety: {@link #send} may be
 * called from any thread, the rest by the test thread.
 */
final class Cluster implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration PATIENCE = Duration.ofSeconds(30);

    private final Map<String, Server> mServers = new LinkedHashMap<>();
    private final List<EntryDaemon> mDaemons = new ArrayList<>();
    private final List<AutoCloseable> mOpen = new ArrayList<>();
    private final ExecutorService mCallers = Executors.newCachedThreadPool();
    private final HttpClient mHttp =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private ConfigService mConfig;
    private int mTokens = 16;

    private record Server(
            String name, String domain, int slots, int bearable, PoolServer standin) {}

    /** Sets the number of tokens in the answers of the servers added next. */
    Cluster tokens(int tokens) {
        mTokens = tokens;
        return this;
    }

    /** Adds a server that is cold until it has completed some calls. */
    Cluster server(String name, String domain, int slots, int bearable, int coldCompletions)
            throws Exception {
        PoolServer standin =
                keep(
                        PoolServer.builder()
                                .options(
                                        o ->
                                                o.name(name)
                                                        .slots(slots)
                                                        .bearable(bearable)
                                                        .coldCompletions(coldCompletions)
                                                        .defaultTokens(mTokens)
                                                        .tokenTime(Duration.ZERO))
                                .start());
        mServers.put(name, new Server(name, domain, slots, bearable, standin));
        return this;
    }

    /** Starts daemons on the VMs vm-1, vm-2 and so on and waits until they are ready. */
    Cluster start(int daemons, int deadlineMs, String extraSettings) throws Exception {
        mConfig =
                keep(
                        ConfigService.builder()
                                .value("backends", backends(""))
                                .value("domains", domains(true))
                                .value("pipelines", pipelines())
                                .value("classes", classes(deadlineMs))
                                .value("workspaces-00", Fleet.workspaces())
                                .vms(Fleet.vms(daemons))
                                .start());
        for (int i = 1; i <= daemons; i++) {
            mDaemons.add(
                    keep(
                            EntryDaemon.start(
                                    Fleet.settings(mConfig.port(), "vm-" + i, extraSettings))));
        }
        await("daemons are ready", () -> mDaemons.stream().allMatch(EntryDaemon::isReady));
        return this;
    }

    PoolServer standin(String name) {
        return mServers.get(name).standin();
    }

    long stat(String server, String counter) {
        return standin(server).stats().path(counter).asLong();
    }

    void control(String json) {
        mServers.values().forEach(server -> server.standin().control(json));
    }

    /** Takes domain b out of service and waits until every daemon has applied the revision. */
    void takeOutDomainB() throws Exception {
        awaitRevision(mConfig.publish("domains", domains(false)));
    }

    /** Publishes a server as leaving and waits until every daemon has applied the revision. */
    void publishLeaving(String server) throws Exception {
        awaitRevision(mConfig.publish("backends", backends(server)));
    }

    private void awaitRevision(long revision) throws Exception {
        await(
                "revision " + revision + " is applied",
                () -> {
                    for (EntryDaemon daemon : mDaemons) {
                        int port = daemon.port("operator").orElseThrow();
                        URI uri = URI.create("http://127.0.0.1:" + port + "/v1/config");
                        HttpResponse<String> answer =
                                mHttp.send(
                                        HttpRequest.newBuilder(uri).build(),
                                        HttpResponse.BodyHandlers.ofString());
                        if (JSON.readTree(answer.body()).path("revision").asLong() < revision) {
                            return false;
                        }
                    }
                    return true;
                });
    }

    static void await(String what, Callable<Boolean> condition) throws Exception {
        long deadline = System.nanoTime() + PATIENCE.toNanos();
        while (!condition.call()) {
            assertThat(System.nanoTime() - deadline).as(what).isNegative();
            Thread.onSpinWait();
        }
    }

    /** Sends a request to a daemon, counted from 0. */
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
                () -> post(daemon, "/v1/requests", body, key), mCallers);
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
                        .timeout(PATIENCE)
                        .header("Authorization", "Bearer " + Fleet.TOKEN)
                        .POST(HttpRequest.BodyPublishers.ofString(body));
        if (!key.isEmpty()) {
            request.header("Idempotency-Key", key);
        }
        try {
            return mHttp.send(request.build(), HttpResponse.BodyHandlers.ofString());
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() throws Exception {
        for (int i = mOpen.size() - 1; i >= 0; i--) {
            mOpen.get(i).close();
        }
        mCallers.shutdownNow();
    }

    private <T extends AutoCloseable> T keep(T resource) {
        mOpen.add(resource);
        return resource;
    }

    private String backends(String leaving) {
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
                                                server.name().equals(leaving) ? "leaving" : "live"))
                .collect(Collectors.joining(",", "[", "]"))
                .replace('\'', '"');
    }

    private static String domains(boolean bothInService) {
        return ("[{'name':'a','region':'r','in_service':true},"
                        + "{'name':'b','region':'r','in_service':%s}]")
                .formatted(bothInService)
                .replace('\'', '"');
    }

    private static String pipelines() {
        return ("[{'name':'one','stages':[{'name':'answer','pool':'p','repeatable':true,"
                        + "'streams':false}]},"
                        + "{'name':'once','stages':[{'name':'book','pool':'p',"
                        + "'repeatable':false,'streams':false}]}]")
                .replace('\'', '"');
    }

    private static String classes(int deadlineMs) {
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
