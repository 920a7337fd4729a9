package org.bulrushvale.kernel.verdict;

/**
 * What a caller may do after a refusal.
 *
 * <p>Invariant: {@link #RETRY} is only given with {@link Verdict#NOT_RUN} or for idempotent
 * requests. Thread safety: immutable.
 */
public enum RetryAdvice {
    /** Send the request again, through any entry. */
    RETRY,
    /** Send the request again with the same idempotency key. */
    RETRY_SAME_KEY,
    /** Find out at the service whether the work was done before asking again. */
    CHECK_BEFORE_RETRY,
    /** Do not send this request again. */
    DO_NOT_RETRY,
    /** Correct the request first. */
    FIX_REQUEST
}
