package org.bulrushvale.decision.forward;

import java.util.Comparator;

/**
 * Orders in which the groups of a {@link StageQueue} start.
 *
 * <p>Thread safety: stateless.
 */
public enum StageOrder {
    /** Groups that can meet their target by latest start, then late groups by rank. */
    TARGET_FIRST(false) {
        @Override
        Comparator<WaitingGroup> comparator(long nowNanos) {
            return Comparator.comparingInt(
                            (WaitingGroup group) -> group.isLate(nowNanos) ? group.rank() : -1)
                    .thenComparingLong(group -> group.latestStartNanos() - nowNanos)
                    .thenComparing(WaitingGroup::name);
        }
    },

    /**
     * Groups that can meet their target by latest start, so that all meet it while the service is
     * not short; then late groups by rank and last start. Late groups are promoted as in {@link
     * #RANK_FIRST}. With shares of workspaces, the order is that of {@link #RANK_FIRST} while more
     * late pieces wait than one call of every server takes.
     */
    DEADLINE_FIRST(true) {
        @Override
        Comparator<WaitingGroup> comparator(long nowNanos) {
            return Comparator.comparingInt((WaitingGroup group) -> phase(group, nowNanos))
                    .thenComparingInt(group -> group.isLate(nowNanos) ? group.rank() : 0)
                    .thenComparingLong(group -> timeLeft(group, nowNanos) / TIME_STEP_NANOS)
                    .thenComparingInt(group -> group.hasInputs() ? 0 : 1)
                    .thenComparingLong(group -> timeLeft(group, nowNanos))
                    .thenComparing(WaitingGroup::name);
        }

        @Override
        Comparator<WaitingGroup> sharedComparator(long nowNanos) {
            return RANK_FIRST.sharedComparator(nowNanos);
        }

        @Override
        boolean sharesOnlyBesideLateGroups() {
            return true;
        }
    },

    /**
     * Groups that can meet their target by rank and latest start, then late groups by rank and last
     * start. A late group that would miss its last start comes first, within a budget. Groups with
     * inputs come before others of about the same time.
     */
    RANK_FIRST(true) {
        @Override
        Comparator<WaitingGroup> comparator(long nowNanos) {
            return Comparator.comparingInt((WaitingGroup group) -> phase(group, nowNanos))
                    .thenComparingInt(WaitingGroup::rank)
                    .thenComparingLong(group -> timeLeft(group, nowNanos) / TIME_STEP_NANOS)
                    .thenComparingInt(group -> group.hasInputs() ? 0 : 1)
                    .thenComparingLong(group -> timeLeft(group, nowNanos))
                    .thenComparing(WaitingGroup::name);
        }

        @Override
        Comparator<WaitingGroup> sharedComparator(long nowNanos) {
            Comparator<WaitingGroup> alone = comparator(nowNanos);
            Comparator<WaitingGroup> shared =
                    Comparator.comparingInt((WaitingGroup group) -> phase(group, nowNanos))
                            .thenComparingInt(WaitingGroup::rank)
                            .thenComparingDouble(WaitingGroup::virtualStart)
                            .thenComparing(alone);
            return (a, b) -> a.isOfSameWorkspace(b) ? alone.compare(a, b) : shared.compare(a, b);
        }
    };

    // Times within the period in which a queue is checked count as equal.
    private static final long TIME_STEP_NANOS = 50_000_000L;

    private final boolean mServesLateGroups;

    StageOrder(boolean servesLateGroups) {
        mServesLateGroups = servesLateGroups;
    }

    /** Returns the order at a monotonic time. */
    abstract Comparator<WaitingGroup> comparator(long nowNanos);

    /**
     * Returns the order at a monotonic time that compares the groups of different workspaces by
     * their virtual starts before their times.
     */
    Comparator<WaitingGroup> sharedComparator(long nowNanos) {
        return comparator(nowNanos);
    }

    /**
     * Returns true when late groups are promoted, and servers are held for groups that need much
     * memory.
     */
    boolean servesLateGroups() {
        return mServesLateGroups;
    }

    /**
     * Returns true when shares of workspaces apply only while more late pieces wait than one call
     * of every server takes.
     */
    boolean sharesOnlyBesideLateGroups() {
        return false;
    }

    private static int phase(WaitingGroup group, long nowNanos) {
        if (group.isPromoted()) {
            return 0;
        }
        return group.isLate(nowNanos) ? 2 : 1;
    }

    private static long timeLeft(WaitingGroup group, long nowNanos) {
        return (group.isLate(nowNanos) ? group.giveUpNanos() : group.latestStartNanos()) - nowNanos;
    }
}
