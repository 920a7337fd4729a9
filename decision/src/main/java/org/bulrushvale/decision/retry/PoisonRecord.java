package org.bulrushvale.decision.retry;

import java.util.Set;

/**
 * State of a suspect or confirmed poison content on one entry, as peers exchange it.
 *
 * <p>Invariant: a crash is identified by {@code server/epoch}, the name of the server and the epoch
 * of the process that crashed, so all entries use the same name for the same crash. Thread safety:
 * immutable.
 *
 * @param fingerprint fingerprint of the content
 * @param crashes crashes of servers that had the content in flight
 * @param clearedCrashes crashes after which the content completed, so that it is not their cause
 * @param confirmedPoison true when the content is confirmed as poison and refused
 * @param ageMs milliseconds since the last of these crashes
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
