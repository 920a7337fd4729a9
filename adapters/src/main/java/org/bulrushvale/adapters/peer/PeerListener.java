package org.bulrushvale.adapters.peer;

import java.net.InetAddress;

/**
 * Receives the messages of peers.
 *
 * <p>Invariant: {@link #received} is called once per delivered message, in the order in which each
 * connection delivers them; a message is delivered at most once.
 *
 * <p>Thread safety: called by the transport's thread; implementations hand the message to another
 * thread and return without blocking.
 */
@FunctionalInterface
public interface PeerListener {
    /** Called for each message of an authenticated peer. */
    void received(PeerMessage.Sender from, PeerMessage message, Responder reply);

    /** Called when a frame or a peer was rejected and its link is closed. */
    default void rejected(InetAddress address, PeerException error) {}

    /**
     * Sends the answer to one message.
     *
     * <p>Thread safety: may be called from any thread.
     */
    @FunctionalInterface
    interface Responder {
        /** Sends the answer; has no effect for one-way messages or when the link is closed. */
        void send(PeerMessage answer);
    }
}
