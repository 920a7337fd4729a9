package org.bulrushvale.kernel.verdict;

/**
 * The error codes of the system, with their HTTP status, title and default advice.
 *
 * <p>Invariant: codes are part of the interface to callers and are never renamed. Thread safety:
 * immutable.
 */
public enum ErrorCode {
    MALFORMED_REQUEST(400, "Malformed request", RetryAdvice.FIX_REQUEST),
    UNAUTHORIZED(401, "Workspace token missing or wrong", RetryAdvice.FIX_REQUEST),
    FORBIDDEN(403, "Not allowed", RetryAdvice.FIX_REQUEST),
    UNKNOWN_CLASS(404, "Unknown class", RetryAdvice.FIX_REQUEST),
    UNKNOWN_WORKSPACE(404, "Unknown workspace", RetryAdvice.FIX_REQUEST),
    NOT_FOUND(404, "Not found", RetryAdvice.FIX_REQUEST),
    REQUEST_TIMEOUT(408, "Request not received in time", RetryAdvice.RETRY),
    KEY_REQUIRED(400, "Idempotency key required", RetryAdvice.FIX_REQUEST),
    KEY_INVALID(400, "Idempotency key was not issued by this fleet", RetryAdvice.FIX_REQUEST),
    KEY_CONFLICT(409, "Idempotency key used with another body", RetryAdvice.FIX_REQUEST),
    KEY_EXPIRED(410, "Idempotency key expired", RetryAdvice.CHECK_BEFORE_RETRY),
    KEY_HOLDER_LOST(503, "Holder of the idempotency key is gone", RetryAdvice.CHECK_BEFORE_RETRY),
    KEY_HOLDER_UNREACHABLE(
            503, "Holder of the idempotency key unreachable", RetryAdvice.RETRY_SAME_KEY),
    RESULT_NOT_HELD(410, "Request ran but its result is no longer held", RetryAdvice.DO_NOT_RETRY),
    OUTCOME_UNKNOWN(503, "Outcome unknown", RetryAdvice.CHECK_BEFORE_RETRY),
    HEADERS_TOO_LARGE(431, "Headers too large", RetryAdvice.FIX_REQUEST),
    BODY_TOO_LARGE(413, "Body too large", RetryAdvice.FIX_REQUEST),
    DEADLINE_INVALID(400, "Deadline invalid", RetryAdvice.FIX_REQUEST),
    DEADLINE_EXCEEDED(504, "Deadline exceeded", RetryAdvice.RETRY),
    DEADLINE_UNREACHABLE(503, "Deadline cannot be met", RetryAdvice.RETRY),
    OVERLOADED(429, "Overloaded", RetryAdvice.RETRY),
    NO_BACKEND(503, "No backend server available", RetryAdvice.RETRY),
    BACKEND_FAILED(502, "Backend server failed", RetryAdvice.RETRY),
    POISON(422, "Request content crashes backend servers", RetryAdvice.DO_NOT_RETRY),
    QUARANTINED(503, "Request content is held back for crashing servers", RetryAdvice.DO_NOT_RETRY),
    STREAM_NOT_RESUMABLE(503, "No server can go on with the stream", RetryAdvice.DO_NOT_RETRY),
    ISOLATED(503, "Entry is cut off from the fleet", RetryAdvice.RETRY),
    NOT_CONFIGURED(503, "No published configuration yet", RetryAdvice.RETRY),
    DRAINING(503, "Entry is shutting down", RetryAdvice.RETRY),
    CANCELLED(499, "Cancelled by the caller", RetryAdvice.DO_NOT_RETRY),
    CONFIG_INVALID(422, "Configuration invalid", RetryAdvice.FIX_REQUEST),
    PEER_REJECTED(403, "Peer rejected", RetryAdvice.FIX_REQUEST),
    FRAME_INVALID(400, "Peer frame invalid", RetryAdvice.FIX_REQUEST),
    UPSTREAM_UNAVAILABLE(503, "Platform service unavailable", RetryAdvice.RETRY),
    INTERNAL(500, "Internal error", RetryAdvice.CHECK_BEFORE_RETRY);

    private final int mHttpStatus;
    private final String mTitle;
    private final RetryAdvice mAdvice;

    ErrorCode(int httpStatus, String title, RetryAdvice advice) {
        mHttpStatus = httpStatus;
        mTitle = title;
        mAdvice = advice;
    }

    /** Returns the HTTP status code. */
    public int httpStatus() {
        return mHttpStatus;
    }

    /** Returns the title of the problem body. */
    public String title() {
        return mTitle;
    }

    /** Returns the advice given unless the verdict calls for a stricter one. */
    public RetryAdvice defaultAdvice() {
        return mAdvice;
    }
}
