package org.bulrushvale.adapters.forward;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.client.UndertowClient;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.adapters.backend.BackendFailure;
import org.bulrushvale.adapters.backend.RequestWriter;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;

/**
 * One HTTP call.
 *
 * <p>Invariant: the listener is told at most one end, none after a cancel; a connection is used
 * again only after the whole request was written and the whole answer was read. Thread safety: used
 * on the I/O thread only.
 */
final class UpstreamCall {
    // Servers state their idle time-out in whole seconds; half of the shortest is used without one.
    private static final Duration DEFAULT_KEEP_ALIVE = Duration.ofSeconds(2);
    private static final Duration KEEP_ALIVE_MARGIN = Duration.ofMillis(600);

    private final UndertowUpstreamClient mCalls;
    private final UpstreamClient.Request mRequest;
    private final UpstreamClient.Listener mListener;
    private final String mAddress;
    private final RequestWriter mWriter;
    private @Nullable ClientConnection mConnection;
    private XnioExecutor.@Nullable Key mTimer;
    private long mLastProgress;
    private boolean mEnded;
    private boolean mSent;
    private boolean mWritten;
    private boolean mHeadSeen;
    private long mKeepAliveNanos = DEFAULT_KEEP_ALIVE.toNanos();

    UpstreamCall(
            UndertowUpstreamClient calls,
            UpstreamClient.Request request,
            UpstreamClient.Listener listener) {
        mCalls = calls;
        mRequest = request;
        mListener = listener;
        mAddress = request.host() + ":" + request.port();
        mWriter =
                new RequestWriter(
                        request.body(),
                        () -> mWritten = true,
                        () -> fail(BackendFailure.RESET, "request not written completely"));
    }

    void start() {
        if (mEnded) {
            return;
        }
        ClientConnection idle =
                mRequest.reuse() ? mCalls.idle().take(mAddress, System.nanoTime()) : null;
        if (idle != null) {
            send(idle);
            return;
        }
        mTimer =
                mCalls.thread()
                        .executeAfter(
                                () -> fail(BackendFailure.CONNECT, "connection timed out"),
                                mCalls.connectTimeout().toMillis(),
                                TimeUnit.MILLISECONDS);
        UndertowClient.getInstance()
                .connect(
                        new ClientCallback<ClientConnection>() {
                            @Override
                            public void completed(ClientConnection connection) {
                                mCalls.thread().execute(() -> connected(connection));
                            }

                            @Override
                            public void failed(IOException e) {
                                mCalls.thread()
                                        .execute(
                                                () ->
                                                        fail(
                                                                BackendFailure.CONNECT,
                                                                "connection failed"));
                            }
                        },
                        URI.create("http://" + mAddress),
                        mCalls.thread(),
                        mCalls.buffers(),
                        UndertowUpstreamClient.SOCKETS);
    }

    void cancel() {
        mEnded = true;
        stopTimer();
        breakOff();
    }

    /**
     * Closes the socket at once. Undertow's own close waits for the other side, which would go on
     * with its work.
     */
    private void breakOff() {
        ClientConnection connection = mConnection;
        if (connection == null || !connection.isOpen()) {
            return;
        }
        try {
            IoUtils.safeClose(connection.performUpgrade());
        } catch (IOException e) {
            IoUtils.safeClose(connection);
        }
    }

    private void connected(ClientConnection connection) {
        stopTimer();
        if (mEnded) {
            mCalls.idle().put(mAddress, connection, System.nanoTime() + mKeepAliveNanos);
            return;
        }
        send(connection);
    }

    private void send(ClientConnection connection) {
        mConnection = connection;
        mLastProgress = System.nanoTime();
        watchProgress(mRequest.progressTimeout().toNanos());
        ClientRequest request =
                new ClientRequest().setMethod(mRequest.method()).setPath(mRequest.target());
        for (var header : mRequest.headers()) {
            request.getRequestHeaders().addAll(header.getHeaderName(), header);
        }
        mSent = true;
        connection.sendRequest(
                request,
                new ClientCallback<ClientExchange>() {
                    @Override
                    public void completed(ClientExchange exchange) {
                        exchange.setResponseListener(responseListener());
                        mWriter.write(exchange.getRequestChannel());
                    }

                    @Override
                    public void failed(IOException e) {
                        fail(BackendFailure.RESET, "request could not be written");
                    }
                });
    }

    private ClientCallback<ClientExchange> responseListener() {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                onHead(exchange);
            }

            @Override
            public void failed(IOException e) {
                fail(BackendFailure.RESET, "connection lost before an answer");
            }
        };
    }

    private void onHead(ClientExchange exchange) {
        if (mEnded) {
            return;
        }
        mHeadSeen = true;
        mLastProgress = System.nanoTime();
        ClientResponse response = exchange.getResponse();
        readKeepAlive(response.getResponseHeaders());
        if (!mListener.head(response.getResponseCode(), response.getResponseHeaders())) {
            fail(BackendFailure.MALFORMED, "answer refused");
            return;
        }
        read(exchange.getResponseChannel());
    }

    private void readKeepAlive(HeaderMap headers) {
        String connection = headers.getFirst(Headers.CONNECTION);
        if (connection != null && connection.toLowerCase(java.util.Locale.ROOT).contains("close")) {
            mKeepAliveNanos = 0;
            return;
        }
        String value = headers.getFirst(Headers.KEEP_ALIVE);
        int at = value == null ? -1 : value.indexOf("timeout=");
        if (value == null || at < 0) {
            return;
        }
        String seconds = value.substring(at + "timeout=".length()).split("[,; ]", 2)[0];
        try {
            mKeepAliveNanos =
                    Duration.ofSeconds(Long.parseLong(seconds)).minus(KEEP_ALIVE_MARGIN).toNanos();
        } catch (NumberFormatException e) {
            mKeepAliveNanos = 0;
        }
    }

    private void read(StreamSourceChannel channel) {
        try (PooledByteBuffer pooled = mCalls.buffers().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (!mEnded) {
                buffer.clear();
                int count = channel.read(buffer);
                if (count < 0) {
                    finish();
                    return;
                }
                if (count == 0) {
                    channel.getReadSetter().set(this::read);
                    channel.resumeReads();
                    return;
                }
                mLastProgress = System.nanoTime();
                byte[] bytes = new byte[count];
                buffer.flip().get(bytes);
                if (!mListener.body(bytes)) {
                    fail(BackendFailure.MALFORMED, "answer refused");
                    return;
                }
            }
        } catch (IOException e) {
            fail(BackendFailure.CUT, "answer ended early");
        }
    }

    private void finish() {
        mEnded = true;
        stopTimer();
        ClientConnection connection = mConnection;
        if (connection != null) {
            if (mWritten && mKeepAliveNanos > 0 && connection.isOpen()) {
                long until = System.nanoTime() + mKeepAliveNanos;
                mCalls.idle().put(mAddress, connection, until);
            } else {
                breakOff();
            }
        }
        mListener.end();
    }

    private void fail(BackendFailure failure, String detail) {
        if (mEnded) {
            return;
        }
        mEnded = true;
        stopTimer();
        breakOff();
        BackendFailure seen =
                failure == BackendFailure.RESET && mHeadSeen ? BackendFailure.CUT : failure;
        mListener.failed(mSent, seen, detail);
    }

    private void stopTimer() {
        XnioExecutor.Key timer = mTimer;
        mTimer = null;
        if (timer != null) {
            timer.remove();
        }
    }

    private void watchProgress(long delayNanos) {
        mTimer =
                mCalls.thread()
                        .executeAfter(
                                () -> {
                                    long idle = System.nanoTime() - mLastProgress;
                                    long left = mRequest.progressTimeout().toNanos() - idle;
                                    if (left <= 0) {
                                        fail(BackendFailure.SILENT, "no byte in time");
                                    } else if (!mEnded) {
                                        watchProgress(left);
                                    }
                                },
                                delayNanos,
                                TimeUnit.NANOSECONDS);
    }
}
