package org.bulrushvale.adapters.caller;

/**
 * Where the answer to one request goes.
 *
 * <p>Invariant: exactly one of {@link #complete} and {@link #fail} is called, after all texts;
 * later calls have no effect. Thread safety: may be called from any thread, one call at a time.
 */
public interface CallerResponder {
    /** Passes on one piece of a streamed answer. */
    void text(long offset, String text);

    /** Ends the request with its answer. */
    void complete(CallerResponse answer);

    /** Ends the request with an error. */
    void fail(Problem problem);
}
