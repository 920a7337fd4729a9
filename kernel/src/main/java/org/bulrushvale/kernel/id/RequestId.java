package org.bulrushvale.kernel.id;

import java.util.HexFormat;
import java.util.Locale;
import java.util.Objects;
import java.util.SplittableRandom;

/**
 * Identifies one request: 128 random bits.
 *
 * <p>Invariant: two requests of a fleet share an id with negligible probability. Thread safety:
 * immutable.
 */
public record RequestId(long high, long low) {
    private static final int HEX_DIGITS = 32;

    /** Returns a new id from the given source of random numbers. */
    public static RequestId random(SplittableRandom random) {
        return new RequestId(random.nextLong(), random.nextLong());
    }

    /** Parses the 32 hexadecimal digits that {@link #toString()} writes. */
    public static RequestId parse(String text) {
        Objects.requireNonNull(text, "text");
        if (text.length() != HEX_DIGITS) {
            throw new IllegalArgumentException("a request id must have 32 hexadecimal digits");
        }
        long high = HexFormat.fromHexDigitsToLong(text, 0, HEX_DIGITS / 2);
        long low = HexFormat.fromHexDigitsToLong(text, HEX_DIGITS / 2, HEX_DIGITS);
        return new RequestId(high, low);
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%016x%016x", high, low);
    }
}
