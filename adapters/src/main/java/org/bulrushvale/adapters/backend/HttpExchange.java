package org.bulrushvale.adapters.backend;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSourceChannel;

/**
 * One HTTP exchange with a backend server on a connection of the server's pool.
 *
 * <p>Invariant: the handler is notified of exactly one end or failure; a connection returns to the
 * pool only after a complete response to this exchange. Thread safety: the package-private methods
 * may be called from any thread; the request is written and the response is read on the
 * connection's I/O thread.
 */
final class HttpExchange {
    private static final Logger LOG = Logger.getLogger(HttpExchange.class);
    private static final HttpString NOT_RUN_HEADER = new HttpString("X-Not-Run");

    private final ConnectionPool mPool;
    private final BackendAddress mAddress;
    private final ClientRequest mRequest;
    private final RequestWriter mRequestWriter;
    private final ExchangeHandler mHandler;
    private final Duration mProgressTimeout;
    private final AtomicBoolean mEnded = new AtomicBoolean();
    private volatile ConnectionPool.@Nullable PooledConnection mPooledConnection;
    private volatile long mLastProgressNanos;
    private volatile boolean mConnected;
    private boolean mHeadersReceived;

    HttpExchange(
            ConnectionPool pool,
            BackendAddress address,
            ClientRequest request,
            byte[] body,
            ExchangeHandler handler,
            Duration progressTimeout) {
        mPool = pool;
        mAddress = address;
        mRequest = request;
        mRequestWriter =
                new RequestWriter(
                        body,
                        () -> fail(BackendFailure.RESET, "request was not written completely"));
        mHandler = handler;
        mProgressTimeout = progressTimeout;
        request.getRequestHeaders().put(Headers.HOST, address.uri().getAuthority());
        if (body.length > 0) {
            request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
            request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
        }
    }

    /** Sends the request on any idle connection of the pool, or on a new one. */
    void start(XnioWorker worker, LimitedConnections connections, Duration connectTimeout) {
        ConnectionPool.PooledConnection idle = mPool.takeIdle("");
        if (idle != null) {
            startOnIdle(idle);
        } else {
            startOnNewConnection(worker, connections, connectTimeout);
        }
    }

    /** Sends the request on an idle connection that was taken from the pool. */
    void startOnIdle(ConnectionPool.PooledConnection pooled) {
        pooled.connection().getIoThread().execute(() -> send(pooled));
    }

    /** Notifies the handler that a connection is being opened for this exchange. */
    void notifyConnecting() {
        mHandler.connecting();
    }

    /** Fails an exchange before any byte of its request was sent. */
    void failBeforeSend(String detail) {
        fail(BackendFailure.CONNECT, detail);
    }

    /** Opens a connection and sends the request on it. */
    void startOnNewConnection(
            XnioWorker worker, LimitedConnections connections, Duration connectTimeout) {
        mHandler.connecting();
        long generation = mPool.generation();
        XnioIoThread ioThread = worker.getIoThread();
        ioThread.executeAfter(
                this::failUnlessConnected, connectTimeout.toMillis(), TimeUnit.MILLISECONDS);
        connections.open(
                mAddress.uri(),
                ioThread,
                connection -> send(mPool.register(connection, generation)),
                error -> fail(BackendFailure.CONNECT, "connection attempt failed"));
    }

    /** Aborts the exchange and closes its connection. */
    void abort() {
        if (mEnded.compareAndSet(false, true)) {
            ConnectionPool.PooledConnection pooled = mPooledConnection;
            if (pooled != null) {
                pooled.connection().getIoThread().execute(() -> mPool.close(pooled));
            }
            mHandler.failed(BackendFailure.ABORTED, "aborted by the entry");
        }
    }

    private void failUnlessConnected() {
        if (!mConnected) {
            fail(BackendFailure.CONNECT, "connection attempt timed out");
        }
    }

    private void send(ConnectionPool.PooledConnection pooled) {
        mConnected = true;
        if (!mPool.isCurrent(pooled)) {
            // The server may have restarted after it was chosen; nothing was sent yet.
            mPool.release(pooled);
            fail(BackendFailure.CONNECT, "another connection to the server was lost");
            return;
        }
        if (mEnded.get() || !mHandler.beforeSend()) {
            mPool.release(pooled);
            abort();
            return;
        }
        mPooledConnection = pooled;
        if (mEnded.get()) {
            mPool.close(pooled);
            return;
        }
        mLastProgressNanos = System.nanoTime();
        pooled.beginExchange(mRequest.getMethod());
        scheduleProgressCheck(pooled.connection().getIoThread(), mProgressTimeout.toNanos());
        pooled.connection()
                .sendRequest(
                        mRequest,
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
        if (mEnded.get()) {
            return;
        }
        mHeadersReceived = true;
        mLastProgressNanos = System.nanoTime();
        ClientResponse response = exchange.getResponse();
        String contentType = response.getResponseHeaders().getFirst(Headers.CONTENT_TYPE);
        mHandler.head(
                response.getResponseCode(),
                "true".equalsIgnoreCase(response.getResponseHeaders().getFirst(NOT_RUN_HEADER)),
                contentType != null && contentType.startsWith("text/event-stream"));
        read(exchange.getResponseChannel(), exchange.getConnection().getBufferPool());
    }

    private void read(StreamSourceChannel channel, ByteBufferPool buffers) {
        try (PooledByteBuffer pooled = buffers.allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (!mEnded.get()) {
                buffer.clear();
                int count = channel.read(buffer);
                if (count < 0) {
                    finish();
                    return;
                }
                if (count == 0) {
                    channel.getReadSetter().set(source -> read(source, buffers));
                    channel.resumeReads();
                    return;
                }
                if (mHandler.extendsTimeLimit()) {
                    mLastProgressNanos = System.nanoTime();
                }
                resetLimit();
                buffer.flip();
                if (!mHandler.body(buffer)) {
                    fail(BackendFailure.MALFORMED, "response body was rejected");
                    return;
                }
            }
        } catch (IOException e) {
            failWhileReading(BackendFailure.CUT, "response ended early");
        }
    }

    private void failWhileReading(BackendFailure failure, String detail) {
        ConnectionPool.PooledConnection pooled = mPooledConnection;
        MalformedResponseException malformed = pooled == null ? null : pooled.syntax().failure();
        if (malformed != null) {
            fail(BackendFailure.MALFORMED, "malformed response: " + malformed.getMessage());
        } else {
            fail(failure, detail);
        }
    }

    private void resetLimit() {
        ConnectionPool.PooledConnection pooled = mPooledConnection;
        if (pooled != null) {
            pooled.limit().reset();
        }
    }

    private void finish() {
        ConnectionPool.PooledConnection pooled = mPooledConnection;
        if (mEnded.compareAndSet(false, true) && pooled != null) {
            String epoch = mHandler.epoch();
            if (!epoch.isEmpty()) {
                pooled.setVerifiedEpoch(epoch);
            }
            if (mHandler.isIdentified()) {
                mPool.release(pooled);
            } else {
                mPool.close(pooled);
            }
            mHandler.end();
        }
    }

    private void fail(BackendFailure failure, String detail) {
        if (!mEnded.compareAndSet(false, true)) {
            return;
        }
        LOG.debugf(
                "%s %s at %s failed: %s: %s",
                mRequest.getMethod(), mRequest.getPath(), mAddress.name(), failure, detail);
        ConnectionPool.PooledConnection pooled = mPooledConnection;
        if (pooled != null) {
            mPool.discard(pooled);
        }
        BackendFailure reportedFailure =
                failure == BackendFailure.RESET && mHeadersReceived ? BackendFailure.CUT : failure;
        mHandler.failed(reportedFailure, detail);
    }

    private void scheduleProgressCheck(XnioExecutor executor, long delayNanos) {
        executor.executeAfter(
                () -> {
                    if (mEnded.get()) {
                        return;
                    }
                    long idleNanos = System.nanoTime() - mLastProgressNanos;
                    long remainingNanos = mProgressTimeout.toNanos() - idleNanos;
                    if (remainingNanos <= 0) {
                        fail(BackendFailure.SILENT, "no progress within " + mProgressTimeout);
                    } else {
                        scheduleProgressCheck(executor, remainingNanos);
                    }
                },
                delayNanos,
                TimeUnit.NANOSECONDS);
    }
}
