package org.bulrushvale.decision.config;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;

/**
 * Computes the digest of the values of one revision; entries with the same values get the same
 * digest.
 *
 * <p>Thread safety: stateless.
 */
public final class ConfigDigest {
    private ConfigDigest() {}

    /** Returns the SHA-256 digest of the names and texts, in order of the names, in hexadecimal. */
    public static String of(Map<String, String> values) {
        MessageDigest digest;
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
        new TreeMap<>(values)
                .forEach(
                        (name, text) -> {
                            update(digest, name);
                            update(digest, text);
                        });
        return HexFormat.of().formatHex(digest.digest());
    }

    private static void update(MessageDigest digest, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
        digest.update(bytes);
    }
}
