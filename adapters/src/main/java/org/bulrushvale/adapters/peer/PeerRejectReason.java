package org.bulrushvale.adapters.peer;

import java.util.Locale;

/**
 * Reasons why the transport rejects a frame or a peer and closes its link.
 *
 * <p>Invariant: metrics expose the tag, so it must not change. Thread safety: immutable.
 */
public enum PeerRejectReason {
    FRAME_TOO_LONG(true),
    FRAME_MALFORMED(true),
    FRAME_UNEXPECTED(true),
    WRONG_VERSION(false),
    WRONG_FLEET(false),
    WRONG_PROOF(false),
    WRONG_VM(false),
    ADDRESS_NOT_LISTED(false),
    SILENT(false);

    private final boolean mFrame;

    PeerRejectReason(boolean frame) {
        mFrame = frame;
    }

    /** Returns true when a frame is invalid, false when the peer itself is rejected. */
    public boolean isFrame() {
        return mFrame;
    }

    /** Returns the value of the {@code reason} tag in metrics. */
    public String tag() {
        return name().toLowerCase(Locale.ROOT);
    }
}
