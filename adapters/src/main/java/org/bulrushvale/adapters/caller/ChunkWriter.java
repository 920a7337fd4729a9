package org.bulrushvale.adapters.caller;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes the body of one answer part by part, each as soon as the caller takes it.
 *
 * <p>Invariant: the answer ends in order only after {@link #end}; a caller that falls too far
 * behind loses its connection. Thread safety: used on the exchange's I/O thread only.
 */
public final class ChunkWriter {
    // A reader this far behind is treated as gone, so that it cannot fill the memory.
    private static final int MAX_PENDING_BYTES = 1 << 20;

    private final HttpServerExchange mExchange;
    private final Deque<ByteBuffer> mPending = new ArrayDeque<>();
    private @Nullable StreamSinkChannel mChannel;
    private int mPendingBytes;
    private boolean mEnded;
    private boolean mLost;

    /** Creates a writer; status and headers are set before the first part. */
    public ChunkWriter(HttpServerExchange exchange) {
        mExchange = exchange;
    }

    /** Returns true once the first part was handed over. */
    public boolean isStarted() {
        return mChannel != null;
    }

    /** Returns true when the caller is gone. */
    public boolean isLost() {
        return mLost;
    }

    /** Hands over one part. */
    public void write(byte[] bytes) {
        if (mEnded || mLost) {
            return;
        }
        if (mChannel == null) {
            mChannel = mExchange.getResponseChannel();
        }
        mPendingBytes += bytes.length;
        if (mPendingBytes > MAX_PENDING_BYTES) {
            breakOff();
            return;
        }
        mPending.addLast(ByteBuffer.wrap(bytes));
        flush();
    }

    /** Ends the answer in order, after all parts. */
    public void end() {
        mEnded = true;
        flush();
    }

    /** Closes the connection, so that the answer does not look complete. */
    public void breakOff() {
        mLost = true;
        mPending.clear();
        IoUtils.safeClose(mExchange.getConnection());
    }

    private void flush() {
        StreamSinkChannel channel = mChannel;
        if (channel == null || mLost) {
            return;
        }
        try {
            for (ByteBuffer next = mPending.peekFirst();
                    next != null;
                    next = mPending.peekFirst()) {
                int written = channel.write(next);
                mPendingBytes -= written;
                if (written == 0) {
                    awaitWritable(channel);
                    return;
                }
                if (!next.hasRemaining()) {
                    mPending.removeFirst();
                }
            }
            if (mEnded) {
                mExchange.endExchange();
            } else if (!channel.flush()) {
                awaitWritable(channel);
            } else {
                channel.suspendWrites();
            }
        } catch (IOException e) {
            breakOff();
        }
    }

    private void awaitWritable(StreamSinkChannel channel) {
        channel.getWriteSetter().set(sink -> flush());
        channel.resumeWrites();
    }
}
