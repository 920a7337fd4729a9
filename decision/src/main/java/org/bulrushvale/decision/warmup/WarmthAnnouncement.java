package org.bulrushvale.decision.warmup;

/**
 * Announcement that a server is warm or cold, spread among the entries by gossip.
 *
 * <p>Invariant: for one server and epoch the higher sequence wins; at equal sequences COLD wins.
 * Thread safety: immutable.
 *
 * @param server name of the server
 * @param epoch epoch of the server that the announcement is about
 * @param sequence 0 for a new epoch, increased by each later announcement
 * @param warm true when the server is announced as WARM, false for COLD
 */
public record WarmthAnnouncement(String server, String epoch, long sequence, boolean warm) {
    /** Returns true when this announcement replaces the other one about the same epoch. */
    public boolean supersedes(WarmthAnnouncement other) {
        return sequence > other.sequence || (sequence == other.sequence && !warm && other.warm);
    }
}
