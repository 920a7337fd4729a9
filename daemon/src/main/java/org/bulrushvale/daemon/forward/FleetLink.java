package org.bulrushvale.daemon.forward;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.bulrushvale.adapters.forward.CompletedPiece;
import org.bulrushvale.adapters.forward.PieceResult;
import org.bulrushvale.adapters.forward.StageJob;
import org.bulrushvale.adapters.peer.PeerException;
import org.bulrushvale.adapters.peer.PeerListener;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.adapters.peer.PeerTransport;
import org.bulrushvale.adapters.settings.ForwardSettings;
import org.bulrushvale.decision.forward.MemberTable;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Members of the fleet, and stage work at the collectors among them.
 *
 * <p>Members are named by the address of their peer listener; its port is the same everywhere.
 *
 * <p>Invariant: a job whose collector fails is made again by another one or by this entry; results
 * are delivered once. Thread safety: used on the event loop; messages of peers are handed over.
 */
final class FleetLink implements StageWork, AutoCloseable {
    private static final Duration GREET_PERIOD = Duration.ofSeconds(1);

    // After a start the fleet is found fast, because entries that are alone overload the stages.
    private static final Duration START_PERIOD = Duration.ofMillis(150);
    private static final int START_GREETINGS = 16;
    private static final Duration JOIN_RECHECK = Duration.ofMillis(20);
    private static final Duration HEARTBEAT = Duration.ofMillis(300);
    private static final Duration SILENCE = Duration.ofMillis(1_000);
    private static final Duration FIRST_BACKOFF = Duration.ofMillis(100);
    private static final Duration LONGEST_BACKOFF = Duration.ofMillis(1_000);

    // Pieces that start at the last moment take a call; a dead collector is found by its silence.
    private static final Duration REPLY_MARGIN = Duration.ofSeconds(4);
    private static final int MAX_COLLECTORS = 2;

    private final ForwardSettings mSettings;
    private final EventLoop mLoop;
    private final DecisionLog mLog;
    private final MemberTable mMembers;
    private final StageDesks mDesks;
    private final PeerTransport mTransport;
    private final Map<String, Set<Runnable>> mForOthers = new HashMap<>();
    private Set<String> mLive = Set.of();

    private FleetLink(
            ForwardSettings settings,
            EventLoop loop,
            Clock clock,
            DecisionLog log,
            MemberTable members,
            StageDesks desks)
            throws PeerException {
        mSettings = settings;
        mLoop = loop;
        mLog = log;
        mMembers = members;
        mDesks = desks;
        mTransport =
                PeerTransport.builder()
                        .fleet(settings.fleet().name())
                        .sender(self(settings), UUID.randomUUID().toString())
                        .secret(settings.fleet().secret().getBytes(StandardCharsets.UTF_8))
                        .bind(settings.listeners().peers())
                        .accept(address -> true)
                        .resolver(this::resolve)
                        .listener(this::received)
                        .heartbeat(HEARTBEAT, SILENCE)
                        .backoff(FIRST_BACKOFF, LONGEST_BACKOFF)
                        .clock(clock)
                        .start();
    }

    /** Returns the table of members for these settings. */
    static MemberTable members(ForwardSettings settings, Clock clock) {
        return new MemberTable(clock, new SplittableRandom(), self(settings), seeds(settings));
    }

    static FleetLink start(
            ForwardSettings settings,
            EventLoop loop,
            Clock clock,
            DecisionLog log,
            MemberTable members,
            StageDesks desks)
            throws PeerException {
        FleetLink link = new FleetLink(settings, loop, clock, log, members, desks);
        loop.execute(link::greet);
        for (int i = 1; i < START_GREETINGS; i++) {
            loop.schedule(START_PERIOD.multipliedBy(i), link::greet);
        }
        loop.scheduleWithFixedDelay(GREET_PERIOD, link::greet);
        return link;
    }

    private static String self(ForwardSettings settings) {
        return settings.listeners().peers().getHostString();
    }

    private static Set<String> seeds(ForwardSettings settings) {
        return settings.fleet().seeds().stream()
                .map(InetSocketAddress::getHostString)
                .collect(Collectors.toUnmodifiableSet());
    }

    private Optional<InetSocketAddress> resolve(String member) {
        int port = mSettings.listeners().peers().getPort();
        return Optional.of(new InetSocketAddress(member, port));
    }

    /** Takes over the seeds of changed settings. */
    void reloaded(ForwardSettings settings) {
        mLoop.execute(() -> mMembers.setSeeds(seeds(settings)));
    }

    /** Tells the members that this entry leaves. */
    void drain() {
        mMembers.markLeaving();
        greet();
    }

    private void greet() {
        noteChanges();
        PeerMessage message = memberList();
        for (String member : mMembers.gossipTargets()) {
            mTransport
                    .request(member, message, SILENCE)
                    .whenComplete(
                            (answer, error) -> {
                                if (answer instanceof PeerMessage.MemberList members) {
                                    mLoop.execute(() -> heard(members));
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
                                                heard.leaving(),
                                                heard.age().toMillis()))
                        .toList());
    }

    private void heard(PeerMessage.MemberList members) {
        for (PeerMessage.Member member : members.members()) {
            Duration age = Duration.ofMillis(Math.max(0, member.ageMillis()));
            mMembers.recordHeard(member.vm(), member.leaving(), age);
        }
    }

    private void noteChanges() {
        Set<String> live = new HashSet<>(mMembers.live());
        if (!live.equals(mLive)) {
            mLive = live;
            mLog.line("members")
                    .with("count", live.size())
                    .with("divisor", mMembers.entryCount())
                    .writeAlways();
        }
    }

    private void received(PeerMessage.Sender from, PeerMessage message, PeerListener.Reply reply) {
        mLoop.execute(() -> handle(message, reply));
    }

    private void handle(PeerMessage message, PeerListener.Reply reply) {
        if (message instanceof PeerMessage.MemberList members) {
            heard(members);
            reply.send(memberList());
        } else if (message instanceof PeerMessage.StageOrder order) {
            makeForOther(order.job(), reply);
        } else if (message instanceof PeerMessage.StageCancel giveUp) {
            Set<Runnable> jobs = mForOthers.remove(giveUp.requestId());
            if (jobs != null) {
                jobs.forEach(Runnable::run);
            }
        } else if (message instanceof PeerMessage.StageRelease release) {
            mDesks.release(release.service(), release.pieces());
        }
    }

    private void makeForOther(StageJob job, PeerListener.Reply reply) {
        if (job.pieces().isEmpty()) {
            reply.send(new PeerMessage.StageResults(List.of()));
            return;
        }
        String request = job.pieces().get(0).requestId();
        OtherJob other = new OtherJob();
        other.mGiveUp =
                mDesks.make(
                        job,
                        results -> {
                            forget(request, other);
                            reply.send(new PeerMessage.StageResults(results));
                        });
        mForOthers.computeIfAbsent(request, id -> new HashSet<>()).add(other);
    }

    private void forget(String request, Runnable job) {
        Set<Runnable> jobs = mForOthers.get(request);
        if (jobs != null && jobs.remove(job) && jobs.isEmpty()) {
            mForOthers.remove(request);
        }
    }

    @Override
    public Runnable make(StageJob job, Consumer<List<PieceResult>> onDone) {
        RemoteJob remote = new RemoteJob(job, onDone);
        remote.start();
        return remote::giveUp;
    }

    @Override
    public void release(String service, List<CompletedPiece> pieces) {
        if (pieces.isEmpty()) {
            return;
        }
        String collector = mMembers.collector(service);
        if (collector.equals(self(mSettings))
                || !mTransport.send(collector, new PeerMessage.StageRelease(service, pieces))) {
            mDesks.release(service, pieces);
        }
    }

    /** Returns the number of requests of other entries whose pieces are made here. */
    int makingForOthers() {
        return mForOthers.size();
    }

    @Override
    public void close() {
        mTransport.close();
    }

    /**
     * A job that this entry makes for another one; running it gives the job up.
     *
     * <p>Thread safety: used on the event loop.
     */
    private static final class OtherJob implements Runnable {
        private Runnable mGiveUp = () -> {};

        @Override
        public void run() {
            mGiveUp.run();
        }
    }

    /**
     * A job at its collector.
     *
     * <p>Thread safety: used on the event loop.
     */
    private final class RemoteJob {
        private final StageJob mJob;
        private final Consumer<List<PieceResult>> mOnDone;
        private int mCollectors;
        private boolean mEnded;
        private Runnable mGiveUp = () -> {};

        RemoteJob(StageJob job, Consumer<List<PieceResult>> onDone) {
            mJob = job;
            mOnDone = onDone;
        }

        void start() {
            if (mEnded) {
                return;
            }
            if (mMembers.isJoining()) {
                mLoop.schedule(JOIN_RECHECK, this::start);
                return;
            }
            String collector = mMembers.collector(mJob.service());
            if (mCollectors >= MAX_COLLECTORS || collector.equals(self(mSettings))) {
                mGiveUp = mDesks.make(mJob, this::done);
                return;
            }
            mCollectors++;
            String request = mJob.pieces().get(0).requestId();
            mGiveUp = () -> mTransport.send(collector, new PeerMessage.StageCancel(request));
            Duration timeout =
                    Duration.ofMillis(Math.max(0, mJob.giveUpMillis())).plus(REPLY_MARGIN);
            mTransport
                    .request(collector, new PeerMessage.StageOrder(mJob), timeout)
                    .whenComplete(
                            (answer, error) ->
                                    mLoop.execute(() -> answered(collector, answer, error)));
        }

        private void answered(
                String collector, @Nullable PeerMessage answer, @Nullable Throwable error) {
            if (mEnded) {
                if (answer instanceof PeerMessage.StageResults results) {
                    release(mJob.service(), mJob.completedPieces(results.results()));
                }
                return;
            }
            if (answer instanceof PeerMessage.StageResults results
                    && results.results().size() == mJob.pieces().size()) {
                done(results.results());
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

        private void done(List<PieceResult> results) {
            if (!mEnded) {
                mEnded = true;
                mOnDone.accept(results);
            }
        }

        void giveUp() {
            if (!mEnded) {
                mEnded = true;
                mGiveUp.run();
            }
        }
    }
}
