package org.bulrushvale.adapters.caller;

/**
 * Sends the response to one request to its caller.
 *
 * <p>Invariant: exactly one of {@link #complete} and {@link #fail} is called, after all calls of
 * {@link #text}; later calls have no effect. Thread safety: may be called from any thread, one call
 * at a time.
 */
public interface CallerResponder {
    /** Sends a part of a streamed response, which starts at the given offset of the whole text. */
    void text(long offset, String text);

    /** Ends the request with its complete response. */
    void complete(CallerResponse response);

    /** Ends the request with an error. */
    void fail(Problem problem);
}
