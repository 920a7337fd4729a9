package org.bulrushvale.decision.forward;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import net.openhft.hashing.LongHashFunction;
import org.bulrushvale.kernel.time.Clock;

/**
 * The origins of streams that callers may take up, begun at this entry or reported by others.
 *
 * <p>Invariants: an origin changes only when the stream goes on at another service, because its
 * route was moved; it is kept for {@link ServiceVersions#STREAM_LIFETIME} after it was last
 * recorded, unless more than {@value #MAX_ORIGINS} are newer. Thread safety: not safe; used by the
 * event loop.
 */
public final class StreamOrigins {
    // About 100 bytes each.
    private static final int MAX_ORIGINS = 65_536;

    private final Clock mClock;
    private final Map<Long, Kept> mOrigins = new LinkedHashMap<>();

    /** Creates an empty table. */
    public StreamOrigins(Clock clock) {
        mClock = clock;
    }

    /**
     * Returns the key of a stream.
     *
     * @param attemptId id of the caller's attempt that began it
     */
    public static long keyOf(String workspace, String attemptId) {
        return LongHashFunction.xx().hashChars(workspace + "\n" + attemptId);
    }

    /** Records the origin of a stream; one that is known already is kept for longer. */
    public void record(long stream, StreamOrigin origin) {
        removeExpired();
        Kept known = mOrigins.remove(stream);
        boolean isSameService = known != null && known.origin().service().equals(origin.service());
        StreamOrigin kept = isSameService ? known.origin() : origin;
        mOrigins.put(stream, new Kept(kept, mClock.monotonicNanos()));
    }

    private void removeExpired() {
        Iterator<Kept> oldest = mOrigins.values().iterator();
        while (oldest.hasNext() && (isExpired(oldest.next()) || mOrigins.size() >= MAX_ORIGINS)) {
            oldest.remove();
        }
    }

    private boolean isExpired(Kept kept) {
        return mClock.elapsedSince(kept.recordedNanos()).compareTo(ServiceVersions.STREAM_LIFETIME)
                >= 0;
    }

    /** Forgets a stream that its caller has received completely. */
    public void remove(long stream) {
        mOrigins.remove(stream);
    }

    /** Returns the origin of a stream; empty when it is not known. */
    public Optional<StreamOrigin> find(long stream) {
        return Optional.ofNullable(mOrigins.get(stream))
                .filter(kept -> !isExpired(kept))
                .map(Kept::origin);
    }

    private record Kept(StreamOrigin origin, long recordedNanos) {}
}
