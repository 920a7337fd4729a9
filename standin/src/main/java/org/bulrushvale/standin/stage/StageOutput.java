package org.bulrushvale.standin.stage;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Locale;

/**
 * The output of a stage, computed from request id, stage and input only, so that a test can compute
 * the answer that it expects.
 *
 * <pre>{@code
 * StageOutput expected = StageOutput.of(requestId, "generate", input);
 * assertThat(answer).isEqualTo(expected.text(0, 16));
 * }</pre>
 *
 * <p>The first tokens spell the request id, the stage and a digest of the input; the others depend
 * on all three and on the token's index. An answer that belongs to another call, or whose tokens
 * are reordered or missing, therefore differs from the expected one.
 *
 * <p>Invariant: every token has {@link #TOKEN_CHARS} characters. Thread safety: immutable.
 */
public final class StageOutput {
    /** Length of each token's text. */
    public static final int TOKEN_CHARS = 8;

    private static final int DIGEST_BYTES = 8;
    // Increment of the SplitMix64 generator.
    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

    private final String mHeader;
    private final long mSeed;

    private StageOutput(String header, long seed) {
        mHeader = header;
        mSeed = seed;
    }

    /** Returns the output for a stage call. */
    public static StageOutput of(String requestId, String stage, String input) {
        String digest = HexFormat.of().formatHex(sha256(input), 0, DIGEST_BYTES);
        StringBuilder header = new StringBuilder(requestId + "/" + stage + "/" + digest + " ");
        while (header.length() % TOKEN_CHARS != 0) {
            header.append(' ');
        }
        String text = header.toString();
        return new StageOutput(text, ByteBuffer.wrap(sha256(text)).getLong());
    }

    /** Returns the text of one token. */
    public String token(int index) {
        int start = index * TOKEN_CHARS;
        if (start < mHeader.length()) {
            return mHeader.substring(start, start + TOKEN_CHARS);
        }
        long mixed = mSeed + index * GOLDEN_GAMMA;
        mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed ^= mixed >>> 27;
        return String.format(Locale.ROOT, "%07x ", mixed & 0xFFFFFFF);
    }

    /** Returns the text of the tokens from {@code from} (included) to {@code to} (excluded). */
    public String text(int from, int to) {
        StringBuilder text = new StringBuilder();
        for (int index = from; index < to; index++) {
            text.append(token(index));
        }
        return text.toString();
    }

    /** Returns the number of tokens that spell request id, stage and digest. */
    public int headerTokens() {
        return mHeader.length() / TOKEN_CHARS;
    }

    /** Returns the SHA-256 of a text in hexadecimal digits. */
    public static String sha256Hex(String text) {
        return HexFormat.of().formatHex(sha256(text));
    }

    private static byte[] sha256(String text) {
        try {
            return MessageDigest.getInstance("SHA-256")
                    .digest(text.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }
}
