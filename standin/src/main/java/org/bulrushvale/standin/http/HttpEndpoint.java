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
 * One HTTP/1.1 listener that can fail the way a process fails: it closes every connection at once,
 * refuses new ones for a while, or keeps connections open without answering.
 *
 * <p>Invariant: all requests are handled one after the other on one thread, the endpoint's own;
 * after a restart the port is the same. Thread safety: safe for use by any thread.
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
        /** Connections that were open when the fault was set stay silent for good. */
        EXISTING,
        /** No connection is answered. */
        ALL
    }

    private final ScheduledThreadPoolExecutor mExecutor;
    private final XnioWorker mWorker;
    private final Consumer<Call> mHandler;
    private final Map<SocketAddress, StreamConnection> mConnections = new ConcurrentHashMap<>();
    private final Set<SocketAddress> mSilent = ConcurrentHashMap.newKeySet();
    private volatile InetSocketAddress mAddress;
    private volatile boolean mSilentAll;
    private volatile boolean mClosed;
    private volatile long mProcess;
    private volatile @Nullable AcceptingChannel<? extends StreamConnection> mListener;

    private HttpEndpoint(String name, InetSocketAddress address, Consumer<Call> handler)
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
            String name, InetSocketAddress address, Consumer<Call> handler) throws IOException {
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
        long process = mProcess;
        opener.setRootHandler(exchange -> receive(exchange, process));
        AcceptingChannel<? extends StreamConnection> listener =
                mWorker.createStreamConnectionServer(
                        mAddress,
                        ChannelListeners.openListenerAdapter(
                                connection -> {
                                    track(connection);
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

    private void track(StreamConnection connection) {
        // Undertow replaces the close listener, so closed connections are removed here.
        mConnections.values().removeIf(known -> !known.isOpen());
        mSilent.retainAll(mConnections.keySet());
        mConnections.put(connection.getPeerAddress(), connection);
    }

    private void receive(HttpServerExchange exchange, long process) {
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, body) ->
                                received.dispatch(
                                        SameThreadExecutor.INSTANCE,
                                        () -> deliver(new Call(this, received, body), process)));
    }

    private void deliver(Call call, long process) {
        execute(
                () -> {
                    if (process != mProcess) {
                        // The simulated process that received this call has crashed since.
                        call.drop();
                        return;
                    }
                    if (isSilent(call.peer()) && !call.isControl()) {
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

    /** Returns the port that the listener is or was bound to. */
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
                            LOG.error("task failed", e);
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
    public <T> T call(Supplier<T> task) {
        try {
            return mExecutor.submit(task::get).get();
        } catch (RejectedExecutionException closed) {
            return afterTermination(task);
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

    private <T> T afterTermination(Supplier<T> task) {
        try {
            if (!mExecutor.awaitTermination(TERMINATION_WAIT_MS, TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException("the endpoint's thread has not ended");
            }
            return task.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    /** Sets which connections are left without an answer. */
    public void silence(Silence silence) {
        mSilentAll = silence == Silence.ALL;
        if (silence == Silence.EXISTING) {
            mSilent.addAll(mConnections.keySet());
        } else if (silence == Silence.NONE) {
            mSilent.clear();
        }
    }

    boolean isSilent(SocketAddress peer) {
        return mSilentAll || mSilent.contains(peer);
    }

    /** Closes every connection, refuses new ones for the given time, then binds the port again. */
    public void restartAfter(Duration down) {
        goDown();
        schedule(down, this::rebind);
    }

    private void rebind() {
        try {
            bind();
        } catch (IOException e) {
            LOG.warnf("port %d is not free yet: %s", port(), e.getMessage());
            schedule(REBIND_INTERVAL, this::rebind);
        }
    }

    private synchronized void goDown() {
        mProcess++;
        AcceptingChannel<? extends StreamConnection> listener = mListener;
        if (listener != null) {
            IoUtils.safeClose(listener);
            mListener = null;
        }
        mConnections.values().forEach(IoUtils::safeClose);
        mConnections.clear();
        mSilent.clear();
    }

    /** Closes the listener and every connection at once, without a last answer. */
    @Override
    public void close() {
        mClosed = true;
        goDown();
        mExecutor.shutdownNow();
        mWorker.shutdownNow();
    }
}
