package org.bulrushvale.decision.keys;

import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * Decision of the holder of a key space about a request that presents a key.
 *
 * <p>Invariant: an outcome is present exactly for {@code REPLAY}. Thread safety: immutable.
 *
 * @param kind kind of decision
 * @param outcome recorded outcome to replay, null for other kinds
 */
public record KeyDecision(Kind kind, @Nullable KeyOutcome outcome) {
    static KeyDecision of(Kind kind) {
        return new KeyDecision(kind, null);
    }

    static KeyDecision replay(KeyOutcome outcome) {
        return new KeyDecision(Kind.REPLAY, outcome);
    }

    /**
     * Kinds of decision; refusals carry their error code and verdict.
     *
     * <p>Thread safety: immutable.
     */
    public enum Kind {
        /**
         * The request must run now and its end be recorded with {@link KeyLedger#recordOutcome}.
         */
        RUN(null, null),
        /** The same request is running; the answer is its outcome. */
        JOIN(null, null),
        /** The same request has run; the answer is the recorded outcome. */
        REPLAY(null, null),
        /** The key was used with another body; this body never ran under the key. */
        CONFLICT(ErrorCode.KEY_CONFLICT, Verdict.NOT_RUN),
        /** The key is too old to run, and there is no record of it. */
        EXPIRED(ErrorCode.KEY_EXPIRED, Verdict.MAY_HAVE_RUN),
        /** It is unknown whether the earlier run completed. */
        UNKNOWN_OUTCOME(ErrorCode.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN),
        /**
         * There is no room for another record. The records are complete, so the key has not run.
         */
        TABLE_FULL(ErrorCode.OVERLOADED, Verdict.NOT_RUN),
        /**
         * The holder prepares a handover and runs no further keys. The records are complete, so the
         * key has not run.
         */
        DRAINING(ErrorCode.DRAINING, Verdict.NOT_RUN),
        /** The space was handed over, so this process no longer decides about its keys. */
        NOT_HELD(ErrorCode.KEY_HOLDER_UNREACHABLE, Verdict.MAY_HAVE_RUN);

        private final @Nullable ErrorCode mErrorCode;
        private final @Nullable Verdict mVerdict;

        Kind(@Nullable ErrorCode errorCode, @Nullable Verdict verdict) {
            mErrorCode = errorCode;
            mVerdict = verdict;
        }

        /** Returns the error code of a refusal, null for other decisions. */
        public @Nullable ErrorCode errorCode() {
            return mErrorCode;
        }

        /** Returns the verdict of a refusal, null for other decisions. */
        public @Nullable Verdict verdict() {
            return mVerdict;
        }
    }
}
