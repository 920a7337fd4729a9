package org.bulrushvale.load.client;

/**
 * What came back for one request.
 *
 * <p>Thread safety: immutable.
 *
 * @param kind class of outcome
 * @param verdict verdict of an answer or a refusal, empty when none was received
 * @param code error code of a refusal, or the reason of another failure
 * @param requestId id of a complete answer, empty otherwise
 * @param tokens tokens of a complete answer
 */
public record Outcome(Kind kind, String verdict, String code, String requestId, long tokens) {
    /** Classes of outcome. */
    public enum Kind {
        /** A complete answer. */
        COMPLETE,
        /** A problem body that follows the protocol. */
        REFUSED,
        /** The connection ended, or the time was over, before the answer was complete. */
        CUT,
        /** No connection could be made. */
        UNREACHABLE,
        /** An answer that breaks the protocol. */
        INVALID
    }

    static Outcome complete(String verdict, String requestId, long tokens) {
        return new Outcome(Kind.COMPLETE, verdict, "", requestId, tokens);
    }

    static Outcome refused(String verdict, String code) {
        return new Outcome(Kind.REFUSED, verdict, code, "", 0);
    }

    static Outcome failed(Kind kind, String reason) {
        return new Outcome(kind, "", reason, "", 0);
    }
}
