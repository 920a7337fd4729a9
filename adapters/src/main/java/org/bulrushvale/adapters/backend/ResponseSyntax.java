package org.bulrushvale.adapters.backend;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * Follows the bytes that a server sends on one connection through its HTTP/1.1 responses, and finds
 * the first byte that makes a response malformed.
 *
 * <p>Invariant: no byte is accepted after a malformed one. Thread safety: used on the I/O thread of
 * the connection only, except {@link #failure}, which may be called from any thread.
 */
public final class ResponseSyntax {
    private static final int INITIAL_LINE_BYTES = 128;

    private final byte[] mInitialLine = new byte[INITIAL_LINE_BYTES];
    private byte[] mLine = mInitialLine;
    private int mLineLength;
    private Part mPart = Part.STATUS_LINE;
    private @Nullable ResponseHead mHead;
    private long mRemainingBytes;
    private boolean mAnswersHead;
    private volatile @Nullable MalformedResponseException mFailure;

    /** Called when a request is sent, with true when it is a HEAD request. */
    void expectResponse(boolean answersHead) {
        mAnswersHead = answersHead;
    }

    /** Returns why the bytes are malformed; null while they are well formed. */
    public @Nullable MalformedResponseException failure() {
        return mFailure;
    }

    /** Returns true while a body is received that ends with the connection. */
    public boolean isUntilClose() {
        return mPart == Part.BODY_UNTIL_CLOSE;
    }

    /**
     * Takes the next bytes of the connection and returns how many of them are well formed.
     *
     * @param bytes buffer with the bytes; its position and limit do not change
     * @param start index of the first byte
     * @param count number of the bytes
     */
    int accept(ByteBuffer bytes, int start, int count) {
        int accepted = 0;
        try {
            while (accepted < count && mFailure == null) {
                if (mPart.isLine()) {
                    addToLine(bytes.get(start + accepted));
                    accepted++;
                } else {
                    accepted += skipBody(count - accepted);
                }
            }
        } catch (MalformedResponseException e) {
            mFailure = e;
        }
        return accepted;
    }

    private int skipBody(int available) {
        if (mPart == Part.BODY_UNTIL_CLOSE) {
            return available;
        }
        int skipped = (int) Math.min(available, mRemainingBytes);
        mRemainingBytes -= skipped;
        if (mRemainingBytes == 0) {
            mPart = mPart == Part.CHUNK ? Part.CHUNK_END : Part.STATUS_LINE;
        }
        return skipped;
    }

    private void addToLine(byte next) throws MalformedResponseException {
        if (next != '\n') {
            if (mLineLength == mLine.length) {
                mLine = Arrays.copyOf(mLine, 2 * mLineLength);
            }
            mLine[mLineLength++] = next;
            return;
        }
        if (mLineLength == 0 || mLine[mLineLength - 1] != '\r') {
            throw new MalformedResponseException("line does not end with CR LF");
        }
        String line = new String(mLine, 0, mLineLength - 1, StandardCharsets.ISO_8859_1);
        mLine = mInitialLine;
        mLineLength = 0;
        endLine(line);
    }

    private void endLine(String line) throws MalformedResponseException {
        switch (mPart) {
            case STATUS_LINE -> {
                mHead = ResponseHead.parse(line);
                mPart = Part.FIELD;
            }
            case FIELD -> endField(line);
            case CHUNK_SIZE -> {
                mRemainingBytes = LineSyntax.parseChunkSize(line);
                mPart = mRemainingBytes == 0 ? Part.TRAILER : Part.CHUNK;
            }
            case CHUNK_END -> {
                if (!line.isEmpty()) {
                    throw new MalformedResponseException("chunk is longer than its size");
                }
                mPart = Part.CHUNK_SIZE;
            }
            case TRAILER -> {
                if (line.isEmpty()) {
                    mPart = Part.STATUS_LINE;
                } else {
                    LineSyntax.checkField(line);
                }
            }
            default -> throw new IllegalStateException("not a line: " + mPart);
        }
    }

    private void endField(String line) throws MalformedResponseException {
        ResponseHead head = mHead;
        if (head == null) {
            throw new IllegalStateException("field without a status line");
        }
        if (!line.isEmpty()) {
            head.addField(line);
            return;
        }
        mHead = null;
        mPart =
                switch (head.framing(mAnswersHead)) {
                    case NONE -> Part.STATUS_LINE;
                    case LENGTH -> head.contentLength() == 0 ? Part.STATUS_LINE : Part.BODY;
                    case CHUNKED -> Part.CHUNK_SIZE;
                    case UNTIL_CLOSE -> Part.BODY_UNTIL_CLOSE;
                };
        mRemainingBytes = mPart == Part.BODY ? head.contentLength() : 0;
    }

    /**
     * The part of a response that the next byte belongs to.
     *
     * <p>Thread safety: immutable.
     */
    private enum Part {
        STATUS_LINE,
        FIELD,
        BODY,
        BODY_UNTIL_CLOSE,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER;

        boolean isLine() {
            return this != BODY && this != BODY_UNTIL_CLOSE && this != CHUNK;
        }
    }
}
