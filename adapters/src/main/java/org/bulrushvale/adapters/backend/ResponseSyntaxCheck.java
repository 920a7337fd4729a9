package org.bulrushvale.adapters.backend;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.jspecify.annotations.Nullable;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Passes on the bytes of a connection while they are well-formed HTTP/1.1 responses, and then
 * fails.
 *
 * <p>The HTTP client tolerates many malformed heads and chunks. It guesses where the body ends, and
 * a caller could receive other bytes than the body of the server as a complete response.
 *
 * <p>Invariant: bytes before a malformed one are passed on, because a complete response may be
 * among them; the next read fails. Thread safety: used on the I/O thread of the connection only.
 */
final class ResponseSyntaxCheck extends InspectedSource {
    private final ResponseSyntax mSyntax = new ResponseSyntax();

    ResponseSyntaxCheck(StreamSourceConduit next) {
        super(next);
    }

    ResponseSyntax syntax() {
        return mSyntax;
    }

    @Override
    public int read(ByteBuffer buffer) throws IOException {
        throwFailure();
        int start = buffer.position();
        int count = next.read(buffer);
        if (count <= 0) {
            return count;
        }
        int accepted = mSyntax.accept(buffer, start, count);
        buffer.position(start + accepted);
        if (accepted == 0) {
            throwFailure();
        }
        return accepted;
    }

    private void throwFailure() throws MalformedResponseException {
        @Nullable MalformedResponseException failure = mSyntax.failure();
        if (failure != null) {
            throw failure;
        }
    }

    /** The failure is reported by a read, for which the socket may have no further bytes. */
    @Override
    public void resumeReads() {
        if (mSyntax.failure() == null) {
            super.resumeReads();
        } else {
            super.wakeupReads();
        }
    }
}
