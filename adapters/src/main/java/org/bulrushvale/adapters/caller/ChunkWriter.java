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
 * Writes the body of one response in chunks, as fast as the caller accepts them.
 *
 * <p>Invariant: the response is completed only after {@link #end}; the connection of a caller that
 * reads too slowly is closed. Thread safety: used on the exchange's I/O thread only.
 */
public final class ChunkWriter {
    // A caller with more unread bytes is treated as disconnected, so that it cannot fill the
    // memory.
    private static final int MAX_PENDING_BYTES = 1 << 20;

    private final HttpServerExchange mExchange;
    private final Deque<ByteBuffer> mPendingChunks = new ArrayDeque<>();
    private @Nullable StreamSinkChannel mChannel;
    private int mPendingBytes;
    private boolean mEnded;
    private boolean mAborted;

    /** Creates a writer; status and headers must be set before the first chunk. */
    public ChunkWriter(HttpServerExchange exchange) {
        mExchange = exchange;
    }

    /** Returns true once the first chunk was passed to {@link #write}. */
    public boolean isStarted() {
        return mChannel != null;
    }

    /** Returns true when the connection was closed by {@link #abort}. */
    public boolean isAborted() {
        return mAborted;
    }

    /** Queues one chunk and writes as much as the caller accepts. */
    public void write(byte[] bytes) {
        if (mEnded || mAborted) {
            return;
        }
        if (mChannel == null) {
            mChannel = mExchange.getResponseChannel();
        }
        mPendingBytes += bytes.length;
        if (mPendingBytes > MAX_PENDING_BYTES) {
            abort();
            return;
        }
        mPendingChunks.addLast(ByteBuffer.wrap(bytes));
        flush();
    }

    /** Completes the response after all chunks were written. */
    public void end() {
        mEnded = true;
        flush();
        ResponseReadLimit.start(mExchange);
    }

    /** Closes the connection, so that the response does not look complete. */
    public void abort() {
        mAborted = true;
        mPendingChunks.clear();
        IoUtils.safeClose(mExchange.getConnection());
    }

    private void flush() {
        StreamSinkChannel channel = mChannel;
        if (channel == null || mAborted) {
            return;
        }
        try {
            for (ByteBuffer next = mPendingChunks.peekFirst();
                    next != null;
                    next = mPendingChunks.peekFirst()) {
                int written = channel.write(next);
                mPendingBytes -= written;
                if (written == 0) {
                    awaitWritable(channel);
                    return;
                }
                if (!next.hasRemaining()) {
                    mPendingChunks.removeFirst();
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
            abort();
        }
    }

    private void awaitWritable(StreamSinkChannel channel) {
        channel.getWriteSetter().set(sink -> flush());
        channel.resumeWrites();
    }
}
