package org.bulrushvale.decision.warmup;

/**
 * The concurrent requests that a warm-up owner may have on a cold server.
 *
 * <p>Invariant: starts at the bearable load and grows by one for every two completed requests, up
 * to the slots. Thread safety: single-writer, used by the event loop only.
 */
public final class ConcurrencyRamp {
    private static final int COMPLETIONS_PER_STEP = 2;

    private long mCompleted;

    /** Counts a completed request. */
    public void completed() {
        mCompleted++;
    }

    /** Goes back to the bearable load. */
    public void restart() {
        mCompleted = 0;
    }

    /** Returns the limit for a server of this bearable load and these slots. */
    public int limit(int bearable, int slots) {
        return (int) Math.min(slots, Math.max(1, bearable) + mCompleted / COMPLETIONS_PER_STEP);
    }
}
