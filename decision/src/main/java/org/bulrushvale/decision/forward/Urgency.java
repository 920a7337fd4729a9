package org.bulrushvale.decision.forward;

/**
 * Urgency of a request in the queue of a model server, from 0 for the most urgent to 9.
 *
 * <p>Invariant: a better rank is never less urgent than a worse one; within a rank, a request that
 * can meet its target is more urgent than a late one. Thread safety: stateless.
 */
public final class Urgency {
    // Ten values, two for each rank.
    private static final int LAST_RANK = 4;

    private Urgency() {}

    /**
     * Returns the urgency of a request.
     *
     * @param rank priority rank; 0 is the most important, those above 4 count as 4
     * @param inTime true when the request can still meet its target
     */
    public static int of(int rank, boolean inTime) {
        return 2 * Math.max(0, Math.min(LAST_RANK, rank)) + (inTime ? 0 : 1);
    }
}
