package org.bulrushvale.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.StringReadChannelListener;
import io.undertow.util.StringWriteChannelListener;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * HTTP calls to entries, each on its own connection.
 *
 * <p>Invariant: a call ends within the timeout for the connection plus the timeout for the answer.
 * Thread safety: safe for use by any thread.
 */
final class EntryClient implements AutoCloseable {
    private static final int BUFFER_BYTES = 8_192;
    private static final int SUCCESS = 200;
    private static final int REDIRECT = 300;
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final Duration mTimeout;
    private final XnioWorker mWorker;
    private final ByteBufferPool mBuffers = new DefaultByteBufferPool(false, BUFFER_BYTES);

    EntryClient(Duration timeout) {
        mTimeout = timeout;
        try {
            mWorker =
                    Xnio.getInstance(EntryClient.class.getClassLoader())
                            .createWorker(
                                    OptionMap.builder()
                                            .set(Options.WORKER_IO_THREADS, 1)
                                            .set(Options.THREAD_DAEMON, true)
                                            .getMap());
        } catch (IOException e) {
            throw new IllegalStateException("no I/O thread", e);
        }
    }

    /** Returns the JSON answer to a GET. */
    JsonNode get(HostPort address, String path) throws CliException {
        return json(address, call(address, new ClientRequest().setPath(path), ""));
    }

    /** Returns the JSON answer to a POST. */
    JsonNode post(HostPort address, String path, Map<String, String> headers, JsonNode body)
            throws CliException {
        ClientRequest request = new ClientRequest().setMethod(Methods.POST).setPath(path);
        headers.forEach((name, value) -> request.getRequestHeaders().put(key(name), value));
        request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
        return json(address, call(address, request, body.toString()));
    }

    @Override
    public void close() {
        mWorker.shutdownNow();
    }

    private static HttpString key(String name) {
        return new HttpString(name);
    }

    private static JsonNode json(HostPort address, Answer answer) throws CliException {
        JsonNode json;
        try {
            json = MAPPER.readTree(answer.body);
        } catch (JsonProcessingException e) {
            throw CliException.notJson(address.toString());
        }
        if (answer.status < SUCCESS || answer.status >= REDIRECT) {
            throw CliException.refused(problem(answer.status, json));
        }
        return json;
    }

    private static String problem(int status, JsonNode json) {
        StringBuilder text = new StringBuilder();
        text.append(json.path("title").asText("refused")).append(" (").append(status).append(')');
        for (String field : new String[] {"detail", "code", "verdict", "advice"}) {
            if (json.hasNonNull(field)) {
                text.append("; ").append(field).append(": ").append(json.path(field).asText());
            }
        }
        return text.toString();
    }

    private Answer call(HostPort address, ClientRequest request, String body) throws CliException {
        ClientConnection connection = connect(address);
        try {
            request.getRequestHeaders().put(Headers.HOST, address.toString());
            request.getRequestHeaders().put(Headers.CONNECTION, "close");
            if (!body.isEmpty()) {
                int length = body.getBytes(StandardCharsets.UTF_8).length;
                request.getRequestHeaders().put(Headers.CONTENT_LENGTH, length);
            }
            CompletableFuture<Answer> answer = new CompletableFuture<>();
            connection
                    .getIoThread()
                    .execute(() -> connection.sendRequest(request, writer(body, answer)));
            return await(answer);
        } catch (IOException e) {
            throw CliException.noAnswer(address.toString());
        } finally {
            IoUtils.safeClose(connection);
        }
    }

    private ClientConnection connect(HostPort address) throws CliException {
        CompletableFuture<ClientConnection> connected = new CompletableFuture<>();
        UndertowClient.getInstance()
                .connect(
                        callback(connected, connected::complete),
                        address.uri(),
                        mWorker,
                        mBuffers,
                        OptionMap.EMPTY);
        try {
            return await(connected);
        } catch (IOException e) {
            // A connection that is established after the timeout must not stay open.
            connected.thenAccept(IoUtils::safeClose);
            throw CliException.notConnected(address.toString());
        }
    }

    private ClientCallback<ClientExchange> writer(String body, CompletableFuture<Answer> answer) {
        return callback(
                answer,
                exchange -> {
                    exchange.setResponseListener(callback(answer, ended -> read(ended, answer)));
                    if (!body.isEmpty()) {
                        new StringWriteChannelListener(body).setup(exchange.getRequestChannel());
                    }
                });
    }

    private void read(ClientExchange exchange, CompletableFuture<Answer> answer) {
        int status = exchange.getResponse().getResponseCode();
        new StringReadChannelListener(mBuffers) {
            @Override
            protected void stringDone(String body) {
                answer.complete(new Answer(status, body));
            }

            @Override
            protected void error(IOException e) {
                answer.completeExceptionally(e);
            }
        }.setup(exchange.getResponseChannel());
    }

    private static <T> ClientCallback<T> callback(
            CompletableFuture<?> failure, Consumer<T> onCompleted) {
        return new ClientCallback<>() {
            @Override
            public void completed(T result) {
                onCompleted.accept(result);
            }

            @Override
            public void failed(IOException e) {
                failure.completeExceptionally(e);
            }
        };
    }

    private <T> T await(CompletableFuture<T> future) throws IOException {
        try {
            return future.get(mTimeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    private record Answer(int status, String body) {}
}
