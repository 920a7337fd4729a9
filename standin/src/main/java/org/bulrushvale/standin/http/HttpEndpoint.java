package org.bulrushvale.standin.http;

import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * An HTTP/1.1 listener that can simulate the failure of its process: it closes every connection at
 * once, refuses new ones for a while, or keeps connections open without answering.
 *
 * <p>Invariant: one thread, the endpoint's own, handles all requests one after the other; the port
 * stays the same after a simulated restart. Thread safety: safe for use by any thread.
 */
public final class HttpEndpoint implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(HttpEndpoint.class);
    private static final int BUFFER_BYTES = 4096;
    private static final long TERMINATION_WAIT_MS = 2000;
    private static final Duration REBIND_INTERVAL = Duration.ofMillis(50);

    /** Which connections stay open without an answer. */
    public enum Silence {
        /** Every connection is answered. */
        NONE,
        /**
         * Connections that were open when the fault was set get no answer until it is reset; newer
         * connections do.
         */
        EXISTING,
        /**
         * As {@link #EXISTING}, but for the connections that are open when the next stage call
         * arrives; that call gets no answer.
         */
        EXISTING_AT_NEXT_STAGE_CALL,
        /** Load reports get no answer; other calls do. */
        LOAD_REPORTS,
        /** No connection is answered. */
        ALL
    }

    private final ScheduledThreadPoolExecutor mExecutor;
    private final XnioWorker mWorker;
    private final Consumer<IncomingCall> mHandler;
    private final Map<SocketAddress, StreamConnection> mConnections = new ConcurrentHashMap<>();
    private final Set<SocketAddress> mSilentPeers = ConcurrentHashMap.newKeySet();
    private volatile InetSocketAddress mAddress;
    private volatile Silence mSilence = Silence.NONE;
    private volatile boolean mClosed;
    private final AtomicLong mUnansweredCalls = new AtomicLong();
    // Increases with each simulated crash; calls received before the crash are dropped.
    private volatile long mProcessNumber;
    private volatile @Nullable AcceptingChannel<? extends StreamConnection> mListener;

    private HttpEndpoint(String name, InetSocketAddress address, Consumer<IncomingCall> handler)
            throws IOException {
        mHandler = handler;
        mAddress = address;
        mExecutor =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread thread = new Thread(task, "standin-" + name);
                            thread.setDaemon(true);
                            return thread;
                        });
        mExecutor.setRemoveOnCancelPolicy(true);
        mWorker =
                Xnio.getInstance(HttpEndpoint.class.getClassLoader())
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_IO_THREADS, 1)
                                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                        .set(Options.THREAD_DAEMON, true)
                                        .set(Options.WORKER_NAME, "standin-io-" + name)
                                        .getMap());
    }

    /** Returns an endpoint that does not listen yet. */
    public static HttpEndpoint create(
            String name, InetSocketAddress address, Consumer<IncomingCall> handler)
            throws IOException {
        return new HttpEndpoint(name, address, handler);
    }

    /** Binds the address (port 0: any free port) and starts to accept connections. */
    public void open() throws IOException {
        try {
            bind();
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    private synchronized void bind() throws IOException {
        if (mClosed) {
            return;
        }
        HttpOpenListener opener =
                new HttpOpenListener(new DefaultByteBufferPool(false, BUFFER_BYTES));
        long processNumber = mProcessNumber;
        opener.setRootHandler(exchange -> receive(exchange, processNumber));
        AcceptingChannel<? extends StreamConnection> listener =
                mWorker.createStreamConnectionServer(
                        mAddress,
                        ChannelListeners.openListenerAdapter(
                                connection -> {
                                    trackConnection(connection);
                                    opener.handleEvent(connection);
                                }),
                        OptionMap.builder()
                                .set(Options.REUSE_ADDRESSES, true)
                                .set(Options.TCP_NODELAY, true)
                                .set(Options.BACKLOG, 1024)
                                .getMap());
        mAddress = listener.getLocalAddress(InetSocketAddress.class);
        mListener = listener;
        listener.resumeAccepts();
    }

    private void trackConnection(StreamConnection connection) {
        // Undertow replaces the close listener, so closed connections are removed here.
        mConnections.values().removeIf(known -> !known.isOpen());
        mSilentPeers.retainAll(mConnections.keySet());
        mConnections.put(connection.getPeerAddress(), connection);
    }

    private void receive(HttpServerExchange exchange, long processNumber) {
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, body) ->
                                received.dispatch(
                                        SameThreadExecutor.INSTANCE,
                                        () ->
                                                runHandler(
                                                        new IncomingCall(this, received, body),
                                                        processNumber)));
    }

    private void runHandler(IncomingCall call, long processNumber) {
        execute(
                () -> {
                    if (processNumber != mProcessNumber) {
                        // The simulated process has crashed since it received this call.
                        call.drop();
                        return;
                    }
                    if (mSilence == Silence.EXISTING_AT_NEXT_STAGE_CALL && call.isStageCall()) {
                        silence(Silence.EXISTING);
                    }
                    if (call.isSilenced()) {
                        mUnansweredCalls.incrementAndGet();
                        return;
                    }
                    try {
                        mHandler.accept(call);
                    } catch (IllegalArgumentException e) {
                        call.respond(400, Json.object().put("error", e.getMessage()));
                    } catch (RuntimeException e) {
                        LOG.errorf(e, "%s %s failed", call.method(), call.path());
                        call.respond(500, Json.object().put("error", e.toString()));
                    }
                });
    }

    /** Returns the number of calls that were not handled because of a silence. */
    public long unansweredCalls() {
        return mUnansweredCalls.get();
    }

    /** Returns the port of the listener, also while the listener is closed. */
    public int port() {
        return mAddress.getPort();
    }

    /** Runs a task on the endpoint's thread; does nothing after {@link #close()}. */
    public void execute(Runnable task) {
        schedule(Duration.ZERO, task);
    }

    /** Runs a task on the endpoint's thread after a delay. */
    public void schedule(Duration delay, Runnable task) {
        try {
            mExecutor.schedule(
                    () -> {
                        try {
                            task.run();
                        } catch (RuntimeException e) {
                            LOG.error("task on the endpoint's thread failed", e);
                        }
                    },
                    delay.toNanos(),
                    TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException expected) {
            LOG.debug("task dropped: the endpoint is closed");
        }
    }

    /**
     * Runs a task on the endpoint's thread and waits for its result. After {@link #close()} the
     * task runs on the calling thread, so that tests can read the state of a crashed server.
     */
    public <T> T callAndWait(Supplier<T> task) {
        try {
            return mExecutor.submit(task::get).get();
        } catch (RejectedExecutionException closed) {
            return callAfterTermination(task);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof RuntimeException cause) {
                throw cause;
            }
            throw new IllegalStateException(e.getCause());
        }
    }

    private <T> T callAfterTermination(Supplier<T> task) {
        try {
            if (!mExecutor.awaitTermination(TERMINATION_WAIT_MS, TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException(
                        "the endpoint's thread did not end in time after close");
            }
            return task.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    /** Sets which connections get no answer. */
    public void silence(Silence silence) {
        mSilence = silence;
        if (silence == Silence.EXISTING) {
            mSilentPeers.addAll(mConnections.keySet());
        } else if (silence == Silence.NONE) {
            mSilentPeers.clear();
        }
    }

    boolean isSilent(IncomingCall call) {
        SocketAddress peerAddress = call.peerAddress();
        return mSilence == Silence.ALL
                || (mSilence == Silence.LOAD_REPORTS && call.isLoadReport())
                || mSilentPeers.contains(peerAddress);
    }

    /** Closes every connection, refuses new ones for the given time, then binds the port again. */
    public void restartAfter(Duration downtime) {
        closeListenerAndConnections();
        schedule(downtime, this::rebind);
    }

    private void rebind() {
        try {
            bind();
        } catch (IOException e) {
            LOG.warnf("port %d cannot be bound yet, trying again: %s", port(), e.getMessage());
            schedule(REBIND_INTERVAL, this::rebind);
        }
    }

    private synchronized void closeListenerAndConnections() {
        mProcessNumber++;
        AcceptingChannel<? extends StreamConnection> listener = mListener;
        if (listener != null) {
            IoUtils.safeClose(listener);
            mListener = null;
        }
        mConnections.values().forEach(IoUtils::safeClose);
        mConnections.clear();
        mSilentPeers.clear();
    }

    /** Closes the listener and every connection at once; calls in progress get no answer. */
    @Override
    public void close() {
        mClosed = true;
        closeListenerAndConnections();
        mExecutor.shutdownNow();
        mWorker.shutdownNow();
    }
}
