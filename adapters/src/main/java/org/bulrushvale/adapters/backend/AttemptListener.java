package org.bulrushvale.adapters.backend;

/**
 * Receives the events of one attempt, in order.
 *
 * <p>Invariant: exactly one of {@link #completed}, {@link #streamEnded}, {@link #refused} and
 * {@link #failed} is called last; {@link #beforeSend} is called before the first byte of the
 * request is handed to the socket. Thread safety: called by one I/O thread at a time, except that
 * {@link #connecting} may be called by the thread that starts the attempt and {@link #failed} by
 * the thread that aborts it.
 */
public interface AttemptListener {
    /** A new connection is being opened. */
    void connecting();

    /**
     * Called before the first byte is handed to the socket; after this call the server may run the
     * attempt. Returns false when the attempt was cancelled and must not be sent.
     */
    boolean beforeSend();

    /** A part of the streamed text arrived; it starts at the given offset of the whole text. */
    void text(long offset, String text);

    /** A response or event with the id of another attempt arrived; its content is discarded. */
    void foreignResponse(String attemptId);

    /** The complete result arrived in a single response. */
    void completed(String output, long tokens);

    /** The end event of the stream arrived. */
    void streamEnded(long tokens);

    /** The server reports that it did not start the attempt. */
    void refused(int status);

    /** The attempt ended without a complete result. */
    void failed(BackendFailure failure, String detail);
}
