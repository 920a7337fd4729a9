package org.bulrushvale.decision.retry;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Identifies the content of a request: the first 128 bits of a SHA-256 digest.
 *
 * <p>A cryptographic digest is used because a caller who could construct a collision could have the
 * requests of others refused. The workspace is part of the content, so that no workspace learns or
 * affects what another one sends.
 *
 * <p>Invariant: equal content has equal fingerprints. Thread safety: immutable.
 *
 * @param high first 64 bits
 * @param low next 64 bits
 */
public record ContentFingerprint(long high, long low) {
    /** Returns the fingerprint of an input of a workspace. */
    public static ContentFingerprint of(String workspace, String input) {
        MessageDigest digest = sha256();
        byte[] name = workspace.getBytes(StandardCharsets.UTF_8);
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(name.length).array());
        digest.update(name);
        digest.update(input.getBytes(StandardCharsets.UTF_8));
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
