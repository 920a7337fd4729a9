package org.bulrushvale.daemon.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import net.openhft.hashing.LongHashFunction;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.decision.forward.MemberTable;
import org.bulrushvale.decision.forward.ServiceVersions;
import org.bulrushvale.decision.forward.StreamOrigin;
import org.bulrushvale.decision.forward.StreamOrigins;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Tells which software version began a stream that a caller takes up, also when another entry
 * served its beginning.
 *
 * <p>While a service has one version for certain, nothing is exchanged. Otherwise an entry copies
 * the origins of its open streams to {@value #HOLDERS} other entries, the same ones for all its
 * streams, so that the cost of an entry does not grow with the fleet; an entry at which a stream is
 * taken up asks all others, which is rare.
 *
 * <p>Invariant: an origin is reported only when it was recorded, or when a service has had one
 * version for longer than a stream lasts; it is never guessed. Thread safety: used on the event
 * loop.
 */
final class StreamOriginExchange {
    static final int HOLDERS = 3;

    // At 24 streams a second this is 2.4 KB/s to all holders; an entry that dies loses the origins
    // of
    // the streams that began in the last period.
    private static final Duration COPY_PERIOD = Duration.ofMillis(150);
    private static final Duration COPY_TIMEOUT = Duration.ofSeconds(1);

    // An origin of an older stream is copied to no further holder.
    private static final Duration MAX_COPY_AGE = Duration.ofMinutes(1);

    // Take-ups come in numbers when an entry dies; one query asks for all of a service.
    private static final Duration GATHER_TIME = Duration.ofMillis(10);
    private static final Duration JOIN_RECHECK_PERIOD = Duration.ofMillis(20);
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(300);

    private final EventLoop mLoop;
    private final Clock mClock;
    private final MemberTable mMembers;
    private final ServiceVersions mVersions;
    private final StreamOrigins mOrigins;
    private final Map<Long, OpenStream> mOpen = new LinkedHashMap<>();
    private final Map<String, Long> mCopiedNumbers = new HashMap<>();
    private final Map<String, Long> mFailedNanos = new HashMap<>();
    private final Set<String> mCertainServices = new HashSet<>();
    private final Map<String, Query> mGathering = new HashMap<>();
    private PublishedStateRelay.PeerRequester mPeers = (member, message, timeout, onAnswer) -> {};
    private BooleanSupplier mIsStateFresh = () -> false;
    private long mLastNumber;

    StreamOriginExchange(
            EventLoop loop, Clock clock, MemberTable members, ServiceVersions versions) {
        mLoop = loop;
        mClock = clock;
        mMembers = members;
        mVersions = versions;
        mOrigins = new StreamOrigins(clock);
    }

    /**
     * Begins the exchange with the other entries.
     *
     * @param isStateFresh states whether the published state was confirmed recently
     */
    void start(PublishedStateRelay.PeerRequester peers, BooleanSupplier isStateFresh) {
        mLoop.execute(
                () -> {
                    mPeers = peers;
                    mIsStateFresh = isStateFresh;
                });
        mLoop.scheduleWithFixedDelay(COPY_PERIOD, this::copyOrigins);
    }

    /** Records that the caller received the first event of a stream, or one after a take-up. */
    void recordEvent(long stream, StreamOrigin origin) {
        mOrigins.record(stream, origin);
        mOpen.put(stream, new OpenStream(origin, ++mLastNumber, mClock.monotonicNanos()));
    }

    /** Records that the caller received a stream completely. */
    void recordComplete(long stream) {
        mOrigins.remove(stream);
        mOpen.remove(stream);
    }

    /**
     * Finds what began a stream; {@code onFound} receives nothing when no entry knows it, at the
     * latest after {@link MemberTable#JOIN_TIME} and a timeout of 300 ms.
     */
    void find(long stream, String service, Consumer<Optional<StreamOrigin>> onFound) {
        Optional<StreamOrigin> known = mOrigins.find(stream).or(() -> onlyOrigin(service));
        if (known.isPresent()) {
            onFound.accept(known);
            return;
        }
        Query gathering = mGathering.get(service);
        if (gathering == null) {
            gathering = new Query(service);
            mGathering.put(service, gathering);
            mLoop.schedule(GATHER_TIME, gathering::send);
        }
        gathering.add(stream, onFound);
    }

    /** Returns the origin of all streams of a service that can still be taken up. */
    private Optional<StreamOrigin> onlyOrigin(String service) {
        List<String> versions = mVersions.recent(service);
        return versions.size() == 1 && mVersions.isComplete() && mIsStateFresh.getAsBoolean()
                ? Optional.of(new StreamOrigin(service, versions.get(0)))
                : Optional.empty();
    }

    private void copyOrigins() {
        mOpen.values().removeIf(open -> isOlder(open.sinceNanos(), MAX_COPY_AGE));
        if (mOpen.isEmpty()) {
            return;
        }
        updateCertainServices();
        List<String> holders = holders();
        mCopiedNumbers.keySet().retainAll(holders);
        holders.forEach(this::copyOriginsTo);
    }

    private boolean isOlder(long sinceNanos, Duration age) {
        return mClock.elapsedSince(sinceNanos).compareTo(age) >= 0;
    }

    private void updateCertainServices() {
        Set<String> certain = new HashSet<>();
        for (OpenStream open : mOpen.values()) {
            String service = open.origin().service();
            if (!certain.contains(service) && onlyOrigin(service).isPresent()) {
                certain.add(service);
            }
        }
        if (!certain.containsAll(mCertainServices)) {
            // The open streams of a service with a new version were not copied so far.
            mCopiedNumbers.clear();
        }
        mCertainServices.clear();
        mCertainServices.addAll(certain);
    }

    private List<String> holders() {
        mFailedNanos.values().removeIf(nanos -> isOlder(nanos, COPY_TIMEOUT));
        LongHashFunction hash =
                LongHashFunction.xx(LongHashFunction.xx().hashChars(mMembers.self()));
        return others().stream()
                .filter(member -> !mFailedNanos.containsKey(member))
                .sorted(Comparator.comparingLong(hash::hashChars))
                .limit(HOLDERS)
                .toList();
    }

    private List<String> others() {
        return mMembers.live().stream().filter(name -> !name.equals(mMembers.self())).toList();
    }

    private void copyOriginsTo(String holder) {
        long copied = mCopiedNumbers.getOrDefault(holder, 0L);
        Map<StreamOrigin, List<Long>> groups = new LinkedHashMap<>();
        mOpen.forEach(
                (stream, open) -> {
                    if (open.number() > copied
                            && !mCertainServices.contains(open.origin().service())) {
                        groups.computeIfAbsent(open.origin(), origin -> new ArrayList<>())
                                .add(stream);
                    }
                });
        if (groups.isEmpty()) {
            return;
        }
        mCopiedNumbers.put(holder, mLastNumber);
        mPeers.request(
                holder,
                new PeerMessage.StreamOriginCopies(toGroups(groups)),
                COPY_TIMEOUT,
                answer -> onCopied(holder, answer));
    }

    private static List<PeerMessage.OriginGroup> toGroups(Map<StreamOrigin, List<Long>> groups) {
        return groups.entrySet().stream()
                .map(group -> new PeerMessage.OriginGroup(group.getKey(), group.getValue()))
                .toList();
    }

    private void onCopied(String holder, @Nullable PeerMessage answer) {
        if (!(answer instanceof PeerMessage.StreamOriginCopies)) {
            mCopiedNumbers.remove(holder);
            mFailedNanos.put(holder, mClock.monotonicNanos());
        }
    }

    /** Keeps the origins that another entry copies to this one; returns the answer. */
    PeerMessage receive(PeerMessage.StreamOriginCopies copies) {
        recordGroups(copies.groups());
        return new PeerMessage.StreamOriginCopies(List.of());
    }

    private void recordGroups(List<PeerMessage.OriginGroup> groups) {
        for (PeerMessage.OriginGroup group : groups) {
            group.streams().forEach(stream -> mOrigins.record(stream, group.origin()));
        }
    }

    /** Returns what this entry knows of streams that are taken up at another one. */
    PeerMessage answer(PeerMessage.StreamOriginQuery query) {
        Map<StreamOrigin, List<Long>> found = new LinkedHashMap<>();
        for (long stream : query.streams()) {
            mOrigins.find(stream)
                    .ifPresent(
                            origin ->
                                    found.computeIfAbsent(origin, key -> new ArrayList<>())
                                            .add(stream));
        }
        return new PeerMessage.StreamOriginAnswer(
                toGroups(found), mVersions.recent(query.service()), mVersions.isComplete());
    }

    /**
     * A stream whose caller has not received its end.
     *
     * @param number rises with each stream that is recorded
     */
    private record OpenStream(StreamOrigin origin, long number, long sinceNanos) {}

    /**
     * One question to all other entries about streams of a service.
     *
     * <p>Invariant: each stream is answered once. Thread safety: used on the event loop.
     */
    private final class Query {
        private final String mService;
        private final Map<Long, List<Consumer<Optional<StreamOrigin>>>> mWaiting = new HashMap<>();
        private final Set<String> mKnownVersions = new HashSet<>();
        private boolean mComplete;
        private int mMissingAnswers;

        Query(String service) {
            mService = service;
        }

        void add(long stream, Consumer<Optional<StreamOrigin>> onFound) {
            mWaiting.computeIfAbsent(stream, key -> new ArrayList<>()).add(onFound);
        }

        void send() {
            if (mMembers.isJoining()) {
                mLoop.schedule(JOIN_RECHECK_PERIOD, this::send);
                return;
            }
            mGathering.remove(mService);
            mKnownVersions.addAll(mVersions.recent(mService));
            mComplete = mVersions.isComplete();
            List<String> others = others();
            mMissingAnswers = others.size();
            PeerMessage query =
                    new PeerMessage.StreamOriginQuery(mService, List.copyOf(mWaiting.keySet()));
            for (String member : others) {
                mPeers.request(member, query, ANSWER_TIMEOUT, this::onAnswer);
            }
            endIfAnswered();
        }

        private void onAnswer(@Nullable PeerMessage message) {
            mMissingAnswers--;
            if (message instanceof PeerMessage.StreamOriginAnswer answer) {
                recordGroups(answer.found());
                answer.found().forEach(this::deliver);
                mKnownVersions.addAll(answer.versions());
                mComplete |= answer.complete();
            }
            endIfAnswered();
        }

        private void deliver(PeerMessage.OriginGroup group) {
            for (long stream : group.streams()) {
                deliver(stream, Optional.of(group.origin()));
            }
        }

        private void deliver(long stream, Optional<StreamOrigin> origin) {
            List<Consumer<Optional<StreamOrigin>>> waiting = mWaiting.remove(stream);
            if (waiting != null) {
                waiting.forEach(onFound -> onFound.accept(origin));
            }
        }

        private void endIfAnswered() {
            if (mMissingAnswers > 0) {
                return;
            }
            Optional<StreamOrigin> only =
                    mComplete && mKnownVersions.size() == 1
                            ? mKnownVersions.stream()
                                    .findAny()
                                    .map(version -> new StreamOrigin(mService, version))
                            : Optional.empty();
            List.copyOf(mWaiting.keySet()).forEach(stream -> deliver(stream, only));
        }
    }
}
