package org.bulrushvale.decision.request;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counts dropped results by kind, over all requests of a process.
 *
 * <p>Invariant: counts never decrease. Thread safety: not safe; owned by the event loop.
 */
public final class DropCounts {
    private final Map<DropKind, Long> mCounts = new EnumMap<>(DropKind.class);

    /** Counts one dropped result. */
    void add(DropKind kind) {
        mCounts.merge(kind, 1L, Long::sum);
    }

    /** Returns the number of dropped results of a kind. */
    public long count(DropKind kind) {
        return mCounts.getOrDefault(kind, 0L);
    }
}
