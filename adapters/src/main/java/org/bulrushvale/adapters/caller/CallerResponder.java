package org.bulrushvale.adapters.caller;

/**
 * Receives the answer to one request and sends it to the caller.
 *
 * <p>Invariant: exactly one of {@link #complete} and {@link #fail} is called, after all calls of
 * {@link #text}; later calls have no effect. Thread safety: may be called from any thread, one call
 * at a time.
 */
public interface CallerResponder {
    /** Sends a part of a streamed answer, which starts at the given offset of the whole text. */
    void text(long offset, String text);

    /** Ends the request with its complete answer. */
    void complete(CallerResponse answer);

    /** Ends the request with an error. */
    void fail(Problem problem);
}
