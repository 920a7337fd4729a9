package org.bulrushvale.adapters.backend;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.ChannelExceptionHandler;
import org.xnio.ChannelListeners;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes the body of a request as fast as the receiver accepts it.
 *
 * <p>Invariant: exactly one of {@code onWritten} and {@code onError} runs, once. Thread safety:
 * used on the connection's I/O thread only.
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
