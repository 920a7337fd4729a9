package org.bulrushvale.cli;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * HTTP server on an ephemeral loopback port that answers configured paths with fixed JSON, and
 * every other path with status 503 and verdict NOT_RUN.
 *
 * <p>Thread safety: safe for use by any thread.
 */
final class FakeEntry implements AutoCloseable {
    private final Map<String, String> mJsonByPath = new ConcurrentHashMap<>();
    private final List<String> mCalls = new CopyOnWriteArrayList<>();
    private final Undertow mServer =
            Undertow.builder()
                    .addHttpListener(0, "127.0.0.1", this::handle)
                    .setIoThreads(1)
                    .setWorkerThreads(1)
                    .build();

    FakeEntry() {
        mServer.start();
    }

    FakeEntry answer(String path, String json) {
        mJsonByPath.put(path, json);
        return this;
    }

    /** Returns path, authorization, idempotency key and body of each call, separated by blanks. */
    List<String> calls() {
        return mCalls;
    }

    String address() {
        return "127.0.0.1:"
                + ((InetSocketAddress) mServer.getListenerInfo().get(0).getAddress()).getPort();
    }

    private void handle(HttpServerExchange exchange) {
        exchange.getRequestReceiver()
                .receiveFullString(
                        (received, body) -> {
                            mCalls.add(
                                    String.join(
                                            " ",
                                            received.getRequestPath(),
                                            header(received, "Authorization"),
                                            header(received, "Idempotency-Key"),
                                            body));
                            String json = mJsonByPath.get(received.getRequestPath());
                            received.setStatusCode(json == null ? 503 : 200);
                            received.getResponseHeaders()
                                    .put(Headers.CONTENT_TYPE, "application/json");
                            received.getResponseSender()
                                    .send(
                                            json == null
                                                    ? "{\"title\":\"Overloaded\","
                                                            + "\"verdict\":\"NOT_RUN\"}"
                                                    : json);
                        });
    }

    private static String header(HttpServerExchange exchange, String name) {
        String value = exchange.getRequestHeaders().getFirst(name);
        return value == null ? "-" : value;
    }

    @Override
    public void close() {
        mServer.stop();
    }
}
