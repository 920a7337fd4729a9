package org.bulrushvale.adapters.caller;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Cancels a request when its caller closes the connection.
 *
 * <p>Undertow does not read from a connection while a request is being processed, so a close would
 * only be seen when the answer is written. The watch therefore reads the connection itself; bytes
 * of a pipelined request are handed back.
 *
 * <p>Invariant: at most one exchange is watched per connection. Thread safety: used on the
 * connection's I/O thread only.
 */
public final class DisconnectWatch {
    private static final AttachmentKey<DisconnectWatch> KEY =
            AttachmentKey.create(DisconnectWatch.class);

    private @Nullable Runnable mOnClose;

    private DisconnectWatch() {}

    /**
     * Watches the connection of an exchange whose request was read completely.
     *
     * @param onClose called at most once, when the caller closes before the exchange is complete
     */
    public static void watch(HttpServerExchange exchange, Runnable onClose) {
        ServerConnection connection = exchange.getConnection();
        DisconnectWatch watch = connection.getAttachment(KEY);
        if (watch == null) {
            DisconnectWatch created = new DisconnectWatch();
            connection.putAttachment(KEY, created);
            connection.addCloseListener(closed -> created.disconnected());
            watch = created;
        }
        DisconnectWatch current = watch;
        current.mOnClose = onClose;
        exchange.addExchangeCompleteListener(
                (done, next) -> {
                    current.mOnClose = null;
                    next.proceed();
                });
        if (!connection.isOpen()) {
            current.disconnected();
        } else if (connection instanceof HttpServerConnection http
                && http.getExtraBytes() == null) {
            readUntilClosed(http);
        }
    }

    private void disconnected() {
        Runnable onClose = mOnClose;
        mOnClose = null;
        if (onClose != null) {
            onClose.run();
        }
    }

    private static void readUntilClosed(HttpServerConnection connection) {
        ConduitStreamSourceChannel source = connection.getChannel().getSourceChannel();
        source.setConduit(connection.getOriginalSourceConduit());
        source.setReadListener(channel -> onReadable(connection, channel));
        source.resumeReads();
    }

    private static void onReadable(
            HttpServerConnection connection, ConduitStreamSourceChannel source) {
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        try {
            int count = source.read(pooled.getBuffer());
            if (count > 0) {
                source.suspendReads();
                pooled.getBuffer().flip();
                connection.ungetRequestBytes(pooled);
                return;
            }
            if (count < 0) {
                IoUtils.safeClose(connection);
            }
        } catch (IOException e) {
            IoUtils.safeClose(connection);
        }
        pooled.close();
    }
}
