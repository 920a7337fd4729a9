package org.bulrushvale.systemtests.harness;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Computes digests in the form that the ledger of the plain service uses.
 *
 * <p>Thread safety: stateless.
 */
public final class Digests {
    private Digests() {}

    /** Returns the SHA-256 of a text in hexadecimal digits. */
    public static String sha256(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }
}
