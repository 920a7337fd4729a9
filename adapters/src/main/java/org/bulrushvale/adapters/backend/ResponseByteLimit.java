package org.bulrushvale.adapters.backend;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.XnioIoThread;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Limits what a server may send on a connection before a part of a response body arrives, and how
 * much of it is read at once.
 *
 * <p>The HTTP client accepts heads, chunk sizes and trailers of any length and reads as long as
 * bytes arrive. A server that sends them without end would fill the memory and keep the I/O thread
 * from all other connections.
 *
 * <p>Invariants: reading fails after {@link #MAX_BYTES_WITHOUT_BODY} bytes without a part of a
 * body; other tasks of the I/O thread run after at most {@link #MAX_BYTES_PER_TURN} bytes. Thread
 * safety: used on the I/O thread of the connection only.
 */
public final class ResponseByteLimit extends InspectedSource {
    /** Bytes of a head, of the framing between two parts of a body, or of a trailer. */
    static final int MAX_BYTES_WITHOUT_BODY = 128 << 10;

    private static final int MAX_BYTES_PER_TURN = 256 << 10;

    private final XnioIoThread mIoThread;
    private int mBytesWithoutBody;
    private int mBytesInTurn;
    private boolean mTurnEnds;

    ResponseByteLimit(StreamSourceConduit next, XnioIoThread ioThread) {
        super(next);
        mIoThread = ioThread;
    }

    /** Called when a request is sent, and for each part of a body that was read. */
    public void reset() {
        mBytesWithoutBody = 0;
    }

    private boolean isTurnOver() {
        if (mBytesInTurn >= MAX_BYTES_PER_TURN && !mTurnEnds) {
            mTurnEnds = true;
            mIoThread.execute(
                    () -> {
                        mTurnEnds = false;
                        mBytesInTurn = 0;
                    });
        }
        return mTurnEnds;
    }

    private int count(int bytes) throws IOException {
        if (bytes > 0) {
            mBytesWithoutBody += bytes;
            mBytesInTurn += bytes;
            if (mBytesWithoutBody > MAX_BYTES_WITHOUT_BODY) {
                throw new IOException(
                        "more than " + MAX_BYTES_WITHOUT_BODY + " bytes without a part of a body");
            }
        }
        return bytes;
    }

    @Override
    public int read(ByteBuffer buffer) throws IOException {
        return isTurnOver() ? 0 : count(next.read(buffer));
    }
}
