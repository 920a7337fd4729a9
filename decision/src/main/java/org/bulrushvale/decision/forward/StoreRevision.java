package org.bulrushvale.decision.forward;

import java.util.Comparator;

/**
 * A revision of the store. After a restore from a copy the store gives revision numbers out again;
 * the era, which rises with each restore, tells them apart.
 *
 * <p>Invariant: revisions are ordered by era first. Thread safety: immutable.
 *
 * @param era number of the era; 0 for a store that states none
 * @param number revision within the era
 */
public record StoreRevision(long era, long number) implements Comparable<StoreRevision> {
    /** Precedes every revision of a store. */
    public static final StoreRevision NONE = new StoreRevision(-1, -1);

    private static final Comparator<StoreRevision> ORDER =
            Comparator.comparingLong(StoreRevision::era).thenComparingLong(StoreRevision::number);

    /** Returns true for the revision of a store. */
    public boolean isKnown() {
        return number >= 0;
    }

    /** Returns true when the store was restored between an earlier revision and this one. */
    public boolean isRestoredSince(StoreRevision earlier) {
        return earlier.isKnown() && era > earlier.era;
    }

    /** Returns the later one of two revisions. */
    public static StoreRevision later(StoreRevision a, StoreRevision b) {
        return a.compareTo(b) >= 0 ? a : b;
    }

    @Override
    public int compareTo(StoreRevision other) {
        return ORDER.compare(this, other);
    }
}
