package org.bulrushvale.adapters.backend;

import io.undertow.client.ClientConnection;
import java.net.SocketAddress;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.channels.BoundChannel;

/**
 * Opens connections on an I/O thread with a {@link ResponseByteLimit} and a {@link
 * ResponseSyntaxCheck} below the HTTP client, which has no other place for them. It is never
 * started as a thread; all tasks run on the real one.
 *
 * <p>Invariant: while the HTTP client is told of a new connection, {@link #opened} refers to that
 * connection. Thread safety: connections may be opened from any thread; {@link #opened} is used on
 * the real I/O thread.
 */
final class LimitingIoThread extends XnioIoThread {
    private final XnioIoThread mReal;
    private @Nullable StreamConnection mOpenedSocket;
    private @Nullable ResponseByteLimit mOpenedLimit;
    private @Nullable ResponseSyntax mOpenedSyntax;

    LimitingIoThread(XnioIoThread real) {
        super(real.getWorker(), real.getNumber());
        mReal = real;
    }

    /** Combines the HTTP connection that was just opened with what lies below it. */
    LimitedConnection opened(ClientConnection http) {
        return new LimitedConnection(
                http,
                Objects.requireNonNull(mOpenedSocket, "no connection was opened"),
                Objects.requireNonNull(mOpenedLimit, "no connection was opened"),
                Objects.requireNonNull(mOpenedSyntax, "no connection was opened"));
    }

    private ChannelListener<StreamConnection> limiting(
            ChannelListener<? super StreamConnection> listener) {
        return connection -> {
            ResponseByteLimit limit =
                    new ResponseByteLimit(connection.getSourceChannel().getConduit(), mReal);
            ResponseSyntaxCheck check = new ResponseSyntaxCheck(limit);
            connection.getSourceChannel().setConduit(check);
            mOpenedSocket = connection;
            mOpenedLimit = limit;
            mOpenedSyntax = check.syntax();
            listener.handleEvent(connection);
        };
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress destination,
            ChannelListener<? super StreamConnection> listener,
            OptionMap options) {
        return mReal.openStreamConnection(destination, limiting(listener), options);
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress bindAddress,
            SocketAddress destination,
            ChannelListener<? super StreamConnection> listener,
            ChannelListener<? super BoundChannel> bindListener,
            OptionMap options) {
        return mReal.openStreamConnection(
                bindAddress, destination, limiting(listener), bindListener, options);
    }

    @Override
    public void execute(Runnable task) {
        mReal.execute(task);
    }

    @Override
    public Key executeAfter(Runnable task, long time, TimeUnit unit) {
        return mReal.executeAfter(task, time, unit);
    }

    @Override
    public Key executeAtInterval(Runnable task, long time, TimeUnit unit) {
        return mReal.executeAtInterval(task, time, unit);
    }
}
