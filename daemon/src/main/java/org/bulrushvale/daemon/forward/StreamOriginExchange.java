package org.bulrushvale.daemon.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.decision.forward.BackendDirectory;
import org.bulrushvale.decision.forward.MemberTable;
import org.bulrushvale.decision.forward.ServerHistory;
import org.bulrushvale.decision.forward.ServiceVersions;
import org.bulrushvale.decision.forward.StreamOrigin;
import org.bulrushvale.decision.forward.StreamOrigins;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Tells which software version a stream that a caller takes up is bound to at a service, also when
 * other entries served the stream before.
 *
 * <p>While a service has one version for certain, nothing is exchanged. Otherwise an entry copies
 * the origins of its open streams to {@link StreamOriginCopier#HOLDERS} other entries, the same
 * ones for all its streams, so that the cost of an entry does not grow with the fleet; an entry at
 * which a stream is taken up asks all others, which is rare.
 *
 * <p>Invariants: an origin is reported only when it was recorded, when a service has had one
 * version for longer than a stream lasts, or when all servers that were published while the stream
 * can have begun lead to one version; it is never guessed. A stream counts as new to a service only
 * when its origin elsewhere is known and so many entries have answered that one of those that would
 * hold its origin at the service is among them. Thread safety: used on the event loop.
 */
final class StreamOriginExchange {
    // At 24 streams a second this is 2.4 KB/s to all holders; an entry that dies loses the origins
    // of the streams that began in the last period.
    private static final Duration COPY_PERIOD = Duration.ofMillis(150);
    // Take-ups come in numbers when an entry dies; one query asks for all of a service.
    private static final Duration GATHER_TIME = Duration.ofMillis(10);
    private static final Duration JOIN_RECHECK_PERIOD = Duration.ofMillis(20);
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(300);

    private final EventLoop mLoop;
    private final MemberTable mMembers;
    private final ServiceVersions mVersions;
    private final ServerHistory mHistory;
    private final StreamOrigins mOrigins;
    private final StreamOriginCopier mCopier;
    private final Map<String, Query> mGathering = new HashMap<>();
    private PublishedStateRelay.PeerRequester mPeers = (member, message, timeout, onAnswer) -> {};
    private BooleanSupplier mIsStateFresh = () -> false;

    StreamOriginExchange(
            EventLoop loop, Clock clock, MemberTable members, BackendDirectory directory) {
        mLoop = loop;
        mMembers = members;
        mVersions = directory.versions();
        mHistory = directory.history();
        mOrigins = new StreamOrigins(clock);
        mCopier =
                new StreamOriginCopier(
                        clock, members, mOrigins, service -> onlyOrigin(service).isPresent());
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
        mLoop.scheduleWithFixedDelay(COPY_PERIOD, () -> mCopier.copy(mPeers));
    }

    /** Records that the caller received the first event of a stream, or one after a take-up. */
    void recordEvent(long stream, StreamOrigin origin) {
        mOrigins.record(stream, origin);
        mCopier.add(stream);
    }

    /** Records that the caller received a stream completely. */
    void recordComplete(long stream) {
        mOrigins.remove(stream);
        mCopier.remove(stream);
    }

    /**
     * Finds what a stream is bound to at a service; {@code onFound} is called at the latest after
     * {@link MemberTable#JOIN_TIME} and a timeout of 300 ms.
     *
     * @param maxAge longest time since the stream began
     */
    void find(long stream, String service, Duration maxAge, Consumer<StreamBinding> onFound) {
        Optional<StreamOrigin> known = mOrigins.find(stream, service).or(() -> onlyOrigin(service));
        if (known.isPresent()) {
            onFound.accept(StreamBinding.to(known.get()));
            return;
        }
        Query gathering = mGathering.get(service);
        if (gathering == null) {
            gathering = new Query(service);
            mGathering.put(service, gathering);
            mLoop.schedule(GATHER_TIME, gathering::send);
        }
        gathering.add(stream, maxAge, onFound);
    }

    /** Returns the origin of all streams of a service that can still be taken up. */
    private Optional<StreamOrigin> onlyOrigin(String service) {
        List<String> versions = mVersions.recent(service);
        return versions.size() == 1 && mVersions.isComplete() && mIsStateFresh.getAsBoolean()
                ? Optional.of(new StreamOrigin(service, versions.get(0)))
                : Optional.empty();
    }

    private List<String> others() {
        return mMembers.live().stream().filter(name -> !name.equals(mMembers.self())).toList();
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
        return new PeerMessage.StreamOriginAnswer(
                StreamOriginCopier.group(mOrigins, query.streams()),
                mVersions.recent(query.service()),
                mVersions.isComplete());
    }

    /**
     * One question to all other entries about streams of a service.
     *
     * <p>Invariant: each stream is answered once. Thread safety: used on the event loop.
     */
    private final class Query {
        private final String mService;
        private final Map<Long, List<Consumer<StreamBinding>>> mWaiting = new HashMap<>();
        private final Map<Long, Duration> mMaxAges = new HashMap<>();
        private final Set<String> mKnownVersions = new HashSet<>();
        private boolean mComplete;
        private int mMissingAnswers;
        private int mFailedAnswers;

        Query(String service) {
            mService = service;
        }

        void add(long stream, Duration maxAge, Consumer<StreamBinding> onFound) {
            mMaxAges.merge(stream, maxAge, (a, b) -> a.compareTo(b) > 0 ? a : b);
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
                answer.found().forEach(this::deliverIfBound);
                mKnownVersions.addAll(answer.versions());
                mComplete |= answer.complete();
            } else {
                mFailedAnswers++;
            }
            endIfAnswered();
        }

        private void deliverIfBound(PeerMessage.OriginGroup group) {
            if (group.origin().service().equals(mService)) {
                group.streams()
                        .forEach(stream -> deliver(stream, StreamBinding.to(group.origin())));
            }
        }

        private void deliver(long stream, StreamBinding binding) {
            List<Consumer<StreamBinding>> waiting = mWaiting.remove(stream);
            if (waiting != null) {
                waiting.forEach(onFound -> onFound.accept(binding));
            }
        }

        private void endIfAnswered() {
            if (mMissingAnswers == 0) {
                List.copyOf(mWaiting.keySet()).forEach(stream -> deliver(stream, unbound(stream)));
            }
        }

        /** Returns what holds for a stream of which no entry knows an origin at the service. */
        private StreamBinding unbound(long stream) {
            if (mComplete && mKnownVersions.size() == 1) {
                String version = mKnownVersions.iterator().next();
                return StreamBinding.to(new StreamOrigin(mService, version));
            }
            Optional<String> beginning = beginning(stream);
            if (beginning.isPresent()) {
                // Right for a stream that is new to the service as well.
                return StreamBinding.to(new StreamOrigin(mService, beginning.get()));
            }
            boolean isElsewhere = !mOrigins.find(stream).isEmpty();
            return isElsewhere && mFailedAnswers < StreamOriginCopier.HOLDERS
                    ? StreamBinding.NONE
                    : StreamBinding.UNKNOWN;
        }

        /** Returns the version at which the published servers show that a stream began. */
        private Optional<String> beginning(long stream) {
            return mIsStateFresh.getAsBoolean()
                    ? mHistory.versionAt(
                            stream, mService, mMaxAges.getOrDefault(stream, Duration.ZERO))
                    : Optional.empty();
        }
    }
}
