package org.bulrushvale.load.client;

/**
 * Outcome of one request, as its sender sees it.
 *
 * <p>Thread safety: immutable.
 *
 * @param kind kind of outcome
 * @param verdict verdict of an answer or a refusal, empty if none was received
 * @param code error code of a refusal, or the reason of another failure
 * @param requestId id of a complete answer, empty otherwise
 * @param tokens tokens of a complete answer
 */
public record RequestOutcome(
        Kind kind, String verdict, String code, String requestId, long tokens) {
    /** Kinds of outcome. */
    public enum Kind {
        /** A complete answer. */
        COMPLETE,
        /** An error answer that follows the caller protocol. */
        REFUSED,
        /** The connection ended, or the time limit passed, before the answer was complete. */
        CUT,
        /** No connection could be made. */
        UNREACHABLE,
        /** An answer that violates the caller protocol. */
        INVALID
    }

    static RequestOutcome complete(String verdict, String requestId, long tokens) {
        return new RequestOutcome(Kind.COMPLETE, verdict, "", requestId, tokens);
    }

    static RequestOutcome refused(String verdict, String code) {
        return new RequestOutcome(Kind.REFUSED, verdict, code, "", 0);
    }

    static RequestOutcome failed(Kind kind, String reason) {
        return new RequestOutcome(kind, "", reason, "", 0);
    }
}
