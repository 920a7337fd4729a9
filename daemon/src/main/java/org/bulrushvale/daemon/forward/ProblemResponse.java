package org.bulrushvale.daemon.forward;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.bulrushvale.adapters.caller.Problem;
import org.bulrushvale.adapters.forward.CallerExchange;
import org.bulrushvale.adapters.forward.ForwardProtocol;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;

/**
 * Sends the error answers that the entry itself produces.
 *
 * <p>Thread safety: stateless.
 */
final class ProblemResponse {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private ProblemResponse() {}

    /** Answers a request with a problem body and the status of the error code. */
    static void send(
            CallerExchange caller,
            ForwardProtocol protocol,
            String requestId,
            ErrorCode code,
            Verdict verdict,
            String detail) {
        send(
                caller,
                protocol,
                requestId,
                Problem.failure(code, verdict, code.defaultAdvice(), detail));
    }

    /** Answers a request with a problem. */
    static void send(
            CallerExchange caller, ForwardProtocol protocol, String requestId, Problem problem) {
        HeaderMap headers = new HeaderMap();
        headers.put(Headers.CONTENT_TYPE, Problem.CONTENT_TYPE);
        protocol.addRequestId(requestId, headers);
        problem.retryAfterMs()
                .ifPresent(millis -> headers.put(Headers.RETRY_AFTER, formatSeconds(millis)));
        byte[] body = problem.json().toString().getBytes(StandardCharsets.UTF_8);
        caller.sendResponse(problem.code().httpStatus(), headers, body);
    }

    /**
     * Returns the proposed code if it agrees with the verdict, else one that does: a status that
     * states "not run" is reserved for requests that did not run.
     */
    static ErrorCode codeFor(ErrorCode proposed, Verdict verdict) {
        if (verdict == Verdict.NOT_RUN) {
            return proposed == ErrorCode.DEADLINE_EXCEEDED || proposed == ErrorCode.BACKEND_FAILED
                    ? ErrorCode.OVERLOADED
                    : proposed;
        }
        return proposed == ErrorCode.DEADLINE_EXCEEDED ? proposed : ErrorCode.BACKEND_FAILED;
    }

    private static String formatSeconds(long millis) {
        return String.format(Locale.ROOT, "%.3f", millis / MILLIS_PER_SECOND);
    }
}
