package org.bulrushvale.decision.retry;

import java.util.Set;

/**
 * What one entry knows about a suspected or convicted content, as peers exchange it.
 *
 * <p>Invariant: crash names are {@code server/epoch}, so that two entries name one crash equally.
 * Thread safety: immutable.
 *
 * @param fingerprint the content
 * @param strikes crashes with the content in flight
 * @param cleared strikes that a later completion has refuted
 * @param convicted true when the content is refused
 * @param ageMs time since the last strike
 */
public record PoisonRecord(
        Fingerprint fingerprint,
        Set<String> strikes,
        Set<String> cleared,
        boolean convicted,
        long ageMs) {
    public PoisonRecord {
        strikes = Set.copyOf(strikes);
        cleared = Set.copyOf(cleared);
    }
}
