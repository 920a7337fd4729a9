package org.bulrushvale.adapters.backend;

/**
 * Syntax of the lines and numbers that frame an HTTP message (RFC 9110, section 5; RFC 9112,
 * sections 5 and 7.1). Lines are the bytes of the message as ISO-8859-1, without the line end.
 *
 * <p>Thread safety: stateless.
 */
final class LineSyntax {
    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
    private static final char DELETE = 0x7f;

    // Any number of this many digits fits into a long.
    private static final int MAX_DECIMAL_DIGITS = 18;
    private static final int MAX_HEX_DIGITS = 15;

    private LineSyntax() {}

    /**
     * Checks a field line. A line that begins with white space is rejected, too: it would continue
     * the line before it, a form that servers must not send (RFC 9112, section 5.2).
     */
    static void checkField(String line) throws MalformedResponseException {
        int colon = line.indexOf(':');
        if (colon <= 0) {
            throw new MalformedResponseException("line is not a field");
        }
        for (int i = 0; i < colon; i++) {
            if (!isTokenCharacter(line.charAt(i))) {
                throw new MalformedResponseException("field name contains an invalid character");
            }
        }
        if (!isText(line)) {
            throw new MalformedResponseException("field value contains a control character");
        }
    }

    private static boolean isTokenCharacter(char c) {
        return (c >= 'a' && c <= 'z')
                || (c >= 'A' && c <= 'Z')
                || isDigit(c)
                || TOKEN_SYMBOLS.indexOf(c) >= 0;
    }

    /** Returns true when the text contains no control character other than tabs. */
    static boolean isText(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if ((c < ' ' && c != '\t') || c == DELETE) {
                return false;
            }
        }
        return true;
    }

    static boolean isDigit(char c) {
        return c >= '0' && c <= '9';
    }

    private static boolean isHexDigit(char c) {
        return isDigit(c) || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
    }

    /** Returns the text without the spaces and tabs around it. */
    static String trim(String text) {
        int start = 0;
        int end = text.length();
        while (start < end && isBlank(text.charAt(start))) {
            start++;
        }
        while (end > start && isBlank(text.charAt(end - 1))) {
            end--;
        }
        return text.substring(start, end);
    }

    private static boolean isBlank(char c) {
        return c == ' ' || c == '\t';
    }

    /** Returns the value of a text of digits only; negative for any other text. */
    static long parseDecimal(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (!isDigit(text.charAt(i))) {
                return -1;
            }
        }
        return parseDigits(text, 10, MAX_DECIMAL_DIGITS);
    }

    /** Returns the size that the first line of a chunk states, in bytes. */
    static long parseChunkSize(String line) throws MalformedResponseException {
        int end = 0;
        while (end < line.length() && isHexDigit(line.charAt(end))) {
            end++;
        }
        String extension = trim(line.substring(end));
        long size = parseDigits(line.substring(0, end), 16, MAX_HEX_DIGITS);
        if (size < 0 || !(extension.isEmpty() || extension.startsWith(";")) || !isText(line)) {
            throw new MalformedResponseException("malformed chunk size");
        }
        return size;
    }

    /** Returns the value of digits of the radix; negative when there are none or too many. */
    private static long parseDigits(String digits, int radix, int maxDigits) {
        int start = 0;
        while (start < digits.length() - 1 && digits.charAt(start) == '0') {
            start++;
        }
        String significant = digits.substring(start);
        boolean valid = !significant.isEmpty() && significant.length() <= maxDigits;
        return valid ? Long.parseLong(significant, radix) : -1;
    }
}
