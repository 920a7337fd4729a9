package org.bulrushvale.decision.forward;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.openhft.hashing.LongHashFunction;
import org.bulrushvale.kernel.time.Clock;

/**
 * The origins of streams that callers may take up, begun at this entry or reported by others.
 *
 * <p>A stream whose route is moved goes on at another service and may come back, so it has an
 * origin at each service that it has passed through.
 *
 * <p>Invariants: the origin of a stream at a service does not change once it is recorded, and the
 * order in which origins at different services are recorded does not matter; the origins of a
 * stream are kept for {@link ServiceVersions#STREAM_LIFETIME} after one of them was last recorded,
 * unless more than {@value #MAX_STREAMS} streams are newer. Thread safety: not safe; used by the
 * event loop.
 */
public final class StreamOrigins {
    // About 200 bytes each.
    private static final int MAX_STREAMS = 65_536;

    private final Clock mClock;
    private final Map<Long, Kept> mStreams = new LinkedHashMap<>();

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

    /** Records the origin of a stream at a service; one that is known there stays as it is. */
    public void record(long stream, StreamOrigin origin) {
        removeExpired();
        Kept known = mStreams.remove(stream);
        Map<String, StreamOrigin> byService =
                known == null || isExpired(known) ? new LinkedHashMap<>() : known.byService();
        byService.putIfAbsent(origin.service(), origin);
        mStreams.put(stream, new Kept(byService, mClock.monotonicNanos()));
    }

    private void removeExpired() {
        Iterator<Kept> oldest = mStreams.values().iterator();
        while (oldest.hasNext() && (isExpired(oldest.next()) || mStreams.size() >= MAX_STREAMS)) {
            oldest.remove();
        }
    }

    private boolean isExpired(Kept kept) {
        return mClock.elapsedSince(kept.recordedNanos()).compareTo(ServiceVersions.STREAM_LIFETIME)
                >= 0;
    }

    /** Forgets a stream that its caller has received completely. */
    public void remove(long stream) {
        mStreams.remove(stream);
    }

    /** Returns the origins of a stream at all services; empty when the stream is not known. */
    public List<StreamOrigin> find(long stream) {
        Kept kept = mStreams.get(stream);
        return kept == null || isExpired(kept) ? List.of() : List.copyOf(kept.byService().values());
    }

    /** Returns the origin of a stream at a service; empty when none is known there. */
    public Optional<StreamOrigin> find(long stream, String service) {
        return find(stream).stream().filter(origin -> origin.service().equals(service)).findAny();
    }

    private record Kept(Map<String, StreamOrigin> byService, long recordedNanos) {}
}
