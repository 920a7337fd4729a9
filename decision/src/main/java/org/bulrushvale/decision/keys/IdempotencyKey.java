package org.bulrushvale.decision.keys;

import java.util.HexFormat;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;

/**
 * An idempotency key issued by this fleet.
 *
 * <p>Text form: {@code v1.<incarnation>.<sequence>.<issued ms>.<workspace hash>.<class
 * hash>.<HMAC>} with 16 hexadecimal digits for the incarnation and the hashes, decimals for the
 * sequence and the issue time, and base64url without padding for the HMAC.
 *
 * <pre>{@code
 * IdempotencyKey key = IdempotencyKey.parse(header, secret, "granite", "seat-booking");
 * }</pre>
 *
 * <p>Invariants: an instance from {@link #parse} has a valid HMAC; the pair of incarnation and
 * sequence is unique in the fleet. Thread safety: immutable.
 *
 * @param incarnation process that issued the key
 * @param sequence number of the key within its incarnation
 * @param issuedMillis issue time in milliseconds, on the clock of the key space
 * @param workspaceHash hash of the workspace that the key is bound to
 * @param classHash hash of the class that the key is bound to
 * @param signature HMAC over all other parts
 */
public record IdempotencyKey(
        long incarnation,
        long sequence,
        long issuedMillis,
        long workspaceHash,
        long classHash,
        String signature) {
    /** Maximum length of the text form, in characters. */
    public static final int MAX_LENGTH = 160;

    private static final String HEX = "([0-9a-f]{16})";
    private static final String DECIMAL = "(0|[1-9][0-9]{0,17})";
    private static final Pattern FORMAT =
            Pattern.compile(
                    "(v1\\."
                            + HEX
                            + "\\."
                            + DECIMAL
                            + "\\."
                            + DECIMAL
                            + "\\."
                            + HEX
                            + "\\."
                            + HEX
                            + ")\\.([A-Za-z0-9_-]{43})");

    /**
     * Parses a key, verifies its HMAC in constant time, and checks that the key is bound to the
     * given workspace and class.
     *
     * @throws BulrushvaleException with {@code KEY_INVALID} and {@code NOT_RUN}, because the fleet
     *     never issued this key for this workspace and class, so nothing ran under it
     */
    public static IdempotencyKey parse(
            String text, KeySecret secret, String workspace, String workClass)
            throws BulrushvaleException {
        IdempotencyKey key = parseAuthentic(text, secret);
        if (key.workspaceHash != BodyFingerprint.hashName(workspace)
                || key.classHash != BodyFingerprint.hashName(workClass)) {
            throw invalid("key was issued for another workspace or class");
        }
        return key;
    }

    static IdempotencyKey issue(
            long incarnation,
            long sequence,
            long issuedMillis,
            String workspace,
            String workClass,
            KeySecret secret) {
        long workspaceHash = BodyFingerprint.hashName(workspace);
        long classHash = BodyFingerprint.hashName(workClass);
        String signed = signedPart(incarnation, sequence, issuedMillis, workspaceHash, classHash);
        return new IdempotencyKey(
                incarnation, sequence, issuedMillis, workspaceHash, classHash, secret.sign(signed));
    }

    private static IdempotencyKey parseAuthentic(String text, KeySecret secret)
            throws BulrushvaleException {
        if (text.length() > MAX_LENGTH) {
            throw invalid("key is longer than 160 characters");
        }
        Matcher matcher = FORMAT.matcher(text);
        if (!matcher.matches()) {
            throw invalid("key does not have the form of an idempotency key");
        }
        if (!secret.verify(matcher.group(1), matcher.group(7))) {
            throw invalid("signature of the key is not from this fleet");
        }
        return new IdempotencyKey(
                HexFormat.fromHexDigitsToLong(matcher.group(2)),
                Long.parseLong(matcher.group(3)),
                Long.parseLong(matcher.group(4)),
                HexFormat.fromHexDigitsToLong(matcher.group(5)),
                HexFormat.fromHexDigitsToLong(matcher.group(6)),
                matcher.group(7));
    }

    private static BulrushvaleException invalid(String detail) {
        return new BulrushvaleException(ErrorCode.KEY_INVALID, Verdict.NOT_RUN, detail);
    }

    private static String signedPart(
            long incarnation, long sequence, long issuedMillis, long workspace, long workClass) {
        HexFormat hex = HexFormat.of();
        return "v1."
                + hex.toHexDigits(incarnation)
                + '.'
                + sequence
                + '.'
                + issuedMillis
                + '.'
                + hex.toHexDigits(workspace)
                + '.'
                + hex.toHexDigits(workClass);
    }

    /** Returns the text form. */
    @Override
    public String toString() {
        return signedPart(incarnation, sequence, issuedMillis, workspaceHash, classHash)
                + '.'
                + signature;
    }
}
