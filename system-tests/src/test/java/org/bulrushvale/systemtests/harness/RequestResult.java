package org.bulrushvale.systemtests.harness;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;

/**
 * The result of one request, as the caller sees it.
 *
 * <p>Thread safety: immutable.
 *
 * @param kind kind of result
 * @param status HTTP status, 0 when no status line arrived
 * @param body complete answer, final stream event or problem; a missing node when none arrived
 * @param output output of a complete answer
 * @param detail reason when the request got neither a complete answer nor a refusal
 */
public record RequestResult(Kind kind, int status, JsonNode body, String output, String detail) {
    /** Kinds of results. */
    public enum Kind {
        /** A complete answer whose output contains the id of its own request. */
        WHOLE,
        /** A problem body with a verdict. */
        REFUSED,
        /** The connection ended or the request timed out before the answer was complete. */
        CUT,
        /** No connection could be made. */
        UNREACHABLE,
        /** An answer that breaks the caller protocol. */
        INVALID
    }

    static RequestResult withoutResponse(Kind kind, String detail) {
        return new RequestResult(kind, 0, MissingNode.getInstance(), "", detail);
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
