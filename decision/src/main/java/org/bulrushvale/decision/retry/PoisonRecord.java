package org.bulrushvale.decision.retry;

import java.util.Set;

/**
 * What one entry knows about a suspected or convicted content, as peers exchange it.
 *
 * <p>Invariant: crash names are {@code server/epoch}, so that two entries name one crash equally.
 * Thread safety: immutable.
 *
 * @param fingerprint the content
 * @param crashes crashes with the content in flight
 * @param clearedCrashes strikes that a later completion has refuted
 * @param confirmedPoison true when the content is refused
 * @param ageMs time since the last strike
 */
public record PoisonRecord(
        ContentFingerprint fingerprint,
        Set<String> crashes,
        Set<String> clearedCrashes,
        boolean confirmedPoison,
        long ageMs) {
    public PoisonRecord {
        crashes = Set.copyOf(crashes);
        clearedCrashes = Set.copyOf(clearedCrashes);
    }
}
