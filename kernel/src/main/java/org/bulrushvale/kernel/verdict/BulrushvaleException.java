package org.bulrushvale.kernel.verdict;

/**
 * Base class of the system's checked exceptions, with an error code, a verdict and a detail for the
 * caller.
 *
 * <p>Invariant: the detail holds no secret and no request body. Thread safety: immutable.
 */
public class BulrushvaleException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ErrorCode mCode;
    private final Verdict mVerdict;

    /** Creates an exception whose detail may be shown to the caller. */
    public BulrushvaleException(ErrorCode code, Verdict verdict, String detail) {
        super(detail);
        mCode = code;
        mVerdict = verdict;
    }

    /** Returns the error code. */
    public final ErrorCode code() {
        return mCode;
    }

    /** Returns whether the request may have run. */
    public final Verdict verdict() {
        return mVerdict;
    }

    /** Returns the detail without the class name. */
    public final String detail() {
        return String.valueOf(getMessage());
    }

    /**
     * Returns what the caller may do next. A retry without a check is advised only for work that
     * did not run or is idempotent.
     */
    public final RetryAdvice advice(boolean idempotent) {
        RetryAdvice advice = mCode.defaultAdvice();
        if (advice == RetryAdvice.RETRY && !idempotent && !mVerdict.isSafeToRepeat()) {
            return RetryAdvice.CHECK_BEFORE_RETRY;
        }
        return advice;
    }
}
