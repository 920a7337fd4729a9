package org.bulrushvale.daemon.forward;

import static org.bulrushvale.adapters.peer.PeerMessage.StageResults.NO_RETURN_TIME;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.bulrushvale.adapters.forward.CompletedPiece;
import org.bulrushvale.adapters.forward.PieceOrder;
import org.bulrushvale.adapters.forward.StageJob;
import org.bulrushvale.adapters.peer.PeerException;
import org.bulrushvale.adapters.peer.PeerListener;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.adapters.peer.PeerTransport;
import org.bulrushvale.adapters.settings.ForwardSettings;
import org.bulrushvale.adapters.settings.ForwardSettings.CollectorVms;
import org.bulrushvale.daemon.FleetNotices;
import org.bulrushvale.decision.forward.LeavingServer;
import org.bulrushvale.decision.forward.MemberTable;
import org.bulrushvale.decision.forward.ServerSpeed;
import org.bulrushvale.decision.forward.StatedRate;
import org.bulrushvale.decision.retry.CrashRecord;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Keeps track of the members of the fleet and executes each stage job at the collector of its
 * service.
 *
 * <p>The collector of a stage service is the member that queues the pieces of all entries for that
 * service and sends them to its servers.
 *
 * <p>The name of a member is the host of its peer listener; all members use the same port.
 *
 * <p>Invariant: a job whose collector fails is executed again by another collector or by this
 * entry; results are delivered once. Thread safety: used on the event loop; messages of peers are
 * passed to it.
 */
final class FleetStageExecutor
        implements StageExecutor,
                PublishedStateRelay.PeerRequester,
                FleetNotices.Peers,
                AutoCloseable {
    private static final Duration EXCHANGE_PERIOD = Duration.ofSeconds(1);

    // A starting entry exchanges member lists more often, because an entry that does not know the
    // others overloads the stage services.
    private static final Duration STARTUP_EXCHANGE_PERIOD = Duration.ofMillis(150);
    private static final int STARTUP_EXCHANGES = 16;
    private static final Duration JOIN_RECHECK_PERIOD = Duration.ofMillis(20);
    private static final Duration HEARTBEAT_PERIOD = Duration.ofMillis(300);
    private static final Duration SILENCE_LIMIT = Duration.ofMillis(1_000);

    // Gossip goes to other members in each round. Heartbeats on a link to every one of them would
    // grow with the square of the fleet.
    private static final Duration IDLE_LIMIT = Duration.ofSeconds(3);

    // A link of one round carries a member list and two digests. Heartbeats on it cost more than to
    // dial it again, and it ends before the first one is due.
    private static final int BRIEF_LINK_USES = 4;
    private static final Duration BRIEF_IDLE_LIMIT = Duration.ofMillis(150);
    private static final Duration MIN_BACKOFF = Duration.ofMillis(100);
    private static final Duration MAX_BACKOFF = Duration.ofMillis(1_000);

    // Allows for the stage call of a piece that starts at the last moment. A dead collector is
    // detected earlier, by the silence limit.
    private static final Duration REPLY_TIMEOUT_MARGIN = Duration.ofSeconds(4);
    private static final int MAX_COLLECTOR_ATTEMPTS = 2;

    private final ForwardSettings mSettings;
    private final EventLoop mLoop;
    private final Clock mClock;
    private final DecisionLog mLog;
    private final MemberTable mMembers;
    private final LocalStageExecutor mLocalExecutor;
    private final PeerTransport mTransport;
    private final Map<String, Set<Runnable>> mPeerJobs = new HashMap<>();
    private final Map<String, RemoteJob> mRemoteJobs = new HashMap<>();
    private Set<String> mLiveMembers = Set.of();
    private List<String> mRoundTargets = List.of();
    private BiConsumer<PeerMessage.PublishedFetch, PeerListener.Responder> mPublishedFetchHandler =
            (fetch, reply) -> {};
    private Function<PeerMessage.StreamOriginCopies, PeerMessage> mOriginCopiesHandler =
            copies -> copies;
    private Function<PeerMessage.StreamOriginQuery, PeerMessage> mOriginQueryHandler =
            query -> query;
    private Function<PeerMessage.CrashNotice, PeerMessage> mCrashNoticeHandler = notice -> notice;
    private Function<PeerMessage.RateNotice, PeerMessage> mRateNoticeHandler = notice -> notice;
    private Consumer<PeerMessage.SpeedNotice> mSpeedNoticeHandler = notice -> {};
    private Function<PeerMessage.LeavingNotice, PeerMessage> mLeavingNoticeHandler =
            notice -> notice;

    private FleetStageExecutor(
            ForwardSettings settings,
            EventLoop loop,
            Clock clock,
            DecisionLog log,
            MemberTable members,
            LocalStageExecutor localExecutor)
            throws PeerException {
        mSettings = settings;
        mLoop = loop;
        mClock = clock;
        mLog = log;
        mMembers = members;
        mLocalExecutor = localExecutor;
        mTransport =
                PeerTransport.builder()
                        .fleet(settings.fleet().name())
                        .sender(ownName(settings), UUID.randomUUID().toString())
                        .secret(settings.fleet().secret().getBytes(StandardCharsets.UTF_8))
                        .bind(settings.listeners().peers())
                        .accept(address -> true)
                        .resolver(this::resolve)
                        .listener(this::onMessage)
                        .heartbeat(HEARTBEAT_PERIOD, SILENCE_LIMIT)
                        .idleLimit(IDLE_LIMIT)
                        .briefIdleLimit(BRIEF_LINK_USES, BRIEF_IDLE_LIMIT)
                        .backoff(MIN_BACKOFF, MAX_BACKOFF)
                        .clock(clock)
                        .start();
    }

    /** Creates the table of members for these settings. */
    static MemberTable createMemberTable(ForwardSettings settings, Clock clock) {
        return new MemberTable(
                clock,
                new SplittableRandom(),
                ownName(settings),
                settings.entry().failureDomain(),
                seedNames(settings),
                new MemberTable.VmChoice(
                        settings.features().vm().capacity(),
                        settings.features().stages().collectorVms() == CollectorVms.STRONG));
    }

    static FleetStageExecutor start(
            ForwardSettings settings,
            EventLoop loop,
            Clock clock,
            DecisionLog log,
            MemberTable members,
            LocalStageExecutor localExecutor)
            throws PeerException {
        FleetStageExecutor executor =
                new FleetStageExecutor(settings, loop, clock, log, members, localExecutor);
        loop.execute(executor::exchangeMemberLists);
        for (int i = 1; i < STARTUP_EXCHANGES; i++) {
            loop.schedule(STARTUP_EXCHANGE_PERIOD.multipliedBy(i), executor::exchangeMemberLists);
        }
        loop.scheduleWithFixedDelay(EXCHANGE_PERIOD, executor::exchangeMemberLists);
        return executor;
    }

    private static String ownName(ForwardSettings settings) {
        return settings.listeners().peers().getHostString();
    }

    private static Set<String> seedNames(ForwardSettings settings) {
        return settings.fleet().seeds().stream()
                .map(InetSocketAddress::getHostString)
                .collect(Collectors.toUnmodifiableSet());
    }

    private Optional<InetSocketAddress> resolve(String member) {
        int port = mSettings.listeners().peers().getPort();
        return Optional.of(new InetSocketAddress(member, port));
    }

    /** Replaces the seeds by those of changed settings. */
    void updateSeeds(ForwardSettings settings) {
        mLoop.execute(() -> mMembers.setSeeds(seedNames(settings)));
    }

    /** Announces to the members that this entry leaves. */
    void drain() {
        mMembers.markLeaving();
        exchangeMemberLists();
    }

    /** Hands the stage collection of this entry over to other members, or takes part again. */
    void setOverloaded(boolean overloaded) {
        mMembers.setOverloaded(overloaded);
        exchangeMemberLists();
    }

    private void exchangeMemberLists() {
        logMembershipChange();
        mLocalExecutor.updateCollectors();
        PeerMessage message = memberList();
        mRoundTargets = List.copyOf(mMembers.gossipTargets());
        long sentNanos = mClock.monotonicNanos();
        for (String member : mRoundTargets) {
            mTransport
                    .request(member, message, SILENCE_LIMIT)
                    .whenComplete(
                            (answer, error) -> {
                                if (answer instanceof PeerMessage.MemberList members) {
                                    mLoop.execute(
                                            () ->
                                                    recordMembers(
                                                            members,
                                                            mClock.elapsedSince(sentNanos)));
                                }
                            });
        }
    }

    private PeerMessage memberList() {
        return new PeerMessage.MemberList(
                mMembers.knownMembers().stream()
                        .map(
                                heard ->
                                        new PeerMessage.Member(
                                                heard.name(),
                                                heard.domain(),
                                                heard.leaving(),
                                                heard.overloaded(),
                                                heard.age().toMillis(),
                                                heard.capacity()))
                        .toList());
    }

    private void recordMembers(PeerMessage.MemberList members, Duration transit) {
        List<MemberTable.MemberReport> reports = new ArrayList<>();
        for (PeerMessage.Member member : members.members()) {
            reports.add(
                    new MemberTable.MemberReport(
                            member.vm(),
                            member.failureDomain(),
                            member.leaving(),
                            member.overloaded(),
                            Duration.ofMillis(Math.max(0, member.ageMillis())),
                            member.capacity()));
        }
        mMembers.recordReports(reports, transit);
    }

    private void logMembershipChange() {
        Set<String> live = new HashSet<>(mMembers.live());
        if (!live.equals(mLiveMembers)) {
            mLiveMembers = live;
            mLog.line("members")
                    .with("count", live.size())
                    .with("divisor", mMembers.entryCount())
                    .writeAlways();
        }
    }

    private void onMessage(
            PeerMessage.Sender from, PeerMessage message, PeerListener.Responder reply) {
        mLoop.execute(() -> handle(from.vm(), message, reply));
    }

    private void handle(String from, PeerMessage message, PeerListener.Responder reply) {
        if (message instanceof PeerMessage.MemberList members) {
            recordMembers(members, MemberTable.TRANSIT_ALLOWANCE);
            reply.send(memberList());
        } else if (message instanceof PeerMessage.StageOrder order) {
            executeForPeer(from, order.job(), reply);
        } else if (message instanceof PeerMessage.StageCancel cancel) {
            Set<Runnable> jobs = mPeerJobs.remove(cancel.requestId());
            if (jobs != null) {
                jobs.forEach(Runnable::run);
            }
        } else if (message instanceof PeerMessage.StageInputsRead read) {
            RemoteJob job = mRemoteJobs.get(jobName(read.requestId(), read.stage()));
            if (job != null) {
                job.onInputsRead(from);
            }
        } else if (message instanceof PeerMessage.StageRelease release) {
            mLocalExecutor.release(release.service(), release.pieces());
        } else if (message instanceof PeerMessage.PublishedFetch fetch) {
            mPublishedFetchHandler.accept(fetch, reply);
        } else if (message instanceof PeerMessage.StreamOriginCopies copies) {
            reply.send(mOriginCopiesHandler.apply(copies));
        } else if (message instanceof PeerMessage.StreamOriginQuery query) {
            reply.send(mOriginQueryHandler.apply(query));
        } else if (message instanceof PeerMessage.CrashNotice notice) {
            reply.send(mCrashNoticeHandler.apply(notice));
        } else if (message instanceof PeerMessage.RateNotice notice) {
            reply.send(mRateNoticeHandler.apply(notice));
        } else if (message instanceof PeerMessage.LeavingNotice notice) {
            reply.send(mLeavingNoticeHandler.apply(notice));
        } else if (message instanceof PeerMessage.SpeedNotice notice) {
            mSpeedNoticeHandler.accept(notice);
        }
    }

    /** Begins to exchange notices with the other members. */
    void exchangeNotices(FleetNotices<CrashRecord> crashes, FleetNotices<StatedRate> rates) {
        mLoop.execute(
                () -> {
                    mCrashNoticeHandler = crashes::receive;
                    mRateNoticeHandler = rates::receive;
                });
        crashes.start(mLoop, this);
        rates.start(mLoop, this);
    }

    /** Begins to share the speed of servers with the members of the same failure domain. */
    void shareSpeeds(ServerSpeed speed) {
        SpeedExchange exchange =
                new SpeedExchange(speed, mMembers, new SplittableRandom(), mTransport::send);
        mLoop.execute(() -> mSpeedNoticeHandler = exchange::receive);
        exchange.start(mLoop);
    }

    /** Begins to exchange with the other members which servers leave. */
    void exchangeLeavingNotices(FleetNotices<LeavingServer> leaving) {
        mLoop.execute(() -> mLeavingNoticeHandler = leaving::receive);
        leaving.start(mLoop, this);
    }

    @Override
    public Collection<String> choose(int count) {
        return mMembers.randomMembers(count);
    }

    /** Returns random members that the last round of gossip was sent to, over the same links. */
    @Override
    public Collection<String> chooseConnected(int count) {
        List<String> connected = new ArrayList<>(mRoundTargets);
        connected.retainAll(new HashSet<>(mMembers.live()));
        // The order of the round depends on the names, which would prefer some members.
        Collections.shuffle(connected);
        return connected.size() < count ? choose(count) : connected.subList(0, count);
    }

    @Override
    public <R> void request(
            String peer,
            PeerMessage.Notice<R> notice,
            Consumer<PeerMessage.@Nullable Notice<R>> onAnswer) {
        request(peer, notice, SILENCE_LIMIT, answer -> onAnswer.accept(notice.answer(answer)));
    }

    /** Begins to exchange the origins of streams with the other members. */
    void exchangeOrigins(StreamOriginExchange origins, BooleanSupplier isStateFresh) {
        mLoop.execute(
                () -> {
                    mOriginCopiesHandler = origins::receive;
                    mOriginQueryHandler = origins::answer;
                });
        origins.start(this, isStateFresh);
    }

    /** Sets what answers entries that ask for the published state. */
    void onPublishedFetch(BiConsumer<PeerMessage.PublishedFetch, PeerListener.Responder> handler) {
        mLoop.execute(() -> mPublishedFetchHandler = handler);
    }

    @Override
    public void request(
            String member,
            PeerMessage message,
            Duration timeout,
            Consumer<@Nullable PeerMessage> onAnswer) {
        mTransport
                .request(member, message, timeout)
                .whenComplete((answer, error) -> mLoop.execute(() -> onAnswer.accept(answer)));
    }

    private static String jobName(String requestId, int stage) {
        return requestId + "/" + stage;
    }

    private void executeForPeer(String from, StageJob job, PeerListener.Responder reply) {
        if (job.pieces().isEmpty()) {
            reply.send(new PeerMessage.StageResults(List.of(), NO_RETURN_TIME));
            return;
        }
        String request = job.pieces().get(0).requestId();
        int stage = job.pieces().get(0).stage();
        PeerJob peerJob = new PeerJob();
        // Registers the job first, because execute() may deliver the results before it returns.
        mPeerJobs.computeIfAbsent(request, id -> new HashSet<>()).add(peerJob);
        peerJob.mCancel =
                mLocalExecutor.execute(
                        job,
                        () ->
                                mTransport.send(
                                        from, new PeerMessage.StageInputsRead(request, stage)),
                        results -> {
                            removePeerJob(request, peerJob);
                            reply.send(results);
                        });
    }

    private void removePeerJob(String request, Runnable job) {
        Set<Runnable> jobs = mPeerJobs.get(request);
        if (jobs != null && jobs.remove(job) && jobs.isEmpty()) {
            mPeerJobs.remove(request);
        }
    }

    @Override
    public Runnable execute(
            StageJob job, Runnable onInputsRead, Consumer<PeerMessage.StageResults> onDone) {
        RemoteJob remote = new RemoteJob(job, onInputsRead, onDone);
        remote.start();
        return remote::cancel;
    }

    @Override
    public void release(String service, List<CompletedPiece> pieces) {
        if (pieces.isEmpty()) {
            return;
        }
        String collector = mMembers.collector(service);
        if (collector.equals(ownName(mSettings))
                || !mTransport.send(collector, new PeerMessage.StageRelease(service, pieces))) {
            mLocalExecutor.release(service, pieces);
        }
    }

    /** Returns the number of requests of other entries whose stage jobs run here. */
    int peerRequestCount() {
        return mPeerJobs.size();
    }

    @Override
    public void close() {
        mTransport.close();
    }

    /**
     * A job that this entry executes for another one; running it cancels the job.
     *
     * <p>Thread safety: used on the event loop.
     */
    private static final class PeerJob implements Runnable {
        private Runnable mCancel = () -> {};

        @Override
        public void run() {
            mCancel.run();
        }
    }

    /**
     * A job that the collector of its service executes, or this entry when collectors fail.
     *
     * <p>Thread safety: used on the event loop.
     */
    private final class RemoteJob {
        private final StageJob mJob;
        private final Runnable mOnInputsRead;
        private final Consumer<PeerMessage.StageResults> mOnDone;
        private String mCollector = "";
        private int mCollectorAttempts;
        private boolean mEnded;
        private Runnable mCancel = () -> {};

        RemoteJob(StageJob job, Runnable onInputsRead, Consumer<PeerMessage.StageResults> onDone) {
            mJob = job;
            mOnInputsRead = onInputsRead;
            mOnDone = onDone;
        }

        void start() {
            if (mEnded) {
                return;
            }
            if (mMembers.isJoining()) {
                mLoop.schedule(JOIN_RECHECK_PERIOD, this::start);
                return;
            }
            String collector = mMembers.collector(mJob.service());
            if (mCollectorAttempts >= MAX_COLLECTOR_ATTEMPTS
                    || collector.equals(ownName(mSettings))) {
                // From now on no collector knows anything about the pieces.
                mCollector = "";
                mRemoteJobs.remove(name(), this);
                mCancel = mLocalExecutor.execute(mJob, mOnInputsRead, this::complete);
                return;
            }
            mCollectorAttempts++;
            mCollector = collector;
            mRemoteJobs.put(name(), this);
            String request = mJob.pieces().get(0).requestId();
            mCancel = () -> mTransport.send(collector, new PeerMessage.StageCancel(request));
            Duration timeout =
                    Duration.ofMillis(Math.max(0, mJob.giveUpMillis())).plus(REPLY_TIMEOUT_MARGIN);
            mTransport
                    .request(collector, new PeerMessage.StageOrder(mJob), timeout)
                    .whenComplete(
                            (answer, error) ->
                                    mLoop.execute(
                                            () -> onCollectorAnswer(collector, answer, error)));
        }

        private String name() {
            PieceOrder first = mJob.pieces().get(0);
            return jobName(first.requestId(), first.stage());
        }

        /** A collector that was replaced states nothing about the pieces of its successor. */
        void onInputsRead(String from) {
            if (!mEnded && from.equals(mCollector)) {
                mOnInputsRead.run();
            }
        }

        private void end() {
            mEnded = true;
            mRemoteJobs.remove(name(), this);
        }

        private void onCollectorAnswer(
                String collector, @Nullable PeerMessage answer, @Nullable Throwable error) {
            if (mEnded) {
                if (answer instanceof PeerMessage.StageResults results) {
                    release(mJob.service(), mJob.completedPieces(results.results()));
                }
                return;
            }
            if (answer instanceof PeerMessage.StageResults results
                    && results.results().size() == mJob.pieces().size()) {
                complete(results);
                return;
            }
            mMembers.recordFailure(collector);
            mLog.line("collector_lost")
                    .with("collector", collector)
                    .with("service", mJob.service())
                    .with("request", mJob.pieces().get(0).requestId())
                    .with("detail", String.valueOf(error))
                    .write();
            start();
        }

        private void complete(PeerMessage.StageResults results) {
            if (!mEnded) {
                end();
                mOnDone.accept(results);
            }
        }

        void cancel() {
            if (!mEnded) {
                end();
                mCancel.run();
            }
        }
    }
}
