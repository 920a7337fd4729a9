package org.bulrushvale.adapters.caller;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.ExchangeCompletionListener;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import io.undertow.util.StringWriteChannelListener;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * The open connections of the caller listener, which a shutdown closes as they become idle.
 *
 * <p>Invariant: a connection is closed only while no byte of a request was read from it that has
 * not been answered, except by {@link #closeAll}. Thread safety: the public methods may be called
 * from any thread, except those that state otherwise; the state of a connection is used on its I/O
 * thread only.
 */
public final class CallerConnections {
    private static final Logger LOG = Logger.getLogger(CallerConnections.class);

    private final Set<Source> mOpen = ConcurrentHashMap.newKeySet();
    private final AtomicReference<@Nullable Runnable> mOnAllClosed = new AtomicReference<>();
    private volatile boolean mClosing;
    private volatile @Nullable Problem mRefusal;

    /** Returns a listener that passes accepted connections on to {@code next}. */
    public ChannelListener<StreamConnection> tracked(ChannelListener<StreamConnection> next) {
        return connection -> {
            ConduitStreamSourceChannel channel = connection.getSourceChannel();
            Source source = new Source(channel.getConduit(), connection);
            channel.setConduit(source);
            mOpen.add(source);
            next.handleEvent(connection);
            ChannelListener<? super StreamConnection> onClose = connection.getCloseListener();
            connection.setCloseListener(
                    closed -> {
                        remove(source);
                        ChannelListeners.invokeChannelListener(closed, onClose);
                    });
            if (!connection.isOpen()) {
                remove(source);
            } else if (mClosing) {
                closeIfIdle(source);
            }
        };
    }

    /** Accepts the connections that wait; called on an I/O thread. */
    public static void acceptWaiting(
            AcceptingChannel<StreamConnection> acceptor,
            ChannelListener<StreamConnection> onAccepted) {
        try {
            for (StreamConnection next = acceptor.accept();
                    next != null;
                    next = acceptor.accept()) {
                ChannelListeners.invokeChannelListener(next, onAccepted);
            }
        } catch (IOException e) {
            LOG.warn("waiting connections could not be accepted", e);
        }
    }

    /** Must be called for every exchange before it is handled. */
    public void exchangeStarted(HttpServerExchange exchange) {
        Source source = source(exchange);
        if (source != null) {
            source.mExchange = exchange;
            exchange.addExchangeCompleteListener(this::exchangeEnded);
            if (mRefusal != null) {
                // By then the part of the body that has arrived was read.
                source.connection().getIoThread().execute(() -> closeIfIdle(source));
            }
        }
    }

    /** Returns true when bytes of a further request were read from the connection. */
    public static boolean hasPipelinedBytes(HttpServerExchange exchange) {
        return exchange.getConnection() instanceof HttpServerConnection http
                && http.getExtraBytes() != null;
    }

    /**
     * Announces the close of the connection in a response, unless a further request has arrived on
     * it, which is then served first. Must be called on the I/O thread before the response is
     * written.
     */
    public static void closeAfterResponse(HttpServerExchange exchange) {
        if (!hasPipelinedBytes(exchange) && !readPipelinedBytes(exchange)) {
            exchange.setPersistent(false);
        }
    }

    /**
     * Reads what has arrived since the connection was last read. A close with unread bytes would
     * reset the connection, and the caller would lose the rest of its answers as well.
     */
    private static boolean readPipelinedBytes(HttpServerExchange exchange) {
        if (!(exchange.getConnection() instanceof HttpServerConnection http)
                || !exchange.isRequestComplete()) {
            return false;
        }
        PooledByteBuffer pooled = http.getByteBufferPool().allocate();
        try {
            if (http.getOriginalSourceConduit().read(pooled.getBuffer()) > 0) {
                // Undertow would put the bytes of a second read before these.
                http.getChannel().getSourceChannel().suspendReads();
                pooled.getBuffer().flip();
                http.ungetRequestBytes(pooled);
                return true;
            }
        } catch (IOException e) {
            LOG.debug("connection failed before its response was written", e);
        }
        pooled.close();
        return false;
    }

    /**
     * Closes the idle connections, and the others after their last answer; runs {@code onAllClosed}
     * when none is left.
     */
    public void closeWhenIdle(Runnable onAllClosed) {
        mOnAllClosed.set(onAllClosed);
        mClosing = true;
        for (Source source : mOpen) {
            source.connection().getIoThread().execute(() -> closeIfIdle(source));
        }
        reportIfAllClosed();
    }

    /** Closes the connections that are idle now; others stay open after their last answer. */
    public void closeIdle() {
        for (Source source : mOpen) {
            source.connection().getIoThread().execute(() -> closeIfIdle(source));
        }
    }

    /**
     * Answers with the problem, from now on, each request of which only a part was read, and reads
     * nothing more from its connection. {@link #closeWhenIdle} must have been called.
     */
    public void refuseIncomplete(Problem problem) {
        mRefusal = problem;
        for (Source source : mOpen) {
            source.connection().getIoThread().execute(() -> closeIfIdle(source));
        }
    }

    /** Closes all connections at once, whatever was read from them. */
    public void closeAll() {
        mOpen.forEach(source -> IoUtils.safeClose(source.connection()));
    }

    private void exchangeEnded(
            HttpServerExchange exchange, ExchangeCompletionListener.NextListener next) {
        Source source = source(exchange);
        if (source != null) {
            source.mExchange = null;
            source.mHasRequest = hasPipelinedBytes(exchange);
            if (!exchange.isPersistent()) {
                // Undertow closes the connection once the caller has closed its side.
                remove(source);
            } else if (mClosing) {
                source.connection().getIoThread().execute(() -> closeIfIdle(source));
            }
        }
        next.proceed();
    }

    private static @Nullable Source source(HttpServerExchange exchange) {
        return exchange.getConnection() instanceof HttpServerConnection http
                        && http.getOriginalSourceConduit() instanceof Source source
                ? source
                : null;
    }

    private void closeIfIdle(Source source) {
        Problem refusal = mRefusal;
        if (!mOpen.contains(source) || (source.mHasRequest && refusal == null)) {
            return;
        }
        if (source.mExchange == null) {
            // A request may have arrived since the last time that the connection was read.
            ConduitStreamSourceChannel channel = source.connection().getSourceChannel();
            ChannelListeners.invokeChannelListener(channel, channel.getReadListener());
        }
        if (!source.mHasRequest) {
            IoUtils.safeClose(source.connection());
        } else if (refusal != null && source.connection().isOpen()) {
            refuseIfIncomplete(source, refusal);
        }
    }

    private void refuseIfIncomplete(Source source, Problem refusal) {
        HttpServerExchange exchange = source.mExchange;
        if (exchange == null) {
            source.connection().getSourceChannel().suspendReads();
            new RefusalWriter(refusal.httpResponse(), source)
                    .setup(source.connection().getSinkChannel());
        } else if (!exchange.isRequestComplete() && !exchange.isResponseStarted()) {
            source.connection().getSourceChannel().suspendReads();
            exchange.setPersistent(false);
            exchange.setStatusCode(refusal.code().httpStatus());
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, Problem.CONTENT_TYPE);
            ByteBuffer body = StandardCharsets.UTF_8.encode(refusal.json().toString());
            exchange.setResponseContentLength(body.remaining());
            exchange.getResponseSender().send(body, new RefusalCallback(source));
        }
    }

    /** Ends a connection whose last answer was written, without reading from it. */
    private void finish(Source source) {
        try {
            // The socket stays open until the process ends: to close it with unread bytes would
            // reset the connection, and the caller could lose the answer.
            source.mSocketSink.terminateWrites();
            source.mSocketSink.flush();
        } catch (IOException e) {
            LOG.debug("connection failed after its last answer", e);
        }
        remove(source);
    }

    private void remove(Source source) {
        mOpen.remove(source);
        reportIfAllClosed();
    }

    private void reportIfAllClosed() {
        if (mClosing && mOpen.isEmpty()) {
            Runnable onAllClosed = mOnAllClosed.getAndSet(null);
            if (onAllClosed != null) {
                onAllClosed.run();
            }
        }
    }

    /**
     * Writes the refusal of a request whose head was not read completely, below the HTTP
     * connection, which has no exchange for it.
     *
     * <p>Thread safety: used on the I/O thread of the connection only.
     */
    private final class RefusalWriter extends StringWriteChannelListener {
        private final Source mSource;

        RefusalWriter(String response, Source source) {
            super(response);
            mSource = source;
        }

        @Override
        protected void writeDone(StreamSinkChannel channel) {
            finish(mSource);
        }
    }

    /**
     * Ends the connection once the refusal of a request whose body was not read completely is
     * written.
     *
     * <p>Thread safety: used on the I/O thread of the connection only.
     */
    private final class RefusalCallback implements IoCallback {
        private final Source mSource;

        RefusalCallback(Source source) {
            mSource = source;
        }

        @Override
        public void onComplete(HttpServerExchange exchange, Sender sender) {
            finish(mSource);
        }

        @Override
        public void onException(HttpServerExchange exchange, Sender sender, IOException e) {
            IoUtils.safeClose(mSource.connection());
        }
    }

    /**
     * Records whether bytes were read from a connection since its last answer.
     *
     * <p>Thread safety: used on the I/O thread of the connection only.
     */
    private static final class Source extends AbstractStreamSourceConduit<StreamSourceConduit> {
        private final StreamConnection mConnection;
        private final StreamSinkConduit mSocketSink;
        private @Nullable HttpServerExchange mExchange;
        private boolean mHasRequest;

        Source(StreamSourceConduit next, StreamConnection connection) {
            super(next);
            mConnection = connection;
            mSocketSink = connection.getSinkChannel().getConduit();
        }

        StreamConnection connection() {
            return mConnection;
        }

        private long record(long bytes) {
            mHasRequest |= bytes > 0;
            return bytes;
        }

        @Override
        public int read(ByteBuffer buffer) throws IOException {
            return (int) record(next.read(buffer));
        }

        @Override
        public long read(ByteBuffer[] buffers, int offset, int length) throws IOException {
            return record(next.read(buffers, offset, length));
        }

        @Override
        public long transferTo(long position, long count, FileChannel target) throws IOException {
            return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
        }

        @Override
        public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target)
                throws IOException {
            return Conduits.transfer(this, count, throughBuffer, target);
        }
    }
}
