package org.bulrushvale.adapters.backend;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.ChannelExceptionHandler;
import org.xnio.ChannelListeners;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes the body of a request as fast as the receiver accepts it.
 *
 * <p>Invariant: exactly one of {@link Listener#written} and {@link Listener#failed} is called,
 * once. Thread safety: used on the connection's I/O thread only.
 */
public final class RequestWriter {
    private final ByteBuffer mBody;
    private final Listener mListener;

    /** Creates a writer for one request. */
    public RequestWriter(byte[] body, Listener listener) {
        mBody = ByteBuffer.wrap(body);
        mListener = listener;
    }

    /** Returns true when the socket has accepted every byte of the body. */
    public boolean isBodyWritten() {
        return !mBody.hasRemaining();
    }

    /** Writes as much as the channel accepts and continues when it becomes writable. */
    public void write(StreamSinkChannel channel) {
        try {
            while (mBody.hasRemaining()) {
                if (channel.write(mBody) == 0) {
                    channel.getWriteSetter().set(this::write);
                    channel.resumeWrites();
                    return;
                }
            }
            mListener.bodyWritten();
            channel.shutdownWrites();
            if (channel.flush()) {
                mListener.written();
                return;
            }
            ChannelExceptionHandler<StreamSinkChannel> onError = (failed, e) -> mListener.failed();
            channel.getWriteSetter()
                    .set(
                            ChannelListeners.flushingChannelListener(
                                    flushed -> mListener.written(), onError));
            channel.resumeWrites();
        } catch (IOException e) {
            mListener.failed();
        }
    }

    /**
     * Receives the progress of a request.
     *
     * <p>Thread safety: called on the connection's I/O thread.
     */
    public interface Listener {
        /** Called when the socket has accepted every byte of the body. */
        default void bodyWritten() {}

        /** Called when the request is complete and the connection may carry another one. */
        default void written() {}

        /** Called when the request could not be written completely. */
        void failed();
    }
}
