package org.bulrushvale.decision.membership;

import java.util.Collection;
import java.util.List;

/**
 * Records that the entries of a fleet share without agreement.
 *
 * <p>Invariant: merging the same records in any order, once or more often, has the same effect.
 * Thread safety: not safe; used by the event loop.
 *
 * @param <R> type of the records
 */
public interface SharedRecords<R> {
    /** Returns true when there are no records. */
    boolean isEmpty();

    /** Returns a number that is equal at entries that know the same, whatever their clocks say. */
    long digest();

    /** Returns at most {@code limit} records, the most important ones first. */
    List<R> records(int limit);

    /** Merges records of another entry. */
    Merged<R> merge(Collection<R> records);

    /**
     * Result of merging the records of another entry.
     *
     * <p>Thread safety: immutable.
     *
     * @param changed records that held something new, for further entries
     * @param corrections records that are newer than those of the sender, for the sender
     */
    record Merged<R>(List<R> changed, List<R> corrections) {
        public Merged {
            changed = List.copyOf(changed);
            corrections = List.copyOf(corrections);
        }
    }
}
