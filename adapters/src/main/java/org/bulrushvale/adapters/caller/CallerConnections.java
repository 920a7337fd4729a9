package org.bulrushvale.adapters.caller;

import io.undertow.server.ExchangeCompletionListener;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
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
import org.xnio.conduits.StreamSourceConduit;

/**
 * The open connections of the caller listener, which a shutdown closes as they become idle.
 *
 * <p>Invariant: a connection is closed only while no byte of a request was read from it that has
 * not been answered. Thread safety: the public methods may be called from any thread; the state of
 * a connection is used on its I/O thread only.
 */
public final class CallerConnections {
    private static final Logger LOG = Logger.getLogger(CallerConnections.class);

    private final Set<Source> mOpen = ConcurrentHashMap.newKeySet();
    private final AtomicReference<@Nullable Runnable> mOnAllClosed = new AtomicReference<>();
    private volatile boolean mClosing;

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
        if (source(exchange) != null) {
            exchange.addExchangeCompleteListener(this::exchangeEnded);
        }
    }

    /** Returns true when bytes of a further request were read from the connection. */
    public static boolean hasPipelinedBytes(HttpServerExchange exchange) {
        return exchange.getConnection() instanceof HttpServerConnection http
                && http.getExtraBytes() != null;
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

    private void exchangeEnded(
            HttpServerExchange exchange, ExchangeCompletionListener.NextListener next) {
        Source source = source(exchange);
        if (source != null) {
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
        if (source.mHasRequest || !mOpen.contains(source)) {
            return;
        }
        // A request may have arrived since the last time that the connection was read.
        ConduitStreamSourceChannel channel = source.connection().getSourceChannel();
        ChannelListeners.invokeChannelListener(channel, channel.getReadListener());
        if (!source.mHasRequest) {
            IoUtils.safeClose(source.connection());
        }
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
     * Records whether bytes were read from a connection since its last answer.
     *
     * <p>Thread safety: used on the I/O thread of the connection only.
     */
    private static final class Source extends AbstractStreamSourceConduit<StreamSourceConduit> {
        private final StreamConnection mConnection;
        private boolean mHasRequest;

        Source(StreamSourceConduit next, StreamConnection connection) {
            super(next);
            mConnection = connection;
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
