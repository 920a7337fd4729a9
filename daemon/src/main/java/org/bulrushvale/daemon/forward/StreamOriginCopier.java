package org.bulrushvale.daemon.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import net.openhft.hashing.LongHashFunction;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.decision.forward.MemberTable;
import org.bulrushvale.decision.forward.StreamOrigin;
import org.bulrushvale.decision.forward.StreamOrigins;
import org.bulrushvale.kernel.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Copies the origins of the open streams of this entry to a few other entries, the same ones for
 * all streams, so that the cost does not grow with the fleet.
 *
 * <p>Invariant: a holder that did not confirm a copy receives all origins of open streams again, or
 * another entry does in its place. Thread safety: used on the event loop.
 */
final class StreamOriginCopier {
    /** Number of entries that hold a copy of each origin. */
    static final int HOLDERS = 3;

    private static final Duration COPY_TIMEOUT = Duration.ofSeconds(1);

    // An origin of an older stream is copied to no further holder.
    private static final Duration MAX_COPY_AGE = Duration.ofMinutes(1);

    private final Clock mClock;
    private final MemberTable mMembers;
    private final StreamOrigins mOrigins;
    private final Predicate<String> mIsCertain;
    private final Map<Long, OpenStream> mOpen = new LinkedHashMap<>();
    private final Map<String, Long> mCopiedNumbers = new HashMap<>();
    private final Map<String, Long> mFailedNanos = new HashMap<>();
    private final Set<String> mCertainServices = new HashSet<>();
    private long mLastNumber;

    /**
     * Creates a copier.
     *
     * @param isCertain true for a service whose streams all began at the same version; their
     *     origins need no copies
     */
    StreamOriginCopier(
            Clock clock, MemberTable members, StreamOrigins origins, Predicate<String> isCertain) {
        mClock = clock;
        mMembers = members;
        mOrigins = origins;
        mIsCertain = isCertain;
    }

    /** Lets the origins of a stream be copied that were recorded so far. */
    void add(long stream) {
        mOpen.put(stream, new OpenStream(++mLastNumber, mClock.monotonicNanos()));
    }

    /** Ends the copies of a stream that its caller received completely. */
    void remove(long stream) {
        mOpen.remove(stream);
    }

    /** Copies what the holders lack. */
    void copy(PublishedStateRelay.PeerRequester peers) {
        mOpen.values().removeIf(open -> isOlder(open.sinceNanos(), MAX_COPY_AGE));
        if (mOpen.isEmpty()) {
            return;
        }
        updateCertainServices();
        List<String> holders = holders();
        mCopiedNumbers.keySet().retainAll(holders);
        holders.forEach(holder -> copyTo(holder, peers));
    }

    private boolean isOlder(long sinceNanos, Duration age) {
        return mClock.elapsedSince(sinceNanos).compareTo(age) >= 0;
    }

    private void updateCertainServices() {
        Set<String> services = new HashSet<>();
        for (long stream : mOpen.keySet()) {
            mOrigins.find(stream).forEach(origin -> services.add(origin.service()));
        }
        services.removeIf(mIsCertain.negate());
        if (!services.containsAll(mCertainServices)) {
            // The open streams of a service with a new version were not copied so far.
            mCopiedNumbers.clear();
        }
        mCertainServices.clear();
        mCertainServices.addAll(services);
    }

    private List<String> holders() {
        mFailedNanos.values().removeIf(nanos -> isOlder(nanos, COPY_TIMEOUT));
        LongHashFunction hash =
                LongHashFunction.xx(LongHashFunction.xx().hashChars(mMembers.self()));
        return mMembers.live().stream()
                .filter(member -> !member.equals(mMembers.self()))
                .filter(member -> !mFailedNanos.containsKey(member))
                .sorted(Comparator.comparingLong(hash::hashChars))
                .limit(HOLDERS)
                .toList();
    }

    private void copyTo(String holder, PublishedStateRelay.PeerRequester peers) {
        long copied = mCopiedNumbers.getOrDefault(holder, 0L);
        List<Long> streams = new ArrayList<>();
        mOpen.forEach(
                (stream, open) -> {
                    if (open.number() > copied) {
                        streams.add(stream);
                    }
                });
        List<PeerMessage.OriginGroup> groups =
                group(mOrigins, streams).stream()
                        .filter(group -> !mCertainServices.contains(group.origin().service()))
                        .toList();
        if (groups.isEmpty()) {
            return;
        }
        mCopiedNumbers.put(holder, mLastNumber);
        peers.request(
                holder,
                new PeerMessage.StreamOriginCopies(groups),
                COPY_TIMEOUT,
                answer -> onCopied(holder, answer));
    }

    private void onCopied(String holder, @Nullable PeerMessage answer) {
        if (!(answer instanceof PeerMessage.StreamOriginCopies)) {
            mCopiedNumbers.remove(holder);
            mFailedNanos.put(holder, mClock.monotonicNanos());
        }
    }

    /** Returns the origins of streams at all services, each with the streams that have it. */
    static List<PeerMessage.OriginGroup> group(StreamOrigins origins, List<Long> streams) {
        Map<StreamOrigin, List<Long>> groups = new LinkedHashMap<>();
        for (long stream : streams) {
            for (StreamOrigin origin : origins.find(stream)) {
                groups.computeIfAbsent(origin, key -> new ArrayList<>()).add(stream);
            }
        }
        return groups.entrySet().stream()
                .map(group -> new PeerMessage.OriginGroup(group.getKey(), group.getValue()))
                .toList();
    }

    /**
     * A stream whose caller has not received its end.
     *
     * @param number rises with each stream that is recorded
     */
    private record OpenStream(long number, long sinceNanos) {}
}
