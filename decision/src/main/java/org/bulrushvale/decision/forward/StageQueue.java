package org.bulrushvale.decision.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.kernel.time.Clock;

/**
 * Pieces that wait for one stage service, and the calls that carry them.
 *
 * <p>A call is formed when a server has a free slot: it takes the waiting pieces in the order of
 * their target time, those past their target last, so that batches grow with the load and no piece
 * waits for a timer. Memory for results is reserved until it is released or its lifetime has ended.
 *
 * <p>Invariant: each piece is in at most one call at a time; a server never has more calls than
 * slots, nor more reserved memory than it has. Thread safety: not safe; used by the event loop.
 *
 * @param <P> a waiting piece
 */
public final class StageQueue<P extends StageQueue.Piece> {
    private final Clock mClock;
    private final long mResultLifetimeNanos;
    private final List<P> mWaiting = new ArrayList<>();
    private final Map<String, Integer> mCalls = new HashMap<>();
    private final Map<String, List<Reservation>> mReserved = new HashMap<>();

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
        mWaiting.add(piece);
    }

    /** Returns the number of waiting pieces. */
    public int waiting() {
        return mWaiting.size();
    }

    /** Removes and returns the pieces whose time is over. */
    public List<P> expired() {
        long now = mClock.monotonicNanos();
        List<P> expired = new ArrayList<>();
        for (Iterator<P> pieces = mWaiting.iterator(); pieces.hasNext(); ) {
            P piece = pieces.next();
            if (piece.isAbandoned() || piece.deadlineNanos() - now <= 0) {
                pieces.remove();
                expired.add(piece);
            }
        }
        return expired;
    }

    /** Forms the calls that can start now. */
    public List<Call<P>> nextCalls(List<Server> servers, Function<Server, Capacity> capacity) {
        List<Call<P>> calls = new ArrayList<>();
        if (mWaiting.isEmpty()) {
            return calls;
        }
        long now = mClock.monotonicNanos();
        mWaiting.sort(
                Comparator.comparing((P piece) -> piece.targetNanos() - now <= 0)
                        .thenComparingLong(piece -> piece.targetNanos() - now));
        List<Server> order = new ArrayList<>(servers);
        order.sort(Comparator.comparing(server -> server.isSuspect(now)));
        for (Server server : order) {
            Capacity limits = capacity.apply(server);
            if (mWaiting.isEmpty()) {
                break;
            }
            if (running(server.entry().id()) >= limits.slots() || server.isSuspect(now)) {
                continue;
            }
            List<P> batch = take(server.entry().id(), limits);
            if (!batch.isEmpty()) {
                mCalls.merge(server.entry().id(), 1, Integer::sum);
                calls.add(new Call<>(server, batch));
            }
        }
        return calls;
    }

    private List<P> take(String server, Capacity limits) {
        List<P> batch = new ArrayList<>();
        long room = limits.roomBytes() - reserved(server);
        for (Iterator<P> pieces = mWaiting.iterator();
                pieces.hasNext() && batch.size() < limits.batch(); ) {
            P piece = pieces.next();
            if (piece.avoids(server) || piece.resultBytes() > room) {
                continue;
            }
            room -= piece.resultBytes();
            pieces.remove();
            batch.add(piece);
            mReserved
                    .computeIfAbsent(server, id -> new ArrayList<>())
                    .add(
                            new Reservation(
                                    piece.name(),
                                    piece.resultBytes(),
                                    mClock.monotonicNanos() + mResultLifetimeNanos));
        }
        return batch;
    }

    private int running(String server) {
        return mCalls.getOrDefault(server, 0);
    }

    private long reserved(String server) {
        long now = mClock.monotonicNanos();
        List<Reservation> held = mReserved.computeIfAbsent(server, id -> new ArrayList<>());
        held.removeIf(reservation -> reservation.endNanos() - now <= 0);
        return held.stream().mapToLong(Reservation::bytes).sum();
    }

    /** Records the end of a call. */
    public void ended(String server) {
        mCalls.computeIfPresent(server, (id, count) -> count > 1 ? count - 1 : null);
    }

    /** Releases the memory of a result, wherever it lies. */
    public void released(String piece) {
        for (List<Reservation> held : mReserved.values()) {
            held.removeIf(reservation -> reservation.piece().equals(piece));
        }
    }

    /** A piece that waits. */
    public interface Piece {
        /** Returns a name that no other piece has. */
        String name();

        /** Returns the monotonic time by which its request should be answered. */
        long targetNanos();

        /** Returns the monotonic time at which its request ends. */
        long deadlineNanos();

        /** Returns the approximate size of its result. */
        long resultBytes();

        /** Returns true when nobody waits for the result. */
        boolean isAbandoned();

        /** Returns true when the piece must not go to a server. */
        boolean avoids(String server);
    }

    /**
     * What a server bears.
     *
     * <p>Thread safety: immutable.
     */
    public record Capacity(int slots, int batch, long roomBytes) {}

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
     * Memory held at a server.
     *
     * <p>Thread safety: immutable.
     */
    private record Reservation(String piece, long bytes, long endNanos) {}
}
