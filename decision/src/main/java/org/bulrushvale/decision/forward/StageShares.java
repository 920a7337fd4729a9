package org.bulrushvale.decision.forward;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import org.bulrushvale.decision.admission.FairShares;
import org.bulrushvale.decision.forward.ServiceSpec.PieceLimits;
import org.bulrushvale.kernel.time.Clock;

/**
 * Assigns to the waiting groups of a {@link StageQueue} the virtual times at which their workspaces
 * let them start.
 *
 * <p>Invariant: while the service is not short of capacity, or without shares, all virtual starts
 * are zero, so that they do not affect any order. Thread safety: not safe; used by the event loop.
 */
final class StageShares {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Optional<FairShares> mShares;
    private final Map<Account, Set<WaitingGroup>> mWaiting = new HashMap<>();
    private boolean mShort;
    private double mSecondsPerPiece;

    StageShares(Optional<FairShares> shares) {
        mShares = shares;
    }

    boolean isOn() {
        return mShares.isPresent();
    }

    /** Records a group that waits from now on. */
    void onGroupAdded(WaitingGroup group) {
        mShares.ifPresent(
                shares -> {
                    shares.addWaiting(group.rank(), group.workspace());
                    mWaiting.computeIfAbsent(Account.of(group), key -> new LinkedHashSet<>())
                            .add(group);
                });
    }

    /** Records a group that does not wait any more. */
    void onGroupRemoved(WaitingGroup group) {
        mShares.ifPresent(
                shares -> {
                    shares.removeWaiting(group.rank(), group.workspace());
                    mWaiting.computeIfPresent(
                            Account.of(group),
                            (key, groups) ->
                                    groups.remove(group) && groups.isEmpty() ? null : groups);
                });
    }

    /** Charges the workspace of a piece that starts in a call of the given number of pieces. */
    void charge(WaitingGroup group, int callPieces, PieceLimits limits) {
        mShares.ifPresent(
                shares ->
                        shares.charge(
                                group.rank(),
                                group.workspace(),
                                secondsPerPiece(callPieces, limits)));
    }

    /** Returns the time of a piece and its part of the call. */
    private static double secondsPerPiece(int callPieces, PieceLimits limits) {
        return Clock.boundedNanos(limits.callTime(callPieces)) / NANOS_PER_SECOND / callPieces;
    }

    /** Returns true while shares apply because the service is short of capacity. */
    boolean isShort() {
        return mShort;
    }

    /** Sets whether the service is short of capacity; returns true when this changes. */
    boolean setShort(boolean isShort, PieceLimits limits) {
        boolean changed = mShort != isShort;
        mShort = isShort;
        mSecondsPerPiece = secondsPerPiece(limits.maxBatch(), limits);
        return changed;
    }

    /**
     * Sets the virtual start of a group among those that wait.
     *
     * @param order order of the groups of a workspace
     */
    void assign(WaitingGroup group, Comparator<WaitingGroup> order) {
        if (!mShort || mShares.isEmpty()) {
            group.setVirtualStart(0);
            return;
        }
        FairShares shares = mShares.get();
        double start = shares.virtualTime(group.rank(), group.workspace());
        for (WaitingGroup other : mWaiting.getOrDefault(Account.of(group), Set.of())) {
            if (order.compare(other, group) < 0) {
                start += advance(shares, other);
            }
        }
        group.setVirtualStart(start);
    }

    /**
     * Sets the virtual starts of all waiting groups.
     *
     * @param order order of the groups of a workspace
     */
    void assign(Collection<WaitingGroup> waiting, Comparator<WaitingGroup> order) {
        List<WaitingGroup> sorted = new ArrayList<>();
        for (WaitingGroup group : waiting) {
            group.setVirtualStart(0);
            sorted.add(group);
        }
        if (!mShort || mShares.isEmpty()) {
            return;
        }
        FairShares shares = mShares.get();
        sorted.sort(order);
        Map<Account, Double> next = new HashMap<>();
        for (WaitingGroup group : sorted) {
            Account account = Account.of(group);
            double start =
                    next.computeIfAbsent(
                            account, key -> shares.virtualTime(key.rank(), key.workspace()));
            group.setVirtualStart(start);
            next.put(account, start + advance(shares, group));
        }
    }

    private double advance(FairShares shares, WaitingGroup group) {
        return shares.advance(group.workspace(), group.pieces() * mSecondsPerPiece);
    }

    /**
     * Orders the workspaces of each rank by virtual starts, in the places that this rank has. The
     * workspace that is furthest above its share then comes last, without an effect on other ranks.
     * The order of the groups of a workspace stays.
     */
    static void orderWithinRanks(List<WaitingGroup> groups) {
        if (groups.stream().allMatch(group -> group.virtualStart() == 0)) {
            return;
        }
        Map<Integer, List<Integer>> placesByRank = new HashMap<>();
        for (int place = 0; place < groups.size(); place++) {
            int rank = groups.get(place).rank();
            placesByRank.computeIfAbsent(rank, key -> new ArrayList<>()).add(place);
        }
        placesByRank.values().forEach(places -> orderWithinPlaces(groups, places));
    }

    private static void orderWithinPlaces(List<WaitingGroup> groups, List<Integer> places) {
        List<WaitingGroup> sorted = new ArrayList<>();
        Map<String, Queue<WaitingGroup>> byWorkspace = new HashMap<>();
        for (int place : places) {
            WaitingGroup group = groups.get(place);
            sorted.add(group);
            byWorkspace.computeIfAbsent(group.workspace(), name -> new ArrayDeque<>()).add(group);
        }
        sorted.sort(Comparator.comparingDouble(WaitingGroup::virtualStart));
        for (int i = 0; i < sorted.size(); i++) {
            Queue<WaitingGroup> ofWorkspace =
                    byWorkspace.getOrDefault(sorted.get(i).workspace(), new ArrayDeque<>());
            groups.set(places.get(i), ofWorkspace.remove());
        }
    }

    /**
     * The account of a workspace at a rank.
     *
     * <p>Thread safety: immutable.
     */
    private record Account(int rank, String workspace) {
        static Account of(WaitingGroup group) {
            return new Account(group.rank(), group.workspace());
        }
    }
}
