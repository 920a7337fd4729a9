package org.bulrushvale.decision.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.bulrushvale.decision.admission.FairShares;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.decision.forward.ServiceSpec.PieceLimits;
import org.bulrushvale.kernel.time.Clock;

/**
 * Queue of the pieces that wait for one stage service, from which calls with batches are formed.
 *
 * <p>A call is formed as soon as a server has a free slot, so that no piece waits for a timer and
 * batches grow with the load. It takes the groups in a {@link StageOrder}; late groups come after
 * those that can meet their target, so that an overload does not make all requests late. A piece
 * goes to the failure domain of its inputs unless it has waited long. Memory for a result is
 * reserved until the result is released or its lifetime has ended.
 *
 * <p>Invariant: each piece is in at most one call at a time; a server never has more calls than
 * slots, nor more reserved memory than it has. Thread safety: not safe; used by the event loop.
 *
 * @param <P> type of the pieces
 */
public final class StageQueue<P extends StageQueue.Piece> {
    // About the time of one stage call (200 ms plus its pieces), after which a busy server of the
    // domain is free again.
    private static final long DOMAIN_WAIT_NANOS = 250_000_000L;

    // Results for which this queue did not reserve memory are assumed to be released within the
    // lifetime divided by this number, because most are released well before its end.
    private static final int FOREIGN_LIFETIME_DIVISOR = 5;

    // Until releases were seen, the reader of a result is assumed to need it for this time.
    private static final double USUAL_READ_NANOS = 400e6;

    // Ratio of actual to expected time from which a server counts as slow.
    private static final double MIN_SLOW_RATIO = 2.0;

    private final Clock mClock;
    private final long mResultLifetimeNanos;
    private final List<QueuedPiece<P>> mQueued = new ArrayList<>();
    private final NavigableMap<Long, Integer> mQueuedByResultBytes = new TreeMap<>();
    private final Map<String, Integer> mRunningCalls = new HashMap<>();
    private final Map<String, ReservedMemory> mReservations = new HashMap<>();
    private final Map<String, ForeignMemory> mForeignMemory = new HashMap<>();
    private final StageOrder mOrder;
    private final StageShares mShares;
    private final StageBacklog mBacklog;
    private final ServerHolds mHolds = new ServerHolds();
    private final MovingAverage mHeldNanos = new MovingAverage();
    private long mLastCallEndNanos;

    /**
     * Creates an empty queue with the order {@link StageOrder#TARGET_FIRST}.
     *
     * @param resultLifetimeNanos time after which a server drops a result by itself
     */
    public StageQueue(Clock clock, long resultLifetimeNanos) {
        this(clock, resultLifetimeNanos, StageOrder.TARGET_FIRST);
    }

    /**
     * Creates an empty queue.
     *
     * @param resultLifetimeNanos time after which a server drops a result by itself
     */
    public StageQueue(Clock clock, long resultLifetimeNanos, StageOrder order) {
        this(clock, resultLifetimeNanos, order, Optional.empty());
    }

    /**
     * Creates an empty queue.
     *
     * @param resultLifetimeNanos time after which a server drops a result by itself
     * @param shares accounts of the workspaces, which order the groups of a rank while more groups
     *     wait than can start at once; only {@link StageOrder#RANK_FIRST} uses them
     */
    public StageQueue(
            Clock clock, long resultLifetimeNanos, StageOrder order, Optional<FairShares> shares) {
        mShares = new StageShares(shares.filter(given -> order.servesLateGroups()));
        mBacklog = new StageBacklog(mShares);
        mClock = clock;
        mResultLifetimeNanos = resultLifetimeNanos;
        mOrder = order;
        mLastCallEndNanos = clock.monotonicNanos();
    }

    /** Adds a piece to the queue. */
    public void add(P piece) {
        long now = mClock.monotonicNanos();
        mQueued.add(new QueuedPiece<>(piece, now, mBacklog.add(piece, mOrder.comparator(now))));
        mQueuedByResultBytes.merge(piece.resultBytes(), 1, Integer::sum);
    }

    /** Adds a piece whose call failed; its group is not refused any more. */
    public void addAgain(P piece) {
        add(piece);
        mQueued.get(mQueued.size() - 1).group().markPartlyStarted();
    }

    /** Returns the number of waiting pieces. */
    public int waitingCount() {
        return mQueued.size();
    }

    /** Removes and returns the pieces that are abandoned or have waited as long as they may. */
    public List<P> removeExpired() {
        return removeExpired(mClock.monotonicNanos());
    }

    /**
     * Removes and returns the pieces that are abandoned or may not wait until a time.
     *
     * @param earliestStartNanos monotonic time before which no piece can start
     */
    public List<P> removeExpired(long earliestStartNanos) {
        return remove(
                piece -> piece.isAbandoned() || piece.giveUpNanos() - earliestStartNanos <= 0);
    }

    /** Removes and returns the waiting pieces that match, without a start. */
    List<P> remove(Predicate<P> match) {
        List<P> removed = new ArrayList<>();
        mQueued.removeIf(
                queued -> {
                    if (!match.test(queued.piece())) {
                        return false;
                    }
                    onRemoved(queued.piece());
                    mBacklog.remove(queued.group());
                    removed.add(queued.piece());
                    return true;
                });
        return removed;
    }

    /** Returns the waiting groups. */
    Collection<WaitingGroup> groups() {
        return mBacklog.groups();
    }

    /** Sets the virtual start of a group that does not wait yet. */
    void assignShare(WaitingGroup group) {
        mShares.assign(group, mOrder.comparator(mClock.monotonicNanos()));
    }

    /** Sets the virtual starts of the waiting groups. */
    void assignShares(long nowNanos) {
        if (mShares.isOn()) {
            mShares.assign(mBacklog.groups(), mOrder.comparator(nowNanos));
        }
    }

    /** Returns the order of the groups at a monotonic time. */
    Comparator<WaitingGroup> order(long nowNanos) {
        return mShares.isShort() ? mOrder.sharedComparator(nowNanos) : mOrder.comparator(nowNanos);
    }

    /** Returns the capacity of the servers that can be used now. */
    StageCapacity capacity(List<Server> servers, PieceLimits limits) {
        long now = mClock.monotonicNanos();
        StageCapacity.Builder capacity = StageCapacity.builder(limits, meanHeldNanos(limits));
        for (Server server : servers) {
            if (!server.isSuspect(now)) {
                capacity.add(
                        server.slowdown(now),
                        hasFreeSlot(server, limits),
                        freeBytes(server, limits, now));
            }
        }
        return capacity.build();
    }

    /** Returns the mean time for which a result occupies memory, from the start of its call. */
    private double meanHeldNanos(PieceLimits limits) {
        long callNanos = Clock.boundedNanos(limits.typicalCallTime());
        return Math.max(callNanos, mHeldNanos.valueOr(callNanos + USUAL_READ_NANOS));
    }

    /** Forms the calls that can start now and counts them as running. */
    public List<Call<P>> nextCalls(List<Server> servers, PieceLimits limits) {
        return nextCalls(servers, limits, server -> Integer.MAX_VALUE);
    }

    /**
     * Forms the calls that can start now and counts them as running.
     *
     * @param permits returns the number of calls that may be sent to a server now
     */
    public List<Call<P>> nextCalls(
            List<Server> servers, PieceLimits limits, ToIntFunction<Server> permits) {
        List<Call<P>> calls = new ArrayList<>();
        long now = mClock.monotonicNanos();
        List<Server> usable = mQueued.isEmpty() ? List.of() : usableServers(servers, now, limits);
        // Sorting a long queue each time that a piece arrives would cost more than all calls.
        if (mOrder.servesLateGroups()) {
            Set<String> ids = new HashSet<>();
            usable.forEach(server -> ids.add(server.published().id()));
            mHolds.retain(mBacklog::contains, ids);
        }
        if (mShares.isOn()) {
            boolean changed = mShares.setShort(isShort(usable, limits, now), limits);
            if (changed) {
                assignShares(now);
            }
        }
        if (usable.stream().noneMatch(server -> canTakePieces(server, limits, now))) {
            return calls;
        }
        sortQueue(now, limits);
        Set<String> domains = new HashSet<>();
        usable.forEach(server -> domains.add(server.published().domain()));
        for (Server server : usable) {
            int permitted = hasFreeSlot(server, limits) ? permits.applyAsInt(server) : 0;
            while (hasFreeSlot(server, limits) && permitted-- > 0) {
                List<QueuedPiece<P>> batch = takeBatch(server, limits, domains, now);
                if (batch.isEmpty()) {
                    break;
                }
                mRunningCalls.merge(server.published().id(), 1, Integer::sum);
                calls.add(newCall(server, batch));
            }
        }
        return calls;
    }

    /**
     * Returns true when more groups wait than can start at once and, for an order by deadline, more
     * late pieces than one call of every server takes: late work that the next calls work off does
     * not need ranks and shares to decide.
     */
    private boolean isShort(List<Server> usable, PieceLimits limits, long now) {
        long places = 0;
        long bytes = 0;
        if (mOrder.sharesOnlyBesideLateGroups()
                && latePieces(now) <= (long) usable.size() * limits.slots() * limits.maxBatch()) {
            return false;
        }
        for (Server server : usable) {
            if (hasFreeSlot(server, limits)) {
                int slots = limits.slots() - runningCalls(server.published().id());
                places += (long) slots * limits.maxBatch();
                bytes += freeBytes(server, limits, now);
            }
        }
        if (mQueued.size() > places) {
            return true;
        }
        long waitingBytes = 0;
        for (WaitingGroup group : mBacklog.groups()) {
            waitingBytes += group.bytes();
        }
        return waitingBytes > bytes;
    }

    private long latePieces(long now) {
        return mQueued.stream().filter(queued -> queued.group().isLate(now)).count();
    }

    private boolean hasFreeSlot(Server server, PieceLimits limits) {
        return runningCalls(server.published().id()) < limits.slots();
    }

    private static <P extends Piece> Call<P> newCall(Server server, List<QueuedPiece<P>> batch) {
        Set<String> promoted = new HashSet<>();
        for (QueuedPiece<P> queued : batch) {
            if (queued.group().isPromoted()) {
                promoted.add(queued.group().name());
            }
        }
        return new Call<>(server, batch.stream().map(QueuedPiece::piece).toList(), promoted);
    }

    /** Sorts the queue so that the pieces of a group are adjacent. */
    private void sortQueue(long now, PieceLimits limits) {
        if (mOrder.servesLateGroups()) {
            mBacklog.promoteLateGroups(now, (long) meanHeldNanos(limits));
        }
        assignShares(now);
        mQueued.sort(Comparator.comparing(QueuedPiece::group, order(now)));
    }

    /**
     * Orders the servers by the time at which they would finish a call. Leaves out suspect servers,
     * slow servers unless the others cannot take all pieces, and servers that slowed down in the
     * middle of their work unless the others are full.
     */
    private List<Server> usableServers(List<Server> servers, long now, PieceLimits limits) {
        List<Server> usable =
                new ArrayList<>(servers.stream().filter(s -> !s.isSuspect(now)).toList());
        long callNanos = Clock.boundedNanos(limits.typicalCallTime());
        usable.sort(
                Comparator.comparingLong(
                        server -> server.facts().expectedFinishNanos(callNanos, now)));
        long fast = usable.stream().filter(server -> !isSlow(server, now)).count();
        if (fast > 0 && mQueued.size() <= fast * limits.maxBatch()) {
            usable.removeIf(server -> isSlow(server, now));
        }
        if (usable.stream()
                .anyMatch(s -> !s.facts().isOverdue(now) && canTakePieces(s, limits, now))) {
            usable.removeIf(server -> server.facts().isOverdue(now));
        }
        return usable;
    }

    private static boolean isSlow(Server server, long now) {
        return server.facts().expectedRatio(now) >= MIN_SLOW_RATIO;
    }

    private boolean canTakePieces(Server server, PieceLimits limits, long now) {
        long smallest = mQueuedByResultBytes.isEmpty() ? 0 : mQueuedByResultBytes.firstKey();
        return hasFreeSlot(server, limits)
                && freeBytes(server, limits, now)
                        >= mHolds.neededBytes(server.published().id(), smallest);
    }

    /**
     * Removes the pieces of the next call to a server from the queue and reserves their memory.
     * Takes only whole groups, because the results of a part would occupy memory until the rest is
     * finished. A group that is too large for any call is split.
     */
    private List<QueuedPiece<P>> takeBatch(
            Server server, PieceLimits limits, Set<String> domains, long now) {
        String id = server.published().id();
        long freeBytes = freeBytes(server, limits, now);
        List<QueuedPiece<P>> taken = new ArrayList<>();
        int next = 0;
        while (next < mQueued.size() && taken.size() < limits.maxBatch()) {
            int end = endOfGroup(next);
            List<QueuedPiece<P>> group =
                    mQueued.subList(next, end).stream()
                            .filter(queued -> !queued.piece().avoids(id))
                            .filter(queued -> !waitsForDomain(queued, server, domains, now))
                            .toList();
            next = end;
            if (!group.isEmpty()) {
                int fitting = fittingPieces(group, taken.size(), freeBytes, limits);
                if (fitting == 0
                        && mOrder.servesLateGroups()
                        && group.get(0).group().bytes() > freeBytes
                        && mHolds.hold(id, group.get(0).group(), limits.resultMemoryBytes())) {
                    break;
                }
                taken.addAll(group.subList(0, fitting));
                freeBytes -= group.get(0).piece().resultBytes() * fitting;
            }
        }
        Set<QueuedPiece<P>> takenSet = Collections.newSetFromMap(new IdentityHashMap<>());
        takenSet.addAll(taken);
        mQueued.removeIf(takenSet::contains);
        taken.forEach(queued -> mBacklog.start(queued.group(), taken.size(), limits));
        for (QueuedPiece<P> queued : taken) {
            onRemoved(queued.piece());
            reserve(id, queued.piece(), now);
        }
        return taken;
    }

    /** Returns the index after the last piece of the group that begins at an index. */
    private int endOfGroup(int begin) {
        String group = mQueued.get(begin).piece().group();
        int end = begin + 1;
        while (end < mQueued.size() && mQueued.get(end).piece().group().equals(group)) {
            end++;
        }
        return end;
    }

    /** Returns how many pieces of a group a call with {@code taken} pieces can take. */
    private int fittingPieces(
            List<QueuedPiece<P>> group, int taken, long freeBytes, PieceLimits limits) {
        long bytesPerPiece = group.get(0).piece().resultBytes();
        int freePlaces = limits.maxBatch() - taken;
        long fitting =
                bytesPerPiece == 0 ? freePlaces : Math.min(freePlaces, freeBytes / bytesPerPiece);
        boolean maySplit =
                taken == 0
                        && (group.size() > limits.maxBatch()
                                || bytesPerPiece * group.size() > limits.resultMemoryBytes());
        if (fitting >= group.size()) {
            return group.size();
        }
        return maySplit ? (int) fitting : 0;
    }

    private void reserve(String server, P piece, long now) {
        mReservations
                .computeIfAbsent(server, id -> new ReservedMemory())
                .add(piece.name(), piece.resultBytes(), now + mResultLifetimeNanos);
    }

    private boolean waitsForDomain(
            QueuedPiece<P> queued, Server server, Set<String> domains, long now) {
        String domain = server.published().domain();
        String preferred = queued.piece().preferredDomain();
        return !preferred.isEmpty()
                && !preferred.equals(domain)
                && domains.contains(preferred)
                && now - queued.addedNanos() < DOMAIN_WAIT_NANOS;
    }

    private int runningCalls(String server) {
        return mRunningCalls.getOrDefault(server, 0);
    }

    private void onRemoved(P piece) {
        mQueuedByResultBytes.computeIfPresent(
                piece.resultBytes(), (bytes, count) -> count > 1 ? count - 1 : null);
    }

    private long freeBytes(Server server, PieceLimits limits, long now) {
        String id = server.published().id();
        return Math.max(
                0, limits.resultMemoryBytes() - reservedBytes(id, now) - foreignBytes(id, now));
    }

    private long reservedBytes(String server, long now) {
        ReservedMemory reserved = mReservations.get(server);
        return reserved == null ? 0 : reserved.bytes(now);
    }

    /** Records the end of a call to a server. */
    public void recordCallEnd(String server) {
        mRunningCalls.computeIfPresent(server, (id, count) -> count > 1 ? count - 1 : null);
        mLastCallEndNanos = mClock.monotonicNanos();
    }

    /** Returns the time since the last call ended, which is the age of what is known of servers. */
    long nanosSinceLastCallEnd() {
        return mClock.monotonicNanos() - mLastCallEndNanos;
    }

    /**
     * Records that a server had no memory left for a result. The memory that this queue has not
     * reserved there is held by others, such as a previous collector. It is assumed to become free
     * evenly over a fraction of the lifetime of results.
     */
    public void recordMemoryFull(String server, PieceLimits limits) {
        long now = mClock.monotonicNanos();
        long bytes = Math.max(0, limits.resultMemoryBytes() - reservedBytes(server, now));
        long end = now + mResultLifetimeNanos / FOREIGN_LIFETIME_DIVISOR;
        mForeignMemory.put(server, new ForeignMemory(bytes, end));
    }

    private long foreignBytes(String server, long now) {
        ForeignMemory foreign = mForeignMemory.get(server);
        if (foreign == null || foreign.endNanos() - now <= 0) {
            return 0;
        }
        double remaining =
                (double) (foreign.endNanos() - now)
                        * FOREIGN_LIFETIME_DIVISOR
                        / mResultLifetimeNanos;
        return (long) (foreign.bytes() * remaining);
    }

    /** Releases the memory that is reserved for the result of a piece, at whichever server. */
    public void releaseResult(String piece) {
        long now = mClock.monotonicNanos();
        for (ReservedMemory reserved : mReservations.values()) {
            long endNanos = reserved.remove(piece);
            if (endNanos != ReservedMemory.NONE) {
                mHeldNanos.add(now + mResultLifetimeNanos - endNanos);
            }
        }
    }

    /** A piece that waits in the queue. */
    public interface Piece {
        /** Returns the unique name of the piece. */
        String name();

        /** Returns the name of its group; results are useful only for a whole group. */
        String group();

        /** Returns the rank of its request; 0 is the most important. */
        int rank();

        /** Returns the workspace of its request; empty when it has none. */
        default String workspace() {
            return "";
        }

        /** Returns the latest monotonic start time that still meets the target of its request. */
        long latestStartNanos();

        /** Returns the monotonic time from which waiting longer is useless. */
        long giveUpNanos();

        /** Returns the monotonic deadline of its request, before which its caller may return. */
        default long deadlineNanos() {
            return giveUpNanos();
        }

        /** Returns the approximate size of its result. */
        long resultBytes();

        /** Returns the failure domain of its inputs; empty when it has none. */
        String preferredDomain();

        /** Returns true when the piece reads results of an earlier stage. */
        default boolean hasInputs() {
            return false;
        }

        /** Returns true when nobody needs the result any more. */
        boolean isAbandoned();

        /** Returns true when the piece must not go to the given server. */
        boolean avoids(String server);
    }

    /**
     * One call that can start.
     *
     * <p>Thread safety: immutable.
     *
     * @param promotedGroups names of the late groups that were moved to the front of the queue
     */
    public record Call<P>(Server server, List<P> pieces, Set<String> promotedGroups) {
        public Call {
            pieces = List.copyOf(pieces);
            promotedGroups = Set.copyOf(promotedGroups);
        }
    }

    /**
     * A waiting piece and the monotonic time at which it was added.
     *
     * <p>Thread safety: immutable.
     */
    private record QueuedPiece<P>(P piece, long addedNanos, WaitingGroup group) {}

    /**
     * Memory that others than this queue occupy at a server.
     *
     * <p>Thread safety: immutable.
     *
     * @param endNanos monotonic time at which the memory is free again at the latest
     */
    private record ForeignMemory(long bytes, long endNanos) {}
}
