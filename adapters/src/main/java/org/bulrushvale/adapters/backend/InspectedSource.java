package org.bulrushvale.adapters.backend;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Base of the conduits that inspect every byte of a connection.
 *
 * <p>Invariant: every way of reading uses {@link #read(ByteBuffer)}, which subclasses override.
 * Thread safety: used on the I/O thread of the connection only.
 */
abstract class InspectedSource extends AbstractStreamSourceConduit<StreamSourceConduit> {
    InspectedSource(StreamSourceConduit next) {
        super(next);
    }

    @Override
    public abstract int read(ByteBuffer buffer) throws IOException;

    @Override
    public final long read(ByteBuffer[] buffers, int offset, int length) throws IOException {
        for (int i = offset; i < offset + length; i++) {
            if (buffers[i].hasRemaining()) {
                return read(buffers[i]);
            }
        }
        return 0;
    }

    @Override
    public final long transferTo(long position, long count, FileChannel target) throws IOException {
        return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
    }

    @Override
    public final long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target)
            throws IOException {
        return Conduits.transfer(this, count, throughBuffer, target);
    }
}
