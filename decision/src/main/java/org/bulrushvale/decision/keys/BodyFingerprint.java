package org.bulrushvale.decision.keys;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * First 128 bits of the SHA-256 digest of a request: workspace, class and body.
 *
 * <p>Invariant: equal requests have equal fingerprints; different ones differ with overwhelming
 * probability. Thread safety: immutable.
 *
 * @param high first 64 bits of the digest
 * @param low second 64 bits of the digest
 */
public record BodyFingerprint(long high, long low) {
    /** Returns the fingerprint of a request. */
    public static BodyFingerprint of(String workspace, String workClass, byte[] body) {
        MessageDigest digest = sha256();
        update(digest, workspace);
        update(digest, workClass);
        ByteBuffer hash = ByteBuffer.wrap(digest.digest(body));
        return new BodyFingerprint(hash.getLong(), hash.getLong());
    }

    /** Returns the first 64 bits of the SHA-256 digest of a name. */
    static long hashName(String name) {
        return ByteBuffer.wrap(sha256().digest(name.getBytes(StandardCharsets.UTF_8))).getLong();
    }

    private static void update(MessageDigest digest, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        // The length prefix separates the parts, so that different requests differ in digest input.
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
        digest.update(bytes);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError("every Java platform provides SHA-256", e);
        }
    }
}
