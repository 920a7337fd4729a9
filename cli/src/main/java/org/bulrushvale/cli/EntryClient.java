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
 * HTTP client for entries that opens a new connection for each call.
 *
 * <p>Invariant: a call ends within the timeout for the connection plus the timeout for the answer.
 * Thread safety: safe for use by any thread.
 */
final class EntryClient implements AutoCloseable {
    private static final int BUFFER_BYTES = 8_192;
    private static final int MIN_SUCCESS_STATUS = 200;
    private static final int MIN_REDIRECT_STATUS = 300;
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
            throw new IllegalStateException("cannot create the worker of the HTTP client", e);
        }
    }

    /** Returns the JSON answer to a GET. */
    JsonNode get(HostPort address, String path) throws CliException {
        return parseAnswer(address, call(address, new ClientRequest().setPath(path), ""));
    }

    /** Returns the JSON answer to a POST. */
    JsonNode post(HostPort address, String path, Map<String, String> headers, JsonNode body)
            throws CliException {
        ClientRequest request = new ClientRequest().setMethod(Methods.POST).setPath(path);
        headers.forEach((name, value) -> request.getRequestHeaders().put(headerName(name), value));
        request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
        return parseAnswer(address, call(address, request, body.toString()));
    }

    @Override
    public void close() {
        mWorker.shutdownNow();
    }

    private static HttpString headerName(String name) {
        return new HttpString(name);
    }

    private static JsonNode parseAnswer(HostPort address, HttpAnswer answer) throws CliException {
        JsonNode json;
        try {
            json = MAPPER.readTree(answer.body);
        } catch (JsonProcessingException e) {
            throw CliException.notJson(address.toString());
        }
        if (answer.status < MIN_SUCCESS_STATUS || answer.status >= MIN_REDIRECT_STATUS) {
            throw CliException.refused(describeProblem(answer.status, json));
        }
        return json;
    }

    private static String describeProblem(int status, JsonNode json) {
        StringBuilder text = new StringBuilder();
        text.append(json.path("title").asText("refused")).append(" (").append(status).append(')');
        for (String field : new String[] {"detail", "code", "verdict", "advice"}) {
            if (json.hasNonNull(field)) {
                text.append("; ").append(field).append(": ").append(json.path(field).asText());
            }
        }
        return text.toString();
    }

    private HttpAnswer call(HostPort address, ClientRequest request, String body)
            throws CliException {
        ClientConnection connection = connect(address);
        try {
            request.getRequestHeaders().put(Headers.HOST, address.toString());
            request.getRequestHeaders().put(Headers.CONNECTION, "close");
            if (!body.isEmpty()) {
                int length = body.getBytes(StandardCharsets.UTF_8).length;
                request.getRequestHeaders().put(Headers.CONTENT_LENGTH, length);
            }
            CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
            connection
                    .getIoThread()
                    .execute(() -> connection.sendRequest(request, requestWriter(body, answer)));
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

    private ClientCallback<ClientExchange> requestWriter(
            String body, CompletableFuture<HttpAnswer> answer) {
        return callback(
                answer,
                exchange -> {
                    exchange.setResponseListener(
                            callback(answer, ended -> readAnswer(ended, answer)));
                    if (!body.isEmpty()) {
                        new StringWriteChannelListener(body).setup(exchange.getRequestChannel());
                    }
                });
    }

    private void readAnswer(ClientExchange exchange, CompletableFuture<HttpAnswer> answer) {
        int status = exchange.getResponse().getResponseCode();
        new StringReadChannelListener(mBuffers) {
            @Override
            protected void stringDone(String body) {
                answer.complete(new HttpAnswer(status, body));
            }

            @Override
            protected void error(IOException e) {
                answer.completeExceptionally(e);
            }
        }.setup(exchange.getResponseChannel());
    }

    private static <T> ClientCallback<T> callback(
            CompletableFuture<?> future, Consumer<T> onCompleted) {
        return new ClientCallback<>() {
            @Override
            public void completed(T result) {
                onCompleted.accept(result);
            }

            @Override
            public void failed(IOException e) {
                future.completeExceptionally(e);
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

    private record HttpAnswer(int status, String body) {}
}
