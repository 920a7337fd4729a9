package org.bulrushvale.decision.keys;

import java.time.Duration;

/**
 * Issues the keys of this process's own incarnation.
 *
 * <p>Invariant: no sequence number is issued twice. Thread safety: not safe; owned by the event
 * loop.
 */
public final class KeyIssuer {
    private final long mIncarnation;
    private final KeySecret mSecret;
    private final SpaceClock mSpaceClock;
    private long mNextSequence;

    KeyIssuer(long incarnation, KeySecret secret, SpaceClock spaceClock) {
        mIncarnation = incarnation;
        mSecret = secret;
        mSpaceClock = spaceClock;
    }

    /** Issues a new key bound to a workspace and a class. */
    public IdempotencyKey issue(String workspace, String workClass) {
        return IdempotencyKey.issue(
                mIncarnation,
                mNextSequence++,
                mSpaceClock.nowMillis(),
                workspace,
                workClass,
                mSecret);
    }

    /** Returns how long after its issue a key can first be used. */
    public Duration lifetime() {
        return KeyLedger.FIRST_RUN_WINDOW;
    }
}
