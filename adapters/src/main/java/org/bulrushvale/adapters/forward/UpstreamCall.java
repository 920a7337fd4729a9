package org.bulrushvale.adapters.forward;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.PooledByteBuffer;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.adapters.backend.BackendFailure;
import org.bulrushvale.adapters.backend.LimitedConnection;
import org.bulrushvale.adapters.backend.MalformedResponseException;
import org.bulrushvale.adapters.backend.RequestWriter;
import org.jspecify.annotations.Nullable;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;

/**
 * One HTTP call to an upstream server.
 *
 * <p>Invariant: the listener is notified of at most one end or failure, and of none after a
 * cancellation; a connection is reused only after the complete request was written and the complete
 * response was read. Thread safety: used on the I/O thread only.
 */
final class UpstreamCall {
    private final UndertowUpstreamClient mClient;
    private final UpstreamClient.Request mRequest;
    private final UpstreamClient.Listener mListener;
    private final String mAddress;
    private final RequestWriter mRequestWriter;
    private @Nullable LimitedConnection mConnection;
    private XnioExecutor.@Nullable Key mTimer;
    private long mLastProgressNanos;
    private boolean mEnded;
    private boolean mReused;
    private boolean mMayHaveSent;
    private boolean mRequestWritten;
    private boolean mCompleteOnceWritten;
    private boolean mHeadersReceived;
    private long mKeepAliveNanos = KeepAlive.DEFAULT.toNanos();

    UpstreamCall(
            UndertowUpstreamClient client,
            UpstreamClient.Request request,
            UpstreamClient.Listener listener) {
        mClient = client;
        mRequest = request;
        mListener = listener;
        mAddress = request.host() + ":" + request.port();
        mRequestWriter = new RequestWriter(request.body(), new WriteListener());
    }

    void start() {
        if (mEnded) {
            return;
        }
        LimitedConnection idleConnection =
                mRequest.reuse()
                        ? mClient.idleConnections().take(mAddress, System.nanoTime())
                        : null;
        if (idleConnection != null) {
            mReused = true;
            send(idleConnection);
            return;
        }
        mTimer =
                mClient.ioThread()
                        .executeAfter(
                                () -> fail(BackendFailure.CONNECT, "connection attempt timed out"),
                                mClient.connectTimeout().toMillis(),
                                TimeUnit.MILLISECONDS);
        URI address;
        try {
            address = URI.create("http://" + mAddress);
        } catch (IllegalArgumentException e) {
            fail(BackendFailure.CONNECT, "invalid address");
            return;
        }
        mClient.connections()
                .open(
                        address,
                        mClient.ioThread(),
                        connection -> mClient.ioThread().execute(() -> connected(connection)),
                        error ->
                                mClient.ioThread()
                                        .execute(
                                                () ->
                                                        fail(
                                                                BackendFailure.CONNECT,
                                                                "connection attempt failed")));
    }

    void cancel() {
        mEnded = true;
        stopTimer();
        closeImmediately();
    }

    private void closeImmediately() {
        LimitedConnection connection = mConnection;
        if (connection != null) {
            connection.close();
        }
    }

    private void connected(LimitedConnection connection) {
        stopTimer();
        if (mEnded) {
            mClient.idleConnections()
                    .put(mAddress, connection, System.nanoTime() + mKeepAliveNanos);
            return;
        }
        send(connection);
    }

    private void send(LimitedConnection connection) {
        mConnection = connection;
        connection.beginExchange(mRequest.method());
        mLastProgressNanos = System.nanoTime();
        scheduleProgressCheck(mRequest.progressTimeout().toNanos());
        ClientRequest request =
                new ClientRequest().setMethod(mRequest.method()).setPath(mRequest.target());
        for (var header : mRequest.headers()) {
            request.getRequestHeaders().addAll(header.getHeaderName(), header);
        }
        mMayHaveSent = true;
        connection
                .http()
                .sendRequest(
                        request,
                        new ClientCallback<ClientExchange>() {
                            @Override
                            public void completed(ClientExchange exchange) {
                                exchange.setResponseListener(responseListener());
                                mRequestWriter.write(exchange.getRequestChannel());
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
                onResponseHeaders(exchange);
            }

            @Override
            public void failed(IOException e) {
                failWhileReading(BackendFailure.RESET, "connection was lost before a response");
            }
        };
    }

    private void onResponseHeaders(ClientExchange exchange) {
        if (mEnded) {
            return;
        }
        mHeadersReceived = true;
        mLastProgressNanos = System.nanoTime();
        ClientResponse response = exchange.getResponse();
        mKeepAliveNanos = KeepAlive.nanosUntilUnusable(response.getResponseHeaders());
        if (!mListener.head(response.getResponseCode(), response.getResponseHeaders(), mReused)) {
            fail(BackendFailure.MALFORMED, "response headers were rejected");
            return;
        }
        read(exchange.getResponseChannel());
    }

    private void read(StreamSourceChannel channel) {
        try (PooledByteBuffer pooled = mClient.buffers().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (!mEnded) {
                buffer.clear();
                int count = channel.read(buffer);
                if (count < 0) {
                    onResponseEnd();
                    return;
                }
                if (count == 0) {
                    channel.getReadSetter().set(this::read);
                    channel.resumeReads();
                    return;
                }
                if (mListener.extendsTimeLimit()) {
                    mLastProgressNanos = System.nanoTime();
                }
                resetLimit();
                byte[] bytes = new byte[count];
                buffer.flip().get(bytes);
                if (!mListener.body(bytes)) {
                    fail(BackendFailure.MALFORMED, "response body was rejected");
                    return;
                }
            }
        } catch (IOException e) {
            failWhileReading(BackendFailure.CUT, "response ended early");
        }
    }

    private void failWhileReading(BackendFailure failure, String detail) {
        LimitedConnection connection = mConnection;
        MalformedResponseException malformed =
                connection == null ? null : connection.syntax().failure();
        if (malformed != null) {
            fail(BackendFailure.MALFORMED, "malformed response: " + malformed.getMessage());
        } else {
            fail(failure, detail);
        }
    }

    /**
     * Called at the end of the response body. A failing server that has not read the whole request
     * ends its side of the connection before it resets it, so a response that ends with the
     * connection is complete only once the rest of the request was written.
     */
    private void onResponseEnd() {
        LimitedConnection connection = mConnection;
        if (connection == null
                || mRequestWriter.isBodyWritten()
                || !connection.syntax().isUntilClose()) {
            finish();
            return;
        }
        mCompleteOnceWritten = true;
        connection.socket().getSourceChannel().suspendReads();
    }

    private void resetLimit() {
        LimitedConnection connection = mConnection;
        if (connection != null) {
            connection.limit().reset();
        }
    }

    private void finish() {
        mEnded = true;
        stopTimer();
        LimitedConnection connection = mConnection;
        if (connection != null) {
            boolean identified = mListener.isIdentified();
            if (identified && mRequestWritten && mKeepAliveNanos > 0 && connection.isOpen()) {
                long usableUntilNanos = System.nanoTime() + mKeepAliveNanos;
                mClient.idleConnections().put(mAddress, connection, usableUntilNanos);
            } else {
                closeImmediately();
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
        closeImmediately();
        BackendFailure reportedFailure =
                failure == BackendFailure.RESET && mHeadersReceived ? BackendFailure.CUT : failure;
        mListener.failed(mMayHaveSent, reportedFailure, detail);
    }

    private void stopTimer() {
        XnioExecutor.Key timer = mTimer;
        mTimer = null;
        if (timer != null) {
            timer.remove();
        }
    }

    private void scheduleProgressCheck(long delayNanos) {
        mTimer =
                mClient.ioThread()
                        .executeAfter(
                                () -> {
                                    long idleNanos = System.nanoTime() - mLastProgressNanos;
                                    long remainingNanos =
                                            mRequest.progressTimeout().toNanos() - idleNanos;
                                    if (remainingNanos <= 0) {
                                        fail(
                                                BackendFailure.SILENT,
                                                "no progress within the timeout");
                                    } else if (!mEnded) {
                                        scheduleProgressCheck(remainingNanos);
                                    }
                                },
                                delayNanos,
                                TimeUnit.NANOSECONDS);
    }

    /**
     * Follows the writing of the request.
     *
     * <p>Thread safety: used on the I/O thread only.
     */
    private final class WriteListener implements RequestWriter.Listener {
        @Override
        public void bodyWritten() {
            if (mCompleteOnceWritten && !mEnded) {
                finish();
            }
        }

        @Override
        public void written() {
            mRequestWritten = true;
        }

        @Override
        public void failed() {
            fail(BackendFailure.RESET, "request was not written completely");
        }
    }
}
