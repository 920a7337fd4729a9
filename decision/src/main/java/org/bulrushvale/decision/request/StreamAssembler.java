package org.bulrushvale.decision.request;

import java.util.Optional;

/**
 * Assembles a streamed answer from the chunks of one or more attempts.
 *
 * <p>Offsets count tokens: the chunk at offset {@code n} is the text of token {@code n}, so the
 * token count of the end event shows whether every chunk has arrived.
 *
 * <pre>{@code
 * StreamAssembler stream = new StreamAssembler();
 * stream.accept(0, "ice "); // ChunkAction.DELIVER
 * stream.resumeOffset(); // 1
 * }</pre>
 *
 * <p>Invariant: the delivered text has no gap and no repetition. Thread safety: not safe; owned by
 * the event loop.
 */
public final class StreamAssembler {
    private final StringBuilder mText = new StringBuilder();
    private long mNextOffset;
    private boolean mEnded;

    /**
     * What to do with a chunk.
     *
     * <p>Thread safety: immutable.
     */
    public enum ChunkAction {
        /** The chunk is the next one; pass it on. */
        DELIVER,
        /** The chunk was delivered before; skip it. */
        SKIP,
        /** An earlier chunk is missing, or the stream has ended; fail the attempt. */
        REJECT
    }

    /** Adds the chunk at an offset if it is the next one. */
    public ChunkAction accept(long offset, String text) {
        if (mEnded || offset < 0 || offset > mNextOffset) {
            return ChunkAction.REJECT;
        }
        if (offset < mNextOffset) {
            return ChunkAction.SKIP;
        }
        mText.append(text);
        mNextOffset++;
        return ChunkAction.DELIVER;
    }

    /** Returns the offset of the next chunk, from which another attempt must continue. */
    public long resumeOffset() {
        return mNextOffset;
    }

    /** Ends the stream; returns the whole text, or empty when the token count does not match. */
    public Optional<String> end(long tokens) {
        if (mEnded || tokens != mNextOffset) {
            return Optional.empty();
        }
        mEnded = true;
        return Optional.of(mText.toString());
    }
}
