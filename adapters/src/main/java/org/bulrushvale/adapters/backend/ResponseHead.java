package org.bulrushvale.adapters.backend;

import org.jspecify.annotations.Nullable;

/**
 * The status line and the fields of one HTTP/1.1 response, as far as they delimit its body (RFC
 * 9112, sections 4 to 6).
 *
 * <p>Invariant: every line that was accepted is well formed, and the lines do not contradict each
 * other about the length of the body. Thread safety: not safe.
 */
final class ResponseHead {
    private static final long UNKNOWN_LENGTH = -1;
    private static final int MIN_STATUS = 100;
    private static final int MIN_FINAL_STATUS = 200;
    private static final int MAX_STATUS = 599;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    // A status line begins with the version, such as HTTP/1.1, a space and three digits.
    private static final String VERSION_PREFIX = "HTTP/1.";
    private static final int MINOR_VERSION = VERSION_PREFIX.length();
    private static final int STATUS_BEGIN = MINOR_VERSION + 2;
    private static final int STATUS_END = STATUS_BEGIN + 3;

    private final char mMinorVersion;
    private final int mStatus;
    private long mContentLength = UNKNOWN_LENGTH;
    private @Nullable String mTransferEncoding;

    private ResponseHead(char minorVersion, int status) {
        mMinorVersion = minorVersion;
        mStatus = status;
    }

    /** Parses a status line without its line end. */
    static ResponseHead parse(String line) throws MalformedResponseException {
        boolean delimited =
                line.startsWith(VERSION_PREFIX)
                        && line.length() > STATUS_END
                        && line.charAt(STATUS_BEGIN - 1) == ' '
                        && line.charAt(STATUS_END) == ' ';
        if (!delimited
                || !LineSyntax.isDigit(line.charAt(MINOR_VERSION))
                || !LineSyntax.isText(line)) {
            throw new MalformedResponseException("malformed status line");
        }
        long status = LineSyntax.parseDecimal(line.substring(STATUS_BEGIN, STATUS_END));
        if (status < MIN_STATUS || status > MAX_STATUS) {
            throw new MalformedResponseException("status is not in the range of 100 to 599");
        }
        return new ResponseHead(line.charAt(MINOR_VERSION), (int) status);
    }

    /** Adds a field line without its line end. */
    void addField(String line) throws MalformedResponseException {
        LineSyntax.checkField(line);
        int colon = line.indexOf(':');
        String name = line.substring(0, colon);
        if (name.equalsIgnoreCase("Content-Length")) {
            addContentLength(LineSyntax.trim(line.substring(colon + 1)));
        } else if (name.equalsIgnoreCase("Transfer-Encoding")) {
            addTransferEncoding(LineSyntax.trim(line.substring(colon + 1)));
        }
    }

    private void addContentLength(String value) throws MalformedResponseException {
        long length = LineSyntax.parseDecimal(value);
        if (length < 0) {
            throw new MalformedResponseException("Content-Length is not a number of bytes");
        }
        if (mContentLength != UNKNOWN_LENGTH && mContentLength != length) {
            throw new MalformedResponseException("response has two different lengths");
        }
        mContentLength = length;
    }

    private void addTransferEncoding(String value) throws MalformedResponseException {
        // Requests ask for no other encoding.
        if (mTransferEncoding != null || !value.equalsIgnoreCase("chunked")) {
            throw new MalformedResponseException("transfer encoding is not chunked");
        }
        mTransferEncoding = value;
    }

    /**
     * Returns how the body is delimited, after the last field.
     *
     * @param answersHead true for the response to a HEAD request
     */
    BodyFraming framing(boolean answersHead) throws MalformedResponseException {
        if (mTransferEncoding != null
                && (mContentLength != UNKNOWN_LENGTH || mMinorVersion == '0')) {
            throw new MalformedResponseException("transfer encoding contradicts the head");
        }
        if (answersHead
                || mStatus < MIN_FINAL_STATUS
                || mStatus == NO_CONTENT
                || mStatus == NOT_MODIFIED) {
            return BodyFraming.NONE;
        }
        if (mTransferEncoding != null) {
            return BodyFraming.CHUNKED;
        }
        return mContentLength == UNKNOWN_LENGTH ? BodyFraming.UNTIL_CLOSE : BodyFraming.LENGTH;
    }

    /** Returns the length of the body in bytes; used with {@link BodyFraming#LENGTH} only. */
    long contentLength() {
        return mContentLength;
    }

    /**
     * How the body of a response is delimited (RFC 9112, section 6.3).
     *
     * <p>Thread safety: immutable.
     */
    enum BodyFraming {
        /** The response has no body. */
        NONE,
        /** The body has the stated number of bytes. */
        LENGTH,
        /** The body is sent in chunks. */
        CHUNKED,
        /** The body ends when the server closes the connection. */
        UNTIL_CLOSE
    }
}
