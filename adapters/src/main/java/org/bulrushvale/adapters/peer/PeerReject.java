package org.bulrushvale.adapters.peer;

import java.util.Locale;

/**
 * Reasons for which a frame or a peer is rejected and its link closed.
 *
 * <p>Invariant: the tag is part of the metrics interface. Thread safety: immutable.
 */
public enum PeerReject {
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

    PeerReject(boolean frame) {
        mFrame = frame;
    }

    /** Returns true when the fault lies in a frame rather than in the peer. */
    public boolean isFrame() {
        return mFrame;
    }

    /** Returns the value of the {@code reason} tag. */
    public String tag() {
        return name().toLowerCase(Locale.ROOT);
    }
}
