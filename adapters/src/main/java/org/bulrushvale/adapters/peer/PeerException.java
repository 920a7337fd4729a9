package org.bulrushvale.adapters.peer;

import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * A failure in the communication with a peer. The verdict tells whether the peer may have received
 * the message.
 *
 * <p>Invariant: the reason is present exactly when a frame or peer was rejected. Thread safety:
 * immutable.
 */
public final class PeerException extends BulrushvaleException {
    private static final long serialVersionUID = 1L;

    private final @Nullable PeerRejectReason mReason;

    private PeerException(
            ErrorCode code, Verdict verdict, String detail, @Nullable PeerRejectReason reason) {
        super(code, verdict, detail);
        mReason = reason;
    }

    static PeerException rejected(PeerRejectReason reason, String detail) {
        ErrorCode code = reason.isFrame() ? ErrorCode.FRAME_INVALID : ErrorCode.PEER_REJECTED;
        return new PeerException(code, Verdict.NOT_RUN, detail, reason);
    }

    static PeerException undelivered(String detail) {
        return new PeerException(ErrorCode.KEY_HOLDER_UNREACHABLE, Verdict.NOT_RUN, detail, null);
    }

    static PeerException unanswered(String detail) {
        return new PeerException(
                ErrorCode.KEY_HOLDER_UNREACHABLE, Verdict.MAY_HAVE_RUN, detail, null);
    }

    static PeerException bindFailed(String detail) {
        return new PeerException(ErrorCode.INTERNAL, Verdict.NOT_RUN, detail, null);
    }

    /** Returns why a frame or peer was rejected, or null for other failures. */
    public @Nullable PeerRejectReason reason() {
        return mReason;
    }
}
