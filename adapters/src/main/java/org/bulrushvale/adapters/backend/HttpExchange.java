package org.bulrushvale.adapters.backend;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSourceChannel;

/**
 * One HTTP exchange with a backend server on a connection of its pool.
 *
 * <p>Invariant: the handler is told exactly one end; a connection goes back to the pool only after
 * a complete response. Thread safety: {@link #start} and {@link #abort} may be called from any
 * thread, everything else runs on the connection's I/O thread.
 */
final class HttpExchange {
    private static final HttpString NOT_RUN = new HttpString("X-Not-Run");

    private final ConnectionPool mPool;
    private final BackendAddress mAddress;
    private final ClientRequest mRequest;
    private final RequestWriter mWriter;
    private final ExchangeHandler mHandler;
    private final Duration mProgressTimeout;
    private final AtomicBoolean mEnded = new AtomicBoolean();
    private volatile ConnectionPool.@Nullable Lease mLease;
    private volatile long mLastProgress;
    private volatile boolean mConnected;
    private boolean mHeadSeen;

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
        mWriter =
                new RequestWriter(
                        body,
                        () -> {},
                        () -> fail(BackendFailure.RESET, "request not written completely"));
        mHandler = handler;
        mProgressTimeout = progressTimeout;
        request.getRequestHeaders().put(Headers.HOST, address.uri().getAuthority());
        if (body.length > 0) {
            request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
            request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
        }
    }

    /** Sends on any idle connection of the pool, or on a new one. */
    void start(XnioWorker worker, ByteBufferPool buffers, Duration connectTimeout) {
        ConnectionPool.Lease idle = mPool.takeIdle("");
        if (idle != null) {
            startOn(idle);
        } else {
            startOnNew(worker, buffers, connectTimeout);
        }
    }

    /** Sends on a connection taken from the pool. */
    void startOn(ConnectionPool.Lease lease) {
        lease.connection().getIoThread().execute(() -> send(lease));
    }

    /** Tells the handler that a connection is being prepared for this exchange. */
    void preparing() {
        mHandler.connecting();
    }

    /** Ends an exchange of which nothing was sent. */
    void reject(String detail) {
        fail(BackendFailure.CONNECT, detail);
    }

    /** Sends on a new connection. */
    void startOnNew(XnioWorker worker, ByteBufferPool buffers, Duration connectTimeout) {
        mHandler.connecting();
        long generation = mPool.generation();
        worker.getIoThread()
                .executeAfter(
                        this::connectTimedOut, connectTimeout.toMillis(), TimeUnit.MILLISECONDS);
        UndertowClient.getInstance()
                .connect(
                        new ClientCallback<ClientConnection>() {
                            @Override
                            public void completed(ClientConnection connection) {
                                send(mPool.adopt(connection, generation));
                            }

                            @Override
                            public void failed(IOException e) {
                                fail(BackendFailure.CONNECT, "connection failed");
                            }
                        },
                        mAddress.uri(),
                        worker,
                        buffers,
                        OptionMap.EMPTY);
    }

    /** Ends the exchange from this side and closes its connection. */
    void abort() {
        if (mEnded.compareAndSet(false, true)) {
            ConnectionPool.Lease lease = mLease;
            if (lease != null) {
                lease.connection().getIoThread().execute(() -> mPool.close(lease));
            }
            mHandler.failed(BackendFailure.ABORTED, "given up by this side");
        }
    }

    private void connectTimedOut() {
        if (!mConnected) {
            fail(BackendFailure.CONNECT, "connection timed out");
        }
    }

    private void send(ConnectionPool.Lease lease) {
        mConnected = true;
        if (!mPool.isCurrent(lease)) {
            // The server may have restarted since it was chosen; nothing was sent yet.
            mPool.release(lease);
            fail(BackendFailure.CONNECT, "another connection to the server was lost");
            return;
        }
        if (mEnded.get() || !mHandler.sent()) {
            mPool.release(lease);
            abort();
            return;
        }
        mLease = lease;
        if (mEnded.get()) {
            mPool.close(lease);
            return;
        }
        mLastProgress = System.nanoTime();
        watchProgress(lease.connection().getIoThread(), mProgressTimeout.toNanos());
        lease.connection()
                .sendRequest(
                        mRequest,
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
                fail(BackendFailure.RESET, "connection lost before a response");
            }
        };
    }

    private void onHead(ClientExchange exchange) {
        if (mEnded.get()) {
            return;
        }
        mHeadSeen = true;
        mLastProgress = System.nanoTime();
        ClientResponse response = exchange.getResponse();
        String type = response.getResponseHeaders().getFirst(Headers.CONTENT_TYPE);
        mHandler.head(
                response.getResponseCode(),
                "true".equalsIgnoreCase(response.getResponseHeaders().getFirst(NOT_RUN)),
                type != null && type.startsWith("text/event-stream"));
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
                mLastProgress = System.nanoTime();
                buffer.flip();
                if (!mHandler.body(buffer)) {
                    fail(BackendFailure.MALFORMED, "response refused");
                    return;
                }
            }
        } catch (IOException e) {
            fail(BackendFailure.CUT, "response ended early");
        }
    }

    private void finish() {
        ConnectionPool.Lease lease = mLease;
        if (mEnded.compareAndSet(false, true) && lease != null) {
            String epoch = mHandler.epoch();
            if (!epoch.isEmpty()) {
                lease.verified(epoch);
            }
            mPool.release(lease);
            mHandler.end();
        }
    }

    private void fail(BackendFailure failure, String detail) {
        if (!mEnded.compareAndSet(false, true)) {
            return;
        }
        ConnectionPool.Lease lease = mLease;
        if (lease != null) {
            mPool.discard(lease);
        }
        BackendFailure seen =
                failure == BackendFailure.RESET && mHeadSeen ? BackendFailure.CUT : failure;
        mHandler.failed(seen, detail);
    }

    private void watchProgress(XnioExecutor executor, long delayNanos) {
        executor.executeAfter(
                () -> {
                    if (mEnded.get()) {
                        return;
                    }
                    long idle = System.nanoTime() - mLastProgress;
                    long left = mProgressTimeout.toNanos() - idle;
                    if (left <= 0) {
                        fail(BackendFailure.SILENT, "no byte within " + mProgressTimeout);
                    } else {
                        watchProgress(executor, left);
                    }
                },
                delayNanos,
                TimeUnit.NANOSECONDS);
    }
}
