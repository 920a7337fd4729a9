package org.bulrushvale.decision.forward;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Memory of one server that is reserved for the results of pieces.
 *
 * <p>Invariant: the reservations are in the order of their ends, because all last equally long.
 * Thread safety: not safe; used by the event loop.
 */
final class ReservedMemory {
    /** Result of {@link #remove} for a piece without a reservation. */
    static final long NONE = Long.MIN_VALUE;

    private final Map<String, Reservation> mReservations = new LinkedHashMap<>();
    private long mBytes;

    /** Reserves memory for a result; an earlier reservation for the same piece is replaced. */
    void add(String piece, long bytes, long endNanos) {
        remove(piece);
        mReservations.put(piece, new Reservation(bytes, endNanos));
        mBytes += bytes;
    }

    /**
     * Releases the memory of a piece.
     *
     * @return monotonic time at which the reservation would have ended; {@link #NONE} when the
     *     piece has none
     */
    long remove(String piece) {
        Reservation removed = mReservations.remove(piece);
        if (removed == null) {
            return NONE;
        }
        mBytes -= removed.bytes();
        return removed.endNanos();
    }

    /** Returns the memory that is reserved at a monotonic time. */
    long bytes(long nowNanos) {
        Iterator<Reservation> oldestFirst = mReservations.values().iterator();
        while (oldestFirst.hasNext()) {
            Reservation oldest = oldestFirst.next();
            if (oldest.endNanos() - nowNanos > 0) {
                break;
            }
            mBytes -= oldest.bytes();
            oldestFirst.remove();
        }
        return mBytes;
    }

    /**
     * Memory for one result.
     *
     * <p>Thread safety: immutable.
     */
    private record Reservation(long bytes, long endNanos) {}
}
