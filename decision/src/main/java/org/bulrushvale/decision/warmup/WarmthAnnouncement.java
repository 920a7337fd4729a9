package org.bulrushvale.decision.warmup;

/**
 * A statement about a server that entries spread by gossip.
 *
 * <p>Invariant: for one server and epoch the higher sequence wins; of two equal ones COLD wins.
 * Thread safety: immutable.
 *
 * @param server name of the server
 * @param epoch epoch that the statement is about
 * @param sequence 0 for a new epoch, then increased by each statement
 * @param warm true for WARM, false for COLD
 */
public record WarmthAnnouncement(String server, String epoch, long sequence, boolean warm) {
    /** Returns true when this statement replaces the other one about the same epoch. */
    public boolean supersedes(WarmthAnnouncement other) {
        return sequence > other.sequence || (sequence == other.sequence && !warm && other.warm);
    }
}
