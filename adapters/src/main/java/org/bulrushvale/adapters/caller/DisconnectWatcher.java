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
 * Detects that a caller closes its connection while its request is in progress.
 *
 * <p>Undertow does not read from a connection while a request is being processed, so it would
 * notice a close only when the response is written. The watcher therefore reads from the connection
 * itself; it returns the bytes of a pipelined request to Undertow.
 *
 * <p>Invariant: at most one exchange is watched per connection. Thread safety: used on the
 * connection's I/O thread only.
 */
public final class DisconnectWatcher {
    private static final AttachmentKey<DisconnectWatcher> KEY =
            AttachmentKey.create(DisconnectWatcher.class);

    private @Nullable Runnable mOnClose;

    private DisconnectWatcher() {}

    /**
     * Watches the connection of an exchange whose request was read completely.
     *
     * @param onClose run at most once, when the caller closes before the exchange is complete
     */
    public static void watch(HttpServerExchange exchange, Runnable onClose) {
        ServerConnection connection = exchange.getConnection();
        DisconnectWatcher watcher = connection.getAttachment(KEY);
        if (watcher == null) {
            DisconnectWatcher created = new DisconnectWatcher();
            connection.putAttachment(KEY, created);
            connection.addCloseListener(closed -> created.runOnClose());
            watcher = created;
        }
        DisconnectWatcher currentWatcher = watcher;
        currentWatcher.mOnClose = onClose;
        exchange.addExchangeCompleteListener(
                (done, next) -> {
                    currentWatcher.mOnClose = null;
                    next.proceed();
                });
        if (!connection.isOpen()) {
            currentWatcher.runOnClose();
        } else if (connection instanceof HttpServerConnection http
                && http.getExtraBytes() == null) {
            readUntilClosed(http);
        }
    }

    private void runOnClose() {
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
