package org.bulrushvale.adapters.caller;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.util.StatusCodes;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.OptionalLong;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.RetryAdvice;
import org.bulrushvale.kernel.verdict.Verdict;

/**
 * Error response to a caller in the problem details format of RFC 9457.
 *
 * <p>Invariant: the detail holds no secret and no request body. Thread safety: immutable.
 *
 * @param code error code
 * @param verdict whether the request may have run
 * @param advice what the caller may do next
 * @param detail explanation for a human reader
 * @param retryAfterMs milliseconds after which a retry is useful
 */
public record Problem(
        ErrorCode code,
        Verdict verdict,
        RetryAdvice advice,
        String detail,
        OptionalLong retryAfterMs) {
    /** Media type of the response body. */
    public static final String CONTENT_TYPE = "application/problem+json";

    // Long enough for a burst to pass, but short compared with a deadline of 5 s.
    private static final long RETRY_AFTER_MS = 200;

    /**
     * Returns the error for a request that this entry has not started. An earlier request with the
     * same idempotency key may have run elsewhere, so the verdict of a keyed request is never
     * {@code NOT_RUN}.
     */
    public static Problem refusal(ErrorCode code, String detail, boolean keyed) {
        Verdict verdict = keyed ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
        RetryAdvice advice = code.defaultAdvice();
        if (keyed && (advice == RetryAdvice.RETRY || advice == RetryAdvice.CHECK_BEFORE_RETRY)) {
            advice = RetryAdvice.RETRY_SAME_KEY;
        }
        return new Problem(code, verdict, advice, detail, retryAfter(code));
    }

    /** Returns the error for a request that this entry has started. */
    public static Problem failure(
            ErrorCode code, Verdict verdict, RetryAdvice advice, String detail) {
        return new Problem(code, verdict, advice, detail, retryAfter(code));
    }

    /** Returns this error with another return time, in ms; empty for none. */
    public Problem withRetryAfter(OptionalLong millis) {
        return new Problem(code, verdict, advice, detail, millis);
    }

    private static OptionalLong retryAfter(ErrorCode code) {
        return switch (code) {
            case OVERLOADED, NO_BACKEND, ISOLATED, NOT_CONFIGURED, DRAINING ->
                    OptionalLong.of(RETRY_AFTER_MS);
            default -> OptionalLong.empty();
        };
    }

    /** Returns a complete HTTP response that announces the close of its connection. */
    String httpResponse() {
        String body = json().toString();
        return "HTTP/1.1 "
                + code.httpStatus()
                + " "
                + StatusCodes.getReason(code.httpStatus())
                + "\r\nConnection: close\r\nContent-Type: "
                + CONTENT_TYPE
                + "\r\nContent-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length
                + "\r\n\r\n"
                + body;
    }

    /** Returns the JSON body. */
    public ObjectNode json() {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        String type = code.name().toLowerCase(Locale.ROOT).replace('_', '-');
        json.put("type", "urn:bulrushvale:problem:" + type);
        json.put("title", code.title());
        json.put("status", code.httpStatus());
        json.put("detail", detail);
        json.put("code", code.name());
        json.put("verdict", verdict.name());
        json.put("advice", advice.name());
        retryAfterMs.ifPresent(millis -> json.put("retry_after_ms", millis));
        return json;
    }
}
