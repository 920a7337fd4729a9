package org.bulrushvale.adapters.backend;

/**
 * Receives what happens to one attempt, in order.
 *
 * <p>Invariant: exactly one of {@link #completed}, {@link #streamEnded}, {@link #refused} and
 * {@link #failed} is called last; {@link #beforeSend} is called before the first byte of the
 * request is handed to the socket. Thread safety: called by one I/O thread at a time.
 */
public interface AttemptListener {
    /** A new connection is being opened. */
    void connecting();

    /**
     * The first byte is about to be handed to the socket; from now on the server may run the
     * attempt. Returns false when the attempt was given up and must not be sent.
     */
    boolean beforeSend();

    /** A piece of streamed text arrived for this attempt. */
    void text(long offset, String text);

    /** A response that names another attempt arrived; its content is dropped. */
    void foreignResponse(String attemptId);

    /** The complete result arrived in one piece. */
    void completed(String output, long tokens);

    /** The end event of the stream arrived. */
    void streamEnded(long tokens);

    /** The server states that it did not start the attempt. */
    void refused(int status);

    /** The attempt ended without a complete result. */
    void failed(BackendFailure failure, String detail);
}
