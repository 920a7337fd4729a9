package org.bulrushvale.adapters.forward;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.bulrushvale.adapters.backend.LimitedConnections;
import org.jspecify.annotations.Nullable;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * HTTP client for upstream servers that uses Undertow's client on one I/O thread.
 *
 * <p>Thread safety: safe for use by any thread.
 */
public final class UndertowUpstreamClient implements UpstreamClient {
    private static final OptionMap SOCKET_OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    private static final int BUFFER_BYTES = 16 * 1024;
    private static final Duration EXPIRY_CHECK_INTERVAL = Duration.ofSeconds(1);

    private final XnioIoThread mIoThread;
    private final ByteBufferPool mBuffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private final LimitedConnections mConnections =
            new LimitedConnections(mBuffers, SOCKET_OPTIONS);
    private final IdleConnections mIdleConnections = new IdleConnections();
    private final Duration mConnectTimeout;

    private UndertowUpstreamClient(XnioWorker worker, Duration connectTimeout) {
        mIoThread = worker.getIoThread();
        mConnectTimeout = connectTimeout;
    }

    /** Returns a client that runs on an I/O thread of the worker. */
    public static UndertowUpstreamClient on(XnioWorker worker, Duration connectTimeout) {
        UndertowUpstreamClient client = new UndertowUpstreamClient(worker, connectTimeout);
        client.mIoThread.executeAtInterval(
                () -> client.mIdleConnections.closeExpired(System.nanoTime()),
                EXPIRY_CHECK_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
        return client;
    }

    @Override
    public Call start(Request request, Listener listener) {
        UpstreamCall call = new UpstreamCall(this, request, listener);
        mIoThread.execute(call::start);
        return () -> mIoThread.execute(call::cancel);
    }

    @Override
    public void checkAccepting(
            String host, int port, Duration timeout, Consumer<Boolean> onResult) {
        IoFuture<StreamConnection> connection =
                mIoThread.openStreamConnection(
                        new InetSocketAddress(host, port), opened -> {}, SOCKET_OPTIONS);
        XnioExecutor.Key timer =
                mIoThread.executeAfter(
                        connection::cancel, timeout.toMillis(), TimeUnit.MILLISECONDS);
        connection.addNotifier(
                (ended, ignored) -> {
                    timer.remove();
                    boolean accepted = ended.getStatus() == IoFuture.Status.DONE;
                    if (accepted) {
                        IoUtils.safeClose(connectionOf(ended));
                    }
                    mIoThread.execute(() -> onResult.accept(accepted));
                },
                null);
    }

    private static @Nullable StreamConnection connectionOf(
            IoFuture<? extends StreamConnection> ended) {
        try {
            return ended.get();
        } catch (IOException e) {
            return null;
        }
    }

    @Override
    public void discardIdle(String host, int port) {
        mIoThread.execute(() -> mIdleConnections.closeAll(host + ":" + port));
    }

    @Override
    public void schedule(Duration delay, Runnable task) {
        mIoThread.executeAfter(task, delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    XnioIoThread ioThread() {
        return mIoThread;
    }

    ByteBufferPool buffers() {
        return mBuffers;
    }

    LimitedConnections connections() {
        return mConnections;
    }

    IdleConnections idleConnections() {
        return mIdleConnections;
    }

    Duration connectTimeout() {
        return mConnectTimeout;
    }
}
