package org.bulrushvale.adapters.peer;

import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * One TCP connection to a peer, with framing, handshake and write queue.
 *
 * <p>Invariants: only the handshake is read or written before the peer's proof was verified; until
 * then a frame has at most {@link #MAX_HANDSHAKE_BYTES}, so that an unauthenticated peer cannot
 * occupy memory.
 *
 * <p>Thread safety: not safe; owned by the transport's thread.
 */
final class PeerLink {
    static final int MAX_HANDSHAKE_BYTES = 2_048;

    /** Limits the reads for one selector event, so that one peer does not starve the others. */
    private static final int MAX_READS_PER_EVENT = 16;

    private final SocketChannel mChannel;
    private final SelectionKey mKey;
    private final Handshake mHandshake;
    private final @Nullable String mExpectedVm;
    private final SendBudget mBudget;
    private final Deque<OutboundFrame> mWriteQueue = new ArrayDeque<>();
    private final ByteBuffer mLengthBuffer = ByteBuffer.allocate(PeerCodec.LENGTH_BYTES);
    private @Nullable ByteBuffer mPayloadBuffer;
    private PeerMessage.@Nullable Sender mPeer;
    private boolean mHandshakeDone;
    private boolean mDropsAllBytes;
    private long mLastReadNanos;
    private long mLastHeartbeatNanos;

    PeerLink(
            SocketChannel channel,
            SelectionKey key,
            Handshake handshake,
            @Nullable String expectedVm,
            SendBudget budget,
            long nowNanos) {
        mChannel = channel;
        mKey = key;
        mHandshake = handshake;
        mExpectedVm = expectedVm;
        mBudget = budget;
        mLastReadNanos = nowNanos;
        mLastHeartbeatNanos = nowNanos;
    }

    /** Receives the events of a link. */
    interface EventHandler {
        /** Called when the handshake is complete. */
        void onOpened(PeerLink link);

        /** Called for each message of an open link. */
        void onMessage(PeerLink link, PeerCodec.Envelope envelope) throws PeerException;
    }

    boolean isDialled() {
        return mExpectedVm != null;
    }

    /** Returns the VM that this process dialled, or null for an accepted connection. */
    @Nullable String dialledVm() {
        return mExpectedVm;
    }

    /** Returns true when the handshake is complete. */
    boolean isOpen() {
        return mHandshakeDone;
    }

    PeerMessage.@Nullable Sender peer() {
        return mPeer;
    }

    SendBudget budget() {
        return mBudget;
    }

    boolean belongsTo(String vm) {
        return vm.equals(mExpectedVm) || (mPeer != null && vm.equals(mPeer.vm()));
    }

    /** Drops every byte from now on, for tests; the silence limit then closes the link. */
    void dropAllBytes() {
        mDropsAllBytes = true;
    }

    boolean hasBeenSilent(long nowNanos, long limitNanos) {
        return nowNanos - mLastReadNanos > limitNanos;
    }

    /** Returns true when a heartbeat must be sent now; restarts the period when it has passed. */
    boolean isHeartbeatDue(long nowNanos, long periodNanos) {
        boolean due = isDialled() && mHandshakeDone && nowNanos - mLastHeartbeatNanos > periodNanos;
        if (due) {
            mLastHeartbeatNanos = nowNanos;
        }
        // Queued frames show the peer that the link is alive, just as a heartbeat does.
        return due && mWriteQueue.isEmpty();
    }

    /** Returns true when every frame has been written. */
    boolean isFlushed() {
        return mWriteQueue.isEmpty();
    }

    InetAddress address() throws IOException {
        return ((InetSocketAddress) mChannel.getRemoteAddress()).getAddress();
    }

    void sendHello() throws PeerException, IOException {
        write(OutboundFrame.oneWay(PeerCodec.encode(0, mHandshake.hello()), null));
    }

    boolean finishConnect() throws IOException {
        return mChannel.finishConnect();
    }

    void write(OutboundFrame frame) throws IOException {
        mWriteQueue.add(frame);
        flush();
    }

    /** Removes a frame from the write queue unless a part of it may have been sent. */
    void removeIfUnsent(OutboundFrame frame) {
        if (!frame.mayHaveBeenSent()) {
            mWriteQueue.remove(frame);
        }
    }

    void flush() throws IOException {
        OutboundFrame frame = mWriteQueue.peek();
        while (frame != null) {
            if (!tryWrite(frame)) {
                break;
            }
            mWriteQueue.remove();
            frame.release();
            frame = mWriteQueue.peek();
        }
        int write = mWriteQueue.isEmpty() ? 0 : SelectionKey.OP_WRITE;
        mKey.interestOps(SelectionKey.OP_READ | write);
    }

    private boolean tryWrite(OutboundFrame frame) throws IOException {
        if (mDropsAllBytes) {
            frame.markMaybeSent();
            return true;
        }
        try {
            if (mChannel.write(frame.bytes()) > 0) {
                frame.markMaybeSent();
            }
        } catch (IOException e) {
            // The operating system may have accepted bytes before it reported the error.
            frame.markMaybeSent();
            throw e;
        }
        return !frame.bytes().hasRemaining();
    }

    /** Reads the bytes that have arrived, up to {@link #MAX_READS_PER_EVENT} reads. */
    void read(EventHandler handler, long nowNanos) throws IOException, PeerException {
        for (int reads = 0; reads < MAX_READS_PER_EVENT; reads++) {
            ByteBuffer target = mPayloadBuffer == null ? mLengthBuffer : mPayloadBuffer;
            int count = mChannel.read(target);
            if (count < 0) {
                throw new EOFException("connection closed by the peer");
            }
            if (mDropsAllBytes) {
                target.clear();
                return;
            }
            if (count > 0) {
                mLastReadNanos = nowNanos;
            }
            if (target.hasRemaining()) {
                return;
            }
            if (target == mLengthBuffer) {
                startPayload();
            } else {
                mPayloadBuffer = null;
                onFrame(target.array(), handler);
            }
        }
    }

    private void startPayload() throws PeerException {
        int length = mLengthBuffer.flip().getInt();
        mLengthBuffer.clear();
        int limit = mHandshakeDone ? PeerCodec.MAX_FRAME_BYTES : MAX_HANDSHAKE_BYTES;
        if (length < 0 || length > limit) {
            throw PeerException.rejected(
                    PeerRejectReason.FRAME_TOO_LONG,
                    "frame of " + length + " bytes, limit " + limit);
        }
        if (length == 0) {
            throw PeerException.rejected(PeerRejectReason.FRAME_MALFORMED, "empty frame");
        }
        mPayloadBuffer = ByteBuffer.allocate(length);
    }

    private void onFrame(byte[] payload, EventHandler handler) throws PeerException, IOException {
        PeerCodec.Envelope envelope = PeerCodec.decode(payload);
        PeerMessage message = envelope.message();
        if (mHandshakeDone) {
            if (message instanceof PeerMessage.Hello || message instanceof PeerMessage.Proof) {
                throw PeerException.rejected(
                        PeerRejectReason.FRAME_UNEXPECTED, "handshake message after the handshake");
            }
            handler.onMessage(this, envelope);
        } else if (message instanceof PeerMessage.Hello hello && mPeer == null) {
            mHandshake.accept(hello, mExpectedVm);
            mPeer = hello.sender();
            if (isDialled()) {
                sendProof();
            }
        } else if (message instanceof PeerMessage.Proof proof) {
            mHandshake.verify(proof);
            // The accepting side sends its proof only to a peer whose proof it has verified.
            if (!isDialled()) {
                sendProof();
            }
            mHandshakeDone = true;
            handler.onOpened(this);
        } else {
            throw PeerException.rejected(
                    PeerRejectReason.FRAME_UNEXPECTED, "message before the end of the handshake");
        }
    }

    private void sendProof() throws PeerException, IOException {
        write(OutboundFrame.oneWay(PeerCodec.encode(0, mHandshake.proof()), null));
    }

    void close() {
        mKey.cancel();
        try {
            mChannel.close();
        } catch (IOException ignored) {
            // The connection is discarded in any case.
        }
        mWriteQueue.forEach(frame -> frame.fail("link closed"));
        mWriteQueue.clear();
    }
}
