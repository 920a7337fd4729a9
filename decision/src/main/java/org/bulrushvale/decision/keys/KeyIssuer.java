package org.bulrushvale.decision.keys;

import java.time.Duration;

/**
 * Issues the idempotency keys of this process, in its own key space.
 *
 * <p>Invariant: no sequence number is issued twice. Thread safety: not safe; owned by the event
 * loop.
 */
public final class KeyIssuer {
    private final long mIncarnation;
    private final KeySecret mSecret;
    private final KeySpaceClock mKeySpaceClock;
    private long mNextSequence;

    KeyIssuer(long incarnation, KeySecret secret, KeySpaceClock spaceClock) {
        mIncarnation = incarnation;
        mSecret = secret;
        mKeySpaceClock = spaceClock;
    }

    /** Issues a new key bound to a workspace and a class. */
    public IdempotencyKey issue(String workspace, String workClass) {
        return IdempotencyKey.issue(
                mIncarnation,
                mNextSequence++,
                mKeySpaceClock.nowMillis(),
                workspace,
                workClass,
                mSecret);
    }

    /** Returns the time after its issue within which a key must first be used. */
    public Duration firstUseWindow() {
        return KeyLedger.FIRST_RUN_WINDOW;
    }
}
