package org.bulrushvale.systemtests.harness;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;

/**
 * What came back for one request.
 *
 * <p>Thread safety: immutable.
 *
 * @param kind class of outcome
 * @param status HTTP status, 0 when no status line arrived
 * @param body complete answer, final stream event or problem; missing when none arrived
 * @param output output of a complete answer
 * @param detail reason of an outcome that is neither whole nor refused
 */
public record Answer(Kind kind, int status, JsonNode body, String output, String detail) {
    /** Classes of outcome. */
    public enum Kind {
        /** A complete answer that holds its own request id. */
        WHOLE,
        /** A problem body with a verdict. */
        REFUSED,
        /** The connection ended, or the time was over, before the answer was complete. */
        CUT,
        /** No connection could be made. */
        UNREACHABLE,
        /** An answer that breaks the caller protocol. */
        INVALID
    }

    static Answer without(Kind kind, String detail) {
        return new Answer(kind, 0, MissingNode.getInstance(), "", detail);
    }

    /** Returns true for a complete answer. */
    public boolean isWhole() {
        return kind == Kind.WHOLE;
    }

    /** Returns the verdict, empty when none arrived. */
    public String verdict() {
        return body.path("verdict").asText();
    }

    /** Returns the error code of a refusal, empty otherwise. */
    public String code() {
        return body.path("code").asText();
    }

    @Override
    public String toString() {
        String text = kind + " " + status + " " + detail + " " + body;
        return text.length() <= 400 ? text : text.substring(0, 400);
    }
}
