package org.bulrushvale.decision.request;

import java.util.Optional;

/**
 * Puts a streamed answer together from the pieces of one or more attempts.
 *
 * <p>Offsets count tokens: the piece at offset {@code n} is the text of token {@code n}, so the
 * token count of the end event shows whether every piece has arrived.
 *
 * <pre>{@code
 * StreamAssembler stream = new StreamAssembler();
 * stream.accept(0, "ice "); // Accepted.DELIVER
 * stream.resumeOffset(); // 1
 * }</pre>
 *
 * <p>Invariant: the delivered text has no gap and no repetition. Thread safety: not safe; owned by
 * the event loop.
 */
public final class StreamAssembler {
    private final StringBuilder mText = new StringBuilder();
    private long mNext;
    private boolean mEnded;

    /**
     * What to do with a piece.
     *
     * <p>Thread safety: immutable.
     */
    public enum Accepted {
        /** The piece is the next one; pass it on. */
        DELIVER,
        /** The piece was delivered before; skip it. */
        SKIP,
        /** A piece is missing, or the stream has ended; close the attempt. */
        REJECT
    }

    /** Takes a piece at an offset. */
    public Accepted accept(long offset, String text) {
        if (mEnded || offset < 0 || offset > mNext) {
            return Accepted.REJECT;
        }
        if (offset < mNext) {
            return Accepted.SKIP;
        }
        mText.append(text);
        mNext++;
        return Accepted.DELIVER;
    }

    /** Returns the offset from which another attempt must continue. */
    public long resumeOffset() {
        return mNext;
    }

    /** Ends the stream; returns the whole text, or empty when the token count does not match. */
    public Optional<String> end(long tokens) {
        if (mEnded || tokens != mNext) {
            return Optional.empty();
        }
        mEnded = true;
        return Optional.of(mText.toString());
    }
}
