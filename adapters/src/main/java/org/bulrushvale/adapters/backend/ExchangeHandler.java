package org.bulrushvale.adapters.backend;

import java.nio.ByteBuffer;

/**
 * Receives the events of one HTTP exchange.
 *
 * <p>Invariant: exactly one of {@link #end} and {@link #failed} is called last. Thread safety:
 * called by one I/O thread at a time.
 */
interface ExchangeHandler {
    default void connecting() {}

    /** The first byte is about to be handed to the socket; false forbids it. */
    default boolean sent() {
        return true;
    }

    /** The status line and the headers arrived. */
    void head(int status, boolean notRun, boolean eventStream);

    /** A part of the body arrived; false closes the connection and ends the exchange. */
    boolean body(ByteBuffer bytes);

    /** Returns the epoch that a whole body stated, empty when it stated none. */
    default String epoch() {
        return "";
    }

    /** The whole body arrived. */
    void end();

    /** The exchange ended early. */
    void failed(BackendFailure failure, String detail);
}
