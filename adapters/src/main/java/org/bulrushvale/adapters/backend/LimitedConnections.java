package org.bulrushvale.adapters.backend;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.xnio.OptionMap;
import org.xnio.XnioIoThread;

/**
 * Opens HTTP connections to servers with a limit on what they may send, see {@link
 * ResponseByteLimit}.
 *
 * <p>Thread safety: safe for use by any thread.
 */
public final class LimitedConnections {
    private final ByteBufferPool mBuffers;
    private final OptionMap mOptions;
    private final Map<XnioIoThread, LimitingIoThread> mLimitingThreads = new ConcurrentHashMap<>();

    /** Creates an opener of connections with these buffers and socket options. */
    public LimitedConnections(ByteBufferPool buffers, OptionMap options) {
        mBuffers = buffers;
        mOptions = options;
    }

    /**
     * Opens a connection.
     *
     * @param onOpen called on the I/O thread with the connection
     * @param onFailure called when no connection could be opened
     */
    public void open(
            URI uri,
            XnioIoThread ioThread,
            Consumer<LimitedConnection> onOpen,
            Consumer<IOException> onFailure) {
        LimitingIoThread limitingThread =
                mLimitingThreads.computeIfAbsent(ioThread, LimitingIoThread::new);
        UndertowClient.getInstance()
                .connect(
                        new ClientCallback<ClientConnection>() {
                            @Override
                            public void completed(ClientConnection connection) {
                                onOpen.accept(limitingThread.opened(connection));
                            }

                            @Override
                            public void failed(IOException e) {
                                onFailure.accept(e);
                            }
                        },
                        uri,
                        limitingThread,
                        mBuffers,
                        mOptions);
    }
}
