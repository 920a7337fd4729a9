package org.bulrushvale.kernel.verdict;

/**
 * Tells a caller what it may do after its request was refused or failed.
 *
 * <p>Invariant: {@link #RETRY} is only given with {@link Verdict#NOT_RUN} or for idempotent
 * requests. Thread safety: immutable.
 */
public enum RetryAdvice {
    /** Send the request again, through any entry. */
    RETRY,
    /** Send the request again with the same idempotency key. */
    RETRY_SAME_KEY,
    /** Check at the service whether the work was done before sending the request again. */
    CHECK_BEFORE_RETRY,
    /** Do not send this request again. */
    DO_NOT_RETRY,
    /** Correct the request first. */
    FIX_REQUEST
}
