package org.bulrushvale.adapters.peer;

import java.net.InetAddress;

/**
 * Receives what peers send.
 *
 * <p>Invariant: {@link #received} is called once per delivered message, in the order of each
 * connection; a message is delivered at most once.
 *
 * <p>Thread safety: called by the transport's thread; implementations hand over and return at once.
 */
@FunctionalInterface
public interface PeerListener {
    /** Called for each message of an accepted peer. */
    void received(PeerMessage.Sender from, PeerMessage message, Reply reply);

    /** Called when a frame or a peer was rejected and its link closed. */
    default void rejected(InetAddress address, PeerException error) {}

    /**
     * Answers one message.
     *
     * <p>Thread safety: may be called from any thread.
     */
    @FunctionalInterface
    interface Reply {
        /** Sends the answer; has no effect when the sender asked for none or its link is gone. */
        void send(PeerMessage answer);
    }
}
