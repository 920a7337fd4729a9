package org.bulrushvale.systemtests.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.platform.EntryHarness;
import org.bulrushvale.platform.ScriptedServer;
import org.bulrushvale.platform.ScriptedServer.Connection;
import org.bulrushvale.platform.ScriptedServer.ReceivedRequest;
import org.bulrushvale.platform.StoreStandin;

/**
 * Backend servers that never fail, and the store that publishes them.
 *
 * <p>Invariant: every arrival of a request is recorded before it runs. Thread safety: safe for use
 * by any thread.
 */
final class SoakBackends implements AutoCloseable {
    private final StoreStandin mStore = new StoreStandin();
    private final List<ScriptedServer> mServers = new ArrayList<>();
    private final Map<String, List<Double>> mArrivals = new ConcurrentHashMap<>();

    SoakBackends() throws IOException {
        String[] routes =
                Arrays.stream(SoakRequest.Kind.values())
                        .map(SoakRequest.Kind::routeJson)
                        .toArray(String[]::new);
        mStore.put("op/config", EntryHarness.configJson(1, routes));
        for (String name : List.of("plain-1", "plain-2", "plain-3", "model-1", "model-2")) {
            ScriptedServer server = ScriptedServer.start(this::respond);
            mServers.add(server);
            String service = name.substring(0, name.indexOf('-'));
            mStore.put(
                    "servers/" + name, EntryHarness.serverJson(service, server.address(), "ready"));
        }
    }

    String storeAddress() {
        return mStore.address();
    }

    /** Returns the times at which a request reached backend servers. */
    List<Double> arrivals(SoakRequest request) {
        return mArrivals.getOrDefault(request.id(), List.of());
    }

    private boolean respond(ReceivedRequest request, Connection connection) throws IOException {
        String id = request.header("Attempt-Id");
        if (id.isEmpty()) {
            connection.respond(200, "", "ok");
            return true;
        }
        mArrivals.computeIfAbsent(id, k -> new CopyOnWriteArrayList<>()).add(SoakRequest.now());
        int runMillis = Integer.parseInt(request.queryParameter("ms"));
        String headers = "Attempt-Id: " + id + "\r\nResponse-Stamp: s1\r\n";
        try {
            if (request.target().startsWith("/stream/")) {
                String head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
                connection.write(head + headers + "Transfer-Encoding: chunked\r\n\r\n");
                for (int i = 0; i < runMillis / SoakRequest.EVENT_MILLIS; i++) {
                    TimeUnit.MILLISECONDS.sleep(SoakRequest.EVENT_MILLIS);
                    connection.writeChunk(SoakRequest.event(id, i));
                }
                connection.write("0\r\n\r\n");
            } else {
                TimeUnit.MILLISECONDS.sleep(runMillis);
                connection.respond(200, headers, "answer to " + request.body());
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        return true;
    }

    @Override
    public void close() throws IOException {
        for (ScriptedServer server : mServers) {
            server.close();
        }
        mStore.close();
    }
}
