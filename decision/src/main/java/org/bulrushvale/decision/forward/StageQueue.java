package org.bulrushvale.decision.forward;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.decision.forward.ServiceSpec.PieceLimits;
import org.bulrushvale.kernel.time.Clock;

/**
 * Queue of the pieces that wait for one stage service, from which calls with batches are formed.
 *
 * <p>A call is formed as soon as a server has a free slot, so that no piece waits for a timer and
 * batches grow with the load. It takes the pieces in the order of their latest start times. Pieces
 * that are too late for their target come last, so that an overload does not make all requests
 * late. A piece goes to the failure domain of its inputs unless it has waited long. Memory for a
 * result is reserved until the result is released or its lifetime has ended.
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

    // Ratio of actual to expected time from which a server counts as slow.
    private static final double MIN_SLOW_RATIO = 2.0;

    private final Clock mClock;
    private final long mResultLifetimeNanos;
    private final List<QueuedPiece<P>> mQueued = new ArrayList<>();
    private final NavigableMap<Long, Integer> mQueuedByResultBytes = new TreeMap<>();
    private final Map<String, Integer> mRunningCalls = new HashMap<>();
    private final Map<String, ReservedMemory> mReservations = new HashMap<>();
    private final Map<String, ForeignMemory> mForeignMemory = new HashMap<>();

    /**
     * Creates an empty queue.
     *
     * @param resultLifetimeNanos time after which a server drops a result by itself
     */
    public StageQueue(Clock clock, long resultLifetimeNanos) {
        mClock = clock;
        mResultLifetimeNanos = resultLifetimeNanos;
    }

    /** Adds a piece to the queue. */
    public void add(P piece) {
        mQueued.add(new QueuedPiece<>(piece, mClock.monotonicNanos()));
        mQueuedByResultBytes.merge(piece.resultBytes(), 1, Integer::sum);
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
        List<P> expired = new ArrayList<>();
        for (Iterator<QueuedPiece<P>> queued = mQueued.iterator(); queued.hasNext(); ) {
            P piece = queued.next().piece();
            if (piece.isAbandoned() || piece.giveUpNanos() - earliestStartNanos <= 0) {
                queued.remove();
                onRemoved(piece);
                expired.add(piece);
            }
        }
        return expired;
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
        if (usable.stream().noneMatch(server -> canTakePieces(server, limits, now))) {
            return calls;
        }
        sortQueue(now);
        Set<String> domains = new HashSet<>();
        usable.forEach(server -> domains.add(server.published().domain()));
        for (Server server : usable) {
            int permitted = hasFreeSlot(server, limits) ? permits.applyAsInt(server) : 0;
            while (hasFreeSlot(server, limits) && permitted-- > 0) {
                List<P> batch = takeBatch(server, limits, domains, now);
                if (batch.isEmpty()) {
                    break;
                }
                mRunningCalls.merge(server.published().id(), 1, Integer::sum);
                calls.add(new Call<>(server, batch));
            }
        }
        return calls;
    }

    private boolean hasFreeSlot(Server server, PieceLimits limits) {
        return runningCalls(server.published().id()) < limits.slots();
    }

    /** Sorts the queue so that the pieces of a group are adjacent. */
    private void sortQueue(long now) {
        mQueued.sort(
                Comparator.comparingInt((QueuedPiece<P> queued) -> sortRank(queued.piece(), now))
                        .thenComparingLong(queued -> queued.piece().latestStartNanos() - now)
                        .thenComparing(queued -> queued.piece().group()));
    }

    /** Returns -1 for a piece that can meet its target, otherwise the rank of its request. */
    private int sortRank(P piece, long now) {
        return piece.latestStartNanos() - now > 0 ? -1 : piece.rank();
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
        return hasFreeSlot(server, limits) && freeBytes(server, limits, now) >= smallest;
    }

    /**
     * Removes the pieces of the next call to a server from the queue and reserves their memory.
     * Takes only whole groups, because the results of a part would occupy memory until the rest is
     * finished. A group that is too large for any call is split.
     */
    private List<P> takeBatch(Server server, PieceLimits limits, Set<String> domains, long now) {
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
                taken.addAll(group.subList(0, fitting));
                freeBytes -= group.get(0).piece().resultBytes() * fitting;
            }
        }
        Set<QueuedPiece<P>> takenSet = Collections.newSetFromMap(new IdentityHashMap<>());
        takenSet.addAll(taken);
        mQueued.removeIf(takenSet::contains);
        List<P> batch = taken.stream().map(QueuedPiece::piece).toList();
        batch.forEach(this::onRemoved);
        batch.forEach(piece -> reserve(id, piece, now));
        return batch;
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
        mReservations.values().forEach(reserved -> reserved.remove(piece));
    }

    /** A piece that waits in the queue. */
    public interface Piece {
        /** Returns the unique name of the piece. */
        String name();

        /** Returns the name of its group; results are useful only for a whole group. */
        String group();

        /** Returns the rank of its request; 0 is the most important. */
        int rank();

        /** Returns the latest monotonic start time that still meets the target of its request. */
        long latestStartNanos();

        /** Returns the monotonic time from which waiting longer is useless. */
        long giveUpNanos();

        /** Returns the approximate size of its result. */
        long resultBytes();

        /** Returns the failure domain of its inputs; empty when it has none. */
        String preferredDomain();

        /** Returns true when nobody needs the result any more. */
        boolean isAbandoned();

        /** Returns true when the piece must not go to the given server. */
        boolean avoids(String server);
    }

    /**
     * One call that can start.
     *
     * <p>Thread safety: immutable.
     */
    public record Call<P>(Server server, List<P> pieces) {
        public Call {
            pieces = List.copyOf(pieces);
        }
    }

    /**
     * A waiting piece and the monotonic time at which it was added.
     *
     * <p>Thread safety: immutable.
     */
    private record QueuedPiece<P>(P piece, long addedNanos) {}

    /**
     * Memory that others than this queue occupy at a server.
     *
     * <p>Thread safety: immutable.
     *
     * @param endNanos monotonic time at which the memory is free again at the latest
     */
    private record ForeignMemory(long bytes, long endNanos) {}
}
