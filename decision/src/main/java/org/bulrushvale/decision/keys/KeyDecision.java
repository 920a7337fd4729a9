package org.bulrushvale.decision.keys;

import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * What the holder of a key decides when the key is presented.
 *
 * <p>Invariant: an outcome is present exactly for {@code REPLAY}. Thread safety: immutable.
 *
 * @param kind decision
 * @param outcome recorded outcome to replay
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
        /** Run the request now and report its end with {@link KeyLedger#finish}. */
        RUN(null, null),
        /** The same request is running; answer with its outcome. */
        JOIN(null, null),
        /** The same request has run; answer with the recorded outcome. */
        REPLAY(null, null),
        /** The key belongs to another body. This body never ran under the key. */
        CONFLICT(ErrorCode.KEY_CONFLICT, Verdict.NOT_RUN),
        /** The key is too old to be run, and no record of it is left. */
        EXPIRED(ErrorCode.KEY_EXPIRED, Verdict.MAY_HAVE_RUN),
        /** The earlier run ended without a proof. */
        UNKNOWN_OUTCOME(ErrorCode.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN),
        /** No room for another record; the complete records show that the key has not run. */
        TABLE_FULL(ErrorCode.OVERLOADED, Verdict.NOT_RUN),
        /** The holder prepares a handover; the complete records show that the key has not run. */
        DRAINING(ErrorCode.DRAINING, Verdict.NOT_RUN),
        /** The space has left this process. */
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
