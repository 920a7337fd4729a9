package org.bulrushvale.adapters.forward;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.adapters.backend.LimitedConnections;
import org.xnio.OptionMap;
import org.xnio.Options;
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
