package org.bulrushvale.adapters.backend;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.ChannelExceptionHandler;
import org.xnio.ChannelListeners;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes the body of a request as fast as the other side takes it.
 *
 * <p>Invariant: exactly one of the two tasks runs, once. Thread safety: used on the connection's
 * I/O thread only.
 */
public final class RequestWriter {
    private final ByteBuffer mBody;
    private final Runnable mOnWritten;
    private final Runnable mOnError;

    /** Creates a writer for one request. */
    public RequestWriter(byte[] body, Runnable onWritten, Runnable onError) {
        mBody = ByteBuffer.wrap(body);
        mOnWritten = onWritten;
        mOnError = onError;
    }

    /** Writes what the channel takes and goes on when it takes more. */
    public void write(StreamSinkChannel channel) {
        try {
            while (mBody.hasRemaining()) {
                if (channel.write(mBody) == 0) {
                    channel.getWriteSetter().set(this::write);
                    channel.resumeWrites();
                    return;
                }
            }
            channel.shutdownWrites();
            if (channel.flush()) {
                mOnWritten.run();
                return;
            }
            ChannelExceptionHandler<StreamSinkChannel> onError = (failed, e) -> mOnError.run();
            channel.getWriteSetter()
                    .set(
                            ChannelListeners.flushingChannelListener(
                                    flushed -> mOnWritten.run(), onError));
            channel.resumeWrites();
        } catch (IOException e) {
            mOnError.run();
        }
    }
}
