package org.bulrushvale.decision.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bulrushvale.decision.forward.ServiceSpec.PieceLimits;

/**
 * The groups of the pieces that wait in a {@link StageQueue}.
 *
 * <p>Invariant: a group is present while at least one of its pieces waits. Thread safety: not safe;
 * used by the event loop.
 */
final class StageBacklog {
    private final Map<String, WaitingGroup> mGroups = new LinkedHashMap<>();
    private final PromotionBudget mPromotions = new PromotionBudget();
    private final StageShares mShares;

    StageBacklog(StageShares shares) {
        mShares = shares;
    }

    /**
     * Adds a piece and returns its group.
     *
     * @param order order of the groups of a workspace
     */
    WaitingGroup add(StageQueue.Piece piece, Comparator<WaitingGroup> order) {
        WaitingGroup group = mGroups.get(piece.group());
        if (group == null) {
            group = new WaitingGroup(piece);
            mShares.onGroupAdded(group);
            mShares.assign(group, order);
            mGroups.put(piece.group(), group);
        }
        group.addPiece();
        return group;
    }

    /** Removes a piece that is abandoned or refused. */
    void remove(WaitingGroup group) {
        group.removePiece();
        if (group.pieces() == 0) {
            mGroups.remove(group.name());
            mShares.onGroupRemoved(group);
        }
    }

    /** Removes a piece that starts in a call of the given number of pieces. */
    void start(WaitingGroup group, int callPieces, PieceLimits limits) {
        mShares.charge(group, callPieces, limits);
        mPromotions.recordStarted(group.isPromoted());
        group.markPartlyStarted();
        remove(group);
    }

    boolean contains(String group) {
        return mGroups.containsKey(group);
    }

    Collection<WaitingGroup> groups() {
        return Collections.unmodifiableCollection(mGroups.values());
    }

    /**
     * Promotes the late groups that miss their last start unless they start soon, in the order of
     * their last starts and, at equal rank, of the shares of their workspaces. When the budget does
     * not cover a group, the groups after it are not promoted either; otherwise small groups would
     * use up the budget of large ones.
     *
     * @param soonNanos time within which a group that comes first can expect to start
     */
    void promoteLateGroups(long nowNanos, long soonNanos) {
        List<WaitingGroup> due = new ArrayList<>();
        for (WaitingGroup group : mGroups.values()) {
            group.setPromoted(false);
            if (group.isLate(nowNanos) && group.giveUpNanos() - nowNanos <= soonNanos) {
                due.add(group);
            }
        }
        due.sort(Comparator.comparingLong(group -> group.giveUpNanos() - nowNanos));
        StageShares.orderWithinRanks(due);
        int planned = 0;
        for (WaitingGroup group : due) {
            if (!mPromotions.allows(planned, group.pieces())) {
                return;
            }
            group.setPromoted(true);
            planned += group.pieces();
        }
    }
}
