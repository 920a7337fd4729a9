package org.bulrushvale.decision.warmup;

/**
 * Limit on the concurrent requests that a warm-up owner may have on a cold server.
 *
 * <p>Invariant: the limit starts at the cold concurrency of the server and grows by one for every
 * two completed requests, up to the slots of the server. Thread safety: single-writer, used by the
 * event loop only.
 */
public final class ConcurrencyRamp {
    private static final int COMPLETIONS_PER_STEP = 2;

    private long mCompleted;

    /** Counts a completed request. */
    public void completed() {
        mCompleted++;
    }

    /** Resets the limit to the cold concurrency of the server. */
    public void restart() {
        mCompleted = 0;
    }

    /**
     * Returns the limit.
     *
     * @param coldConcurrency concurrent requests that the server can run when cold
     * @param slots concurrent requests that the server can run when warm
     */
    public int limit(int coldConcurrency, int slots) {
        return (int)
                Math.min(slots, Math.max(1, coldConcurrency) + mCompleted / COMPLETIONS_PER_STEP);
    }
}
