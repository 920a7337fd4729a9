package org.bulrushvale.decision.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.decision.forward.ServiceSpec.PieceLimits;
import org.bulrushvale.kernel.time.Clock;

/**
 * Pieces that wait for one stage service, and the calls that carry them.
 *
 * <p>A call is formed when a server has a free slot: it takes the waiting pieces in the order of
 * the time by which they must start, those that are too late for their target last, so that batches
 * grow with the load, no piece waits for a timer and an overload does not make all requests late. A
 * piece goes to the failure domain of its inputs unless it has waited long. Memory for results is
 * reserved until it is released or its lifetime has ended.
 *
 * <p>Invariant: each piece is in at most one call at a time; a server never has more calls than
 * slots, nor more reserved memory than it has. Thread safety: not safe; used by the event loop.
 *
 * @param <P> a waiting piece
 */
public final class StageQueue<P extends StageQueue.Piece> {
    // About one stage call (200 ms and its pieces), after which the server of the domain is free.
    private static final long DOMAIN_WAIT_NANOS = 250_000_000L;

    // Most results of others are given up well before the end of their lifetime.
    private static final int FOREIGN_SHARE = 5;

    // Below this ratio of actual to expected time a server is not called slow.
    private static final double SLOW = 2.0;

    private final Clock mClock;
    private final long mResultLifetimeNanos;
    private final List<Waiting<P>> mWaiting = new ArrayList<>();
    private final Map<String, Integer> mCalls = new HashMap<>();
    private final Map<String, List<Reservation>> mReserved = new HashMap<>();
    private final Map<String, Reservation> mForeign = new HashMap<>();

    /**
     * Creates an empty queue.
     *
     * @param resultLifetimeNanos time after which a server drops a result by itself
     */
    public StageQueue(Clock clock, long resultLifetimeNanos) {
        mClock = clock;
        mResultLifetimeNanos = resultLifetimeNanos;
    }

    /** Adds a piece. */
    public void add(P piece) {
        mWaiting.add(new Waiting<>(piece, mClock.monotonicNanos()));
    }

    /** Returns the number of waiting pieces. */
    public int waiting() {
        return mWaiting.size();
    }

    /** Removes and returns the pieces whose time is over. */
    public List<P> removeExpired() {
        long now = mClock.monotonicNanos();
        List<P> expired = new ArrayList<>();
        for (Iterator<Waiting<P>> waiting = mWaiting.iterator(); waiting.hasNext(); ) {
            P piece = waiting.next().piece();
            if (piece.isAbandoned() || piece.giveUpNanos() - now <= 0) {
                waiting.remove();
                expired.add(piece);
            }
        }
        return expired;
    }

    /** Forms the calls that can start now. */
    public List<Call<P>> nextCalls(List<Server> servers, PieceLimits limits) {
        List<Call<P>> calls = new ArrayList<>();
        if (mWaiting.isEmpty()) {
            return calls;
        }
        long now = mClock.monotonicNanos();
        mWaiting.sort(
                Comparator.comparingInt((Waiting<P> waiting) -> lateRank(waiting.piece(), now))
                        .thenComparingLong(waiting -> waiting.piece().startByNanos() - now)
                        .thenComparing(waiting -> waiting.piece().group()));
        List<Server> usable = usable(servers, now, limits);
        Set<String> domains = new HashSet<>();
        usable.forEach(server -> domains.add(server.published().domain()));
        for (Server server : usable) {
            String id = server.published().id();
            while (running(id) < limits.slots()) {
                List<P> batch = take(server, limits, domains, now);
                if (batch.isEmpty()) {
                    break;
                }
                mCalls.merge(id, 1, Integer::sum);
                calls.add(new Call<>(server, batch));
            }
        }
        return calls;
    }

    /** Pieces in time come first, then late ones by the rank of their request. */
    private int lateRank(P piece, long now) {
        return piece.startByNanos() - now > 0 ? -1 : piece.rank();
    }

    /** Suspects are left out; slow servers are used only when the others cannot take all. */
    private List<Server> usable(List<Server> servers, long now, PieceLimits limits) {
        List<Server> sound =
                new ArrayList<>(servers.stream().filter(s -> !s.isSuspect(now)).toList());
        sound.sort(Comparator.comparingDouble(server -> server.slowness(now)));
        long fast = sound.stream().filter(server -> server.slowness(now) < SLOW).count();
        if (fast > 0 && mWaiting.size() <= fast * limits.batch()) {
            sound.removeIf(server -> server.slowness(now) >= SLOW);
        }
        return sound;
    }

    /**
     * Takes whole groups as long as they fit, because the results of a part would only occupy
     * memory until the rest is made. A group that fits no batch is split.
     */
    private List<P> take(Server server, PieceLimits limits, Set<String> domains, long now) {
        String id = server.published().id();
        Map<String, List<Waiting<P>>> groups = new LinkedHashMap<>();
        for (Waiting<P> waiting : mWaiting) {
            P piece = waiting.piece();
            if (!piece.avoids(id)
                    && !waitsForDomain(waiting, server.published().domain(), domains, now)) {
                groups.computeIfAbsent(piece.group(), key -> new ArrayList<>()).add(waiting);
            }
        }
        long room = limits.roomBytes() - reserved(id, now) - foreign(id, now);
        List<Waiting<P>> taken = new ArrayList<>();
        for (List<Waiting<P>> group : groups.values()) {
            long bytes = group.get(0).piece().resultBytes();
            int left = limits.batch() - taken.size();
            long fits = bytes == 0 ? left : Math.min(left, Math.max(0, room) / bytes);
            boolean splits =
                    taken.isEmpty()
                            && (group.size() > limits.batch()
                                    || bytes * group.size() > limits.roomBytes());
            if (fits >= group.size() || (splits && fits > 0)) {
                List<Waiting<P>> part = group.subList(0, (int) Math.min(fits, group.size()));
                taken.addAll(part);
                room -= bytes * part.size();
            }
        }
        mWaiting.removeAll(taken);
        List<P> batch = taken.stream().map(Waiting::piece).toList();
        batch.forEach(piece -> reserve(id, piece, now));
        return batch;
    }

    private void reserve(String server, P piece, long now) {
        mReserved
                .computeIfAbsent(server, id -> new ArrayList<>())
                .add(
                        new Reservation(
                                piece.name(), piece.resultBytes(), now + mResultLifetimeNanos));
    }

    private boolean waitsForDomain(
            Waiting<P> waiting, String domain, Set<String> domains, long now) {
        String preferred = waiting.piece().preferredDomain();
        return !preferred.isEmpty()
                && !preferred.equals(domain)
                && domains.contains(preferred)
                && now - waiting.sinceNanos() < DOMAIN_WAIT_NANOS;
    }

    private int running(String server) {
        return mCalls.getOrDefault(server, 0);
    }

    private long reserved(String server, long now) {
        List<Reservation> held = mReserved.computeIfAbsent(server, id -> new ArrayList<>());
        held.removeIf(reservation -> reservation.endNanos() - now <= 0);
        return held.stream().mapToLong(Reservation::bytes).sum();
    }

    /** Records the end of a call. */
    public void recordCallEnd(String server) {
        mCalls.computeIfPresent(server, (id, count) -> count > 1 ? count - 1 : null);
    }

    /**
     * Records that a server had no room for a result. What this queue has not reserved there is
     * held by others, such as a collector before this one, and ends before the lifetime of results.
     */
    public void recordMemoryFull(String server, PieceLimits limits) {
        long now = mClock.monotonicNanos();
        long bytes = Math.max(0, limits.roomBytes() - reserved(server, now));
        long end = now + mResultLifetimeNanos / FOREIGN_SHARE;
        mForeign.put(server, new Reservation(server, bytes, end));
    }

    private long foreign(String server, long now) {
        Reservation foreign = mForeign.get(server);
        if (foreign == null || foreign.endNanos() - now <= 0) {
            return 0;
        }
        double left = (double) (foreign.endNanos() - now) * FOREIGN_SHARE / mResultLifetimeNanos;
        return (long) (foreign.bytes() * left);
    }

    /** Releases the memory of a result, wherever it lies. */
    public void releaseResult(String piece) {
        for (List<Reservation> held : mReserved.values()) {
            held.removeIf(reservation -> reservation.piece().equals(piece));
        }
    }

    /** A piece that waits. */
    public interface Piece {
        /** Returns a name that no other piece has. */
        String name();

        /** Returns the name of the job that needs it; results are useful only for a whole job. */
        String group();

        /** Returns the rank of its request; 0 is the most important. */
        int rank();

        /** Returns the monotonic time by which it must start to meet its request's target. */
        long startByNanos();

        /** Returns the monotonic time from which waiting on is useless. */
        long giveUpNanos();

        /** Returns the approximate size of its result. */
        long resultBytes();

        /** Returns the failure domain of its inputs; empty when it has none. */
        String preferredDomain();

        /** Returns true when nobody waits for the result. */
        boolean isAbandoned();

        /** Returns true when the piece must not go to a server. */
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
     * A piece and the monotonic time since which it waits.
     *
     * <p>Thread safety: immutable.
     */
    private record Waiting<P>(P piece, long sinceNanos) {}

    /**
     * Memory held at a server.
     *
     * <p>Thread safety: immutable.
     */
    private record Reservation(String piece, long bytes, long endNanos) {}
}
