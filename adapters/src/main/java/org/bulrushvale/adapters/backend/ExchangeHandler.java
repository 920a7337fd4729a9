package org.bulrushvale.adapters.backend;

import java.nio.ByteBuffer;

/**
 * Receives the events of one HTTP exchange.
 *
 * <p>Invariant: exactly one of {@link #end} and {@link #failed} is called last. Thread safety:
 * called by one I/O thread at a time, except that {@link #connecting} may be called by the thread
 * that starts the exchange and {@link #failed} by the thread that aborts it.
 */
interface ExchangeHandler {
    /** A new connection is being opened. */
    default void connecting() {}

    /** Called before the first byte is handed to the socket; returns false to prevent sending. */
    default boolean beforeSend() {
        return true;
    }

    /** The status line and the headers of the response arrived. */
    void head(int status, boolean notRun, boolean eventStream);

    /** A part of the body arrived; returning false fails the exchange and closes the connection. */
    boolean body(ByteBuffer bytes);

    /** Returns the epoch that the complete body reports, empty when it reports none. */
    default String epoch() {
        return "";
    }

    /**
     * Returns true while bytes of the body extend the time limit of the exchange; otherwise a
     * server that sends a few bytes now and then would hold the exchange without end.
     */
    default boolean extendsTimeLimit() {
        return true;
    }

    /**
     * Returns false when the complete response does not show that it answers this exchange. The
     * connection is then closed, because the next response on it may be the one to this exchange.
     */
    default boolean isIdentified() {
        return true;
    }

    /** The complete body arrived. */
    void end();

    /** The exchange failed before the complete body arrived. */
    void failed(BackendFailure failure, String detail);
}
