package org.bulrushvale.decision.retry;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;

/**
 * Identifies the content of a request: the first 128 bits of a SHA-256 digest.
 *
 * <p>The digest is cryptographic because a caller who can construct a collision could cause the
 * requests of others to be refused. The workspace is part of the content, so that a workspace can
 * neither detect nor affect the requests of another one.
 *
 * <p>Invariant: equal content has equal fingerprints. Thread safety: immutable.
 *
 * @param high first 64 bits of the digest
 * @param low second 64 bits of the digest
 */
public record ContentFingerprint(long high, long low) {
    /** Limits the work for a long input. */
    public static final int MAX_LINES = 64;

    /** Returns the fingerprint of an input that a workspace sends. */
    public static ContentFingerprint of(String workspace, String input) {
        return of(workspace, "", input.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the fingerprints of the first {@value #MAX_LINES} different lines of an input that a
     * workspace sends: shared instructions and documents recur as whole lines.
     */
    public static List<ContentFingerprint> ofLines(String workspace, String input) {
        return input.lines()
                .map(String::strip)
                .filter(line -> !line.isEmpty())
                .distinct()
                .limit(MAX_LINES)
                .map(line -> of(workspace, "line", line.getBytes(StandardCharsets.UTF_8)))
                .toList();
    }

    /**
     * Returns the fingerprint of a content within a scope.
     *
     * @param scope workspace or service within which equal contents are the same
     * @param kind distinguishes contents of one scope that are not comparable
     */
    public static ContentFingerprint of(String scope, String kind, byte[] content) {
        MessageDigest digest = sha256();
        byte[] name = scope.getBytes(StandardCharsets.UTF_8);
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(name.length).array());
        digest.update(name);
        digest.update(kind.getBytes(StandardCharsets.UTF_8));
        digest.update(content);
        ByteBuffer bytes = ByteBuffer.wrap(digest.digest());
        return new ContentFingerprint(bytes.getLong(), bytes.getLong());
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides SHA-256", e);
        }
    }
}
