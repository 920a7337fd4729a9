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
 * One TCP connection: framing, handshake and write queue.
 *
 * <p>Invariants: nothing but the handshake is read or written before both proofs were verified;
 * before that a frame is at most {@link #MAX_HANDSHAKE_BYTES} long, so that an unproven peer cannot
 * occupy memory.
 *
 * <p>Thread safety: not safe; owned by the transport's thread.
 */
final class PeerLink {
    static final int MAX_HANDSHAKE_BYTES = 2_048;

    private final SocketChannel mChannel;
    private final SelectionKey mKey;
    private final Handshake mHandshake;
    private final @Nullable String mExpectedVm;
    private final SendBudget mBudget;
    private final Deque<OutFrame> mQueue = new ArrayDeque<>();
    private final ByteBuffer mLength = ByteBuffer.allocate(PeerCodec.LENGTH_BYTES);
    private @Nullable ByteBuffer mPayload;
    private PeerMessage.@Nullable Sender mPeer;
    private boolean mOpen;
    private boolean mSilenced;
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

    /** Receives complete messages of an open link. */
    interface Sink {
        void opened(PeerLink link);

        void message(PeerLink link, PeerCodec.Envelope envelope) throws PeerException;
    }

    boolean isDialled() {
        return mExpectedVm != null;
    }

    /** Returns the VM that was dialled, or null for an accepted connection. */
    @Nullable String dialledVm() {
        return mExpectedVm;
    }

    boolean isOpen() {
        return mOpen;
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

    /** Makes the link lose every byte from now on; it is closed by the silence limit. */
    void silence() {
        mSilenced = true;
    }

    boolean isSilent(long nowNanos, long limitNanos) {
        return nowNanos - mLastReadNanos > limitNanos;
    }

    boolean isHeartbeatDue(long nowNanos, long periodNanos) {
        boolean due = isDialled() && mOpen && nowNanos - mLastHeartbeatNanos > periodNanos;
        if (due) {
            mLastHeartbeatNanos = nowNanos;
        }
        // Frames in the queue prove the same as a heartbeat once they pass.
        return due && mQueue.isEmpty();
    }

    InetAddress address() throws IOException {
        return ((InetSocketAddress) mChannel.getRemoteAddress()).getAddress();
    }

    void sendHello() throws PeerException, IOException {
        write(OutFrame.oneWay(PeerCodec.encode(0, mHandshake.hello()), null));
    }

    boolean finishConnect() throws IOException {
        return mChannel.finishConnect();
    }

    void write(OutFrame frame) throws IOException {
        mQueue.add(frame);
        flush();
    }

    /** Removes a frame that has not begun to leave. */
    void withdraw(OutFrame frame) {
        if (!frame.mayHaveLeft()) {
            mQueue.remove(frame);
        }
    }

    void flush() throws IOException {
        OutFrame frame = mQueue.peek();
        while (frame != null) {
            if (!writeSome(frame)) {
                break;
            }
            mQueue.remove();
            frame.release();
            frame = mQueue.peek();
        }
        int write = mQueue.isEmpty() ? 0 : SelectionKey.OP_WRITE;
        mKey.interestOps(SelectionKey.OP_READ | write);
    }

    private boolean writeSome(OutFrame frame) throws IOException {
        if (mSilenced) {
            frame.markLeft();
            return true;
        }
        try {
            if (mChannel.write(frame.bytes()) > 0) {
                frame.markLeft();
            }
        } catch (IOException e) {
            // The system may have taken bytes before it reported the error.
            frame.markLeft();
            throw e;
        }
        return !frame.bytes().hasRemaining();
    }

    /** Reads what has arrived; at most a few frames, so that one peer does not starve others. */
    void read(Sink sink, long nowNanos) throws IOException, PeerException {
        for (int frames = 0; frames < 16; frames++) {
            ByteBuffer target = mPayload == null ? mLength : mPayload;
            int count = mChannel.read(target);
            if (count < 0) {
                throw new EOFException("closed by the peer");
            }
            if (mSilenced) {
                target.clear();
                return;
            }
            if (count > 0) {
                mLastReadNanos = nowNanos;
            }
            if (target.hasRemaining()) {
                return;
            }
            if (target == mLength) {
                startPayload();
            } else {
                mPayload = null;
                onFrame(target.array(), sink);
            }
        }
    }

    private void startPayload() throws PeerException {
        int length = mLength.flip().getInt();
        mLength.clear();
        int limit = mOpen ? PeerCodec.MAX_FRAME_BYTES : MAX_HANDSHAKE_BYTES;
        if (length < 0 || length > limit) {
            throw PeerException.rejected(
                    PeerReject.FRAME_TOO_LONG, "frame of " + length + " bytes");
        }
        if (length == 0) {
            throw PeerException.rejected(PeerReject.FRAME_MALFORMED, "empty frame");
        }
        mPayload = ByteBuffer.allocate(length);
    }

    private void onFrame(byte[] payload, Sink sink) throws PeerException, IOException {
        PeerCodec.Envelope envelope = PeerCodec.decode(payload);
        PeerMessage message = envelope.message();
        if (mOpen) {
            if (message instanceof PeerMessage.Hello || message instanceof PeerMessage.Proof) {
                throw PeerException.rejected(PeerReject.FRAME_UNEXPECTED, "second handshake");
            }
            sink.message(this, envelope);
        } else if (message instanceof PeerMessage.Hello hello && mPeer == null) {
            mHandshake.accept(hello, mExpectedVm);
            mPeer = hello.sender();
            if (isDialled()) {
                sendProof();
            }
        } else if (message instanceof PeerMessage.Proof proof) {
            mHandshake.verify(proof);
            // The acceptor proves itself only to a peer that has proven itself.
            if (!isDialled()) {
                sendProof();
            }
            mOpen = true;
            sink.opened(this);
        } else {
            throw PeerException.rejected(PeerReject.FRAME_UNEXPECTED, "message before handshake");
        }
    }

    private void sendProof() throws PeerException, IOException {
        write(OutFrame.oneWay(PeerCodec.encode(0, mHandshake.proof()), null));
    }

    void close() {
        mKey.cancel();
        try {
            mChannel.close();
        } catch (IOException ignored) {
            // The connection is given up either way.
        }
        mQueue.forEach(frame -> frame.fail("link closed"));
        mQueue.clear();
    }
}
