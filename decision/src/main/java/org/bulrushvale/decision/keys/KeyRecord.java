package org.bulrushvale.decision.keys;

import org.jspecify.annotations.Nullable;

/**
 * Record of one presented key in its key space.
 *
 * <p>Invariant: the outcome is null while the request runs and is never {@code NOT_RUN}. Thread
 * safety: immutable.
 *
 * @param sequence number of the key within its space
 * @param issuedMillis issue time of the key, on the clock of the space
 * @param body fingerprint of the request that runs or ran under the key
 * @param outcome outcome of the request, or null while it runs
 */
record KeyRecord(
        long sequence, long issuedMillis, BodyFingerprint body, @Nullable KeyOutcome outcome) {
    KeyRecord withOutcome(KeyOutcome newOutcome) {
        return new KeyRecord(sequence, issuedMillis, body, newOutcome);
    }

    int outputChars() {
        return outcome == null || outcome.output() == null ? 0 : outcome.output().length();
    }
}
