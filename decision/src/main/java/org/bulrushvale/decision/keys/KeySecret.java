package org.bulrushvale.decision.keys;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Base64;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Shared secret of the fleet, which signs idempotency keys with HMAC-SHA256.
 *
 * <p>Invariant: no method returns or prints the secret. Thread safety: immutable.
 */
public final class KeySecret {
    private static final int MIN_BYTES = 16;
    private static final String ALGORITHM = "HmacSHA256";
    // Prefix of the signed text, so that other uses of the shared secret yield no key signatures.
    private static final String DOMAIN = "bulrushvale-key:";

    private final SecretKeySpec mKey;

    private KeySecret(byte[] secret) {
        mKey = new SecretKeySpec(secret, ALGORITHM);
    }

    /** Returns the key secret for a shared secret of at least 16 bytes. */
    public static KeySecret of(byte[] secret) {
        if (secret.length < MIN_BYTES) {
            throw new IllegalArgumentException("shared secret has fewer than 16 bytes");
        }
        return new KeySecret(secret);
    }

    String sign(String text) {
        byte[] mac = mac(text);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(mac);
    }

    boolean verify(String text, String signature) {
        byte[] expected = sign(text).getBytes(StandardCharsets.US_ASCII);
        return MessageDigest.isEqual(expected, signature.getBytes(StandardCharsets.UTF_8));
    }

    private byte[] mac(String text) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(mKey);
            return mac.doFinal((DOMAIN + text).getBytes(StandardCharsets.UTF_8));
        } catch (GeneralSecurityException e) {
            throw new AssertionError("every Java platform provides " + ALGORITHM, e);
        }
    }

    @Override
    public String toString() {
        return "KeySecret";
    }
}
