package org.bulrushvale.daemon.fleet;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.bulrushvale.adapters.caller.CallerRequest;
import org.bulrushvale.adapters.caller.CallerResponder;
import org.bulrushvale.adapters.caller.Problem;
import org.bulrushvale.adapters.peer.PeerException;
import org.bulrushvale.adapters.peer.PeerListener;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.adapters.peer.PeerTransport;
import org.bulrushvale.adapters.platform.PlatformClient;
import org.bulrushvale.adapters.platform.PlatformException;
import org.bulrushvale.adapters.platform.PlatformListener;
import org.bulrushvale.adapters.platform.PlatformReader;
import org.bulrushvale.adapters.settings.EntrySettings;
import org.bulrushvale.decision.config.ConfigDigest;
import org.bulrushvale.decision.config.ConfigStore;
import org.bulrushvale.decision.keys.KeySpaces;
import org.bulrushvale.decision.membership.ConfirmedValue;
import org.bulrushvale.decision.membership.GossipPlan;
import org.bulrushvale.decision.membership.IsolationRule;
import org.bulrushvale.decision.membership.PeerTable;
import org.bulrushvale.decision.membership.ReaderSelection;
import org.bulrushvale.decision.membership.VmList;
import org.bulrushvale.decision.retry.PoisonTable;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.time.Clock;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Connects the views of this process with the platform and with its peers.
 *
 * <pre>{@code
 * FleetNode node = FleetNode.create(settings, loop, clock, config, spaces, poison);
 * node.start(events);
 * }</pre>
 *
 * <p>Gossip is a request that its receiver answers with its own gossip. Only answers confirm views
 * and count as contact, dated with the time of the request: a one-way message could have waited in
 * a socket buffer while this process was paused.
 *
 * <p>Thread safety: owned by the event loop, but {@link #start}, {@link #close}, {@link #port} and
 * {@link #isIsolated}.
 */
public final class FleetNode implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(FleetNode.class);
    private static final Duration TICK = Duration.ofMillis(100);
    private static final Duration ROUND = Duration.ofSeconds(1);
    private static final Duration GOSSIP_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration SERVICE_INTERVAL = Duration.ofSeconds(1);
    private static final int STARTUP_PEERS = 3;

    private final EntrySettings mSettings;
    private final String mSelf;
    private final String mIncarnation;
    private final EventLoop mLoop;
    private final Clock mClock;
    private final FleetViews mViews;
    private final KeySpaces mSpaces;
    private final PeerAddresses mAddresses;
    private final GossipPlan mPlan;
    private final StartupCheck mStartup;
    private final PeerTransport mTransport;
    private final ConfigFetcher mFetcher;
    private final KeyMover mMover;
    private final KeyForwarder mForwarder;
    private final PoisonNotices mPoison;
    private WarmthExchange mWarmth = WarmthExchange.none();
    private volatile @Nullable Events mEvents;
    private volatile @Nullable PlatformReader mReader;
    private volatile Consumer<ConfirmedValue<VmList>> mOnVmList = view -> {};
    private boolean mDraining;
    private boolean mWatches;
    private long mLastRound;
    private long mLastServiceRead;
    private @Nullable Runnable mOnHandedOver;
    private long mHandoverSince;

    private FleetNode(
            EntrySettings settings,
            EventLoop loop,
            Clock clock,
            ConfigStore config,
            KeySpaces spaces,
            PoisonTable poison)
            throws PeerException {
        mSettings = settings;
        mSelf = settings.entry().vm();
        mIncarnation = GossipText.space(spaces.incarnation());
        mLoop = loop;
        mClock = clock;
        mSpaces = spaces;
        EntrySettings.Peer peer = settings.peer();
        mAddresses = new PeerAddresses(peer.peers(), peer.address() + ":" + peer.port());
        mViews = new FleetViews(mSelf, mAddresses.namedCount(), clock, config);
        mPlan = GossipPlan.create(mSelf, new SplittableRandom().nextLong());
        mStartup = new StartupCheck(clock);
        mLastRound = clock.monotonicNanos();
        mLastServiceRead = mLastRound;
        mTransport =
                PeerTransport.builder()
                        .fleet(settings.entry().fleet())
                        .sender(mSelf, mIncarnation)
                        .secret(peer.secret().getBytes(StandardCharsets.UTF_8))
                        .bind(new InetSocketAddress(peer.address(), peer.port()))
                        .resolver(mAddresses::resolve)
                        .accept(mAddresses::accepts)
                        .listener(this::receivedOnTransport)
                        .clock(clock)
                        .start();
        mFetcher = new ConfigFetcher(loop, clock, config, mTransport, this::offer);
        mMover = new KeyMover(loop, spaces, mTransport);
        mForwarder = new KeyForwarder(loop, mTransport, mIncarnation);
        mPoison = new PoisonNotices(loop, poison, mTransport, this::targets);
    }

    /** Binds the peer listener; nothing is read or sent before {@link #start}. */
    public static FleetNode create(
            EntrySettings settings,
            EventLoop loop,
            Clock clock,
            ConfigStore config,
            KeySpaces spaces,
            PoisonTable poison)
            throws PeerException {
        return new FleetNode(settings, loop, clock, config, spaces, poison);
    }

    /**
     * What the daemon does with news of the fleet.
     *
     * <p>Thread safety: called on the event loop.
     */
    public interface Events {
        /** Called after a revision was accepted, and once when the process may become ready. */
        void configChanged(boolean startupComplete);

        /** Called when new work may be routed again after a pause. */
        void routable();

        /** Takes a request that a peer forwarded because this process holds its key. */
        void forwarded(CallerRequest request, CallerResponder reply);
    }

    /**
     * Starts to follow the platform and to talk to peers.
     *
     * @param onVmList receives the VM list on the event loop whenever it changes or is confirmed
     */
    public void start(Events events, Consumer<ConfirmedValue<VmList>> onVmList) {
        mEvents = events;
        mOnVmList = onVmList;
        EntrySettings.Platform platform = mSettings.platform();
        mReader =
                PlatformReader.start(
                        PlatformClient.create(platform.configUrl(), PLATFORM_TIMEOUT),
                        PlatformClient.create(platform.vmsUrl(), PLATFORM_TIMEOUT),
                        new PlatformFeed(),
                        mClock,
                        new SplittableRandom().nextLong());
        mLoop.scheduleWithFixedDelay(TICK, this::tick);
    }

    /** Returns the TCP port of the peer listener. */
    public int port() {
        return mTransport.address().getPort();
    }

    /** Returns true when new work must be refused. */
    public boolean isIsolated() {
        return mViews.isIsolated();
    }

    /** Returns true when new work may be routed with the present views. */
    public boolean mayRoute() {
        return mViews.mayRoute();
    }

    /** Returns the views. */
    public FleetViews views() {
        return mViews;
    }

    /** Returns the sender of keyed requests to their holders. */
    public KeyForwarder forwarder() {
        return mForwarder;
    }

    /** Returns the sender of suspicions and convictions. */
    public PoisonNotices poison() {
        return mPoison;
    }

    /** Sets the source and destination of warmth announcements. */
    public void warmth(WarmthExchange warmth) {
        mWarmth = warmth;
    }

    /** Adds what is known of the fleet to the status report. */
    public void status(ObjectNode json) {
        FleetReports.status(json, mViews, mSpaces, mClock);
    }

    /** Adds the peers to their report. */
    public void peers(ArrayNode list) {
        FleetReports.peers(list, mViews, mSelf, mClock);
    }

    /** Tells all peers that this process leaves. */
    public void startDraining() {
        mDraining = true;
        PeerMessage leaving =
                new PeerMessage.LeaveNotice(new PeerMessage.Sender(mSelf, mIncarnation));
        targets().forEach(peer -> mTransport.send(peer, leaving));
    }

    /** Hands all key spaces over and runs {@code onEnd} when nothing is left to do. */
    public void handOver(Runnable onEnd) {
        mOnHandedOver = onEnd;
        mHandoverSince = mClock.monotonicNanos();
        if (targets().isEmpty()) {
            onEnd.run();
            mOnHandedOver = null;
            return;
        }
        targets().forEach(this::exchange);
    }

    @Override
    public void close() {
        PlatformReader reader = mReader;
        if (reader != null) {
            reader.close();
        }
        mTransport.close();
    }

    /** Cuts the links to a peer, for tests. */
    public PeerTransport peerTransport() {
        return mTransport;
    }

    private List<String> targets() {
        List<String> names = new ArrayList<>(mAddresses.names());
        names.remove(mSelf);
        return names;
    }

    // Periodic work

    private void tick() {
        boolean couldRoute = !mViews.isRefreshing();
        boolean paused = mViews.tick();
        boolean confirmed =
                mViews.vms()
                        .view()
                        .map(v -> !v.isOlderThan(IsolationRule.LIMIT, mClock.monotonicNanos()))
                        .orElse(false);
        mAddresses.update(mViews.vms().list(), confirmed);
        mPlan.setPeers(targets());
        askService(paused);
        if (paused || mClock.elapsedSince(mLastRound).compareTo(ROUND) >= 0) {
            mLastRound = mClock.monotonicNanos();
            round();
            mSpaces.removeExpiredSpaces();
        }
        stepHandover();
        checkStartup();
        if (!couldRoute && !mViews.isRefreshing()) {
            events(Events::routable);
        }
    }

    private void askService(boolean paused) {
        PlatformReader reader = mReader;
        if (reader == null) {
            return;
        }
        boolean watches = ReaderSelection.isReader(mViews.vms().list(), mSelf);
        if (watches != mWatches) {
            mWatches = watches;
            reader.watching(watches);
        }
        boolean due = mClock.elapsedSince(mLastServiceRead).compareTo(SERVICE_INTERVAL) >= 0;
        if (due && (paused || mViews.needsService())) {
            mLastServiceRead = mClock.monotonicNanos();
            reader.readOnce();
        }
    }

    private void round() {
        List<PeerMessage.WarmthNotice> warmth = GossipText.warmth(mWarmth.drain());
        PeerMessage.Gossip gossip = gossip(warmth);
        int wanted = GossipPlan.FANOUT;
        if (ReaderSelection.needsFallbackRead(mViews.serviceAge())) {
            // Without the service, contact with a majority must be shown within 4 s.
            wanted = Math.max(wanted, (targets().size() + 2) / 3);
        }
        List<String> chosen = new ArrayList<>(mPlan.nextPeers());
        List<String> more = chosen;
        while (chosen.size() < wanted && !more.isEmpty()) {
            more = new ArrayList<>(mPlan.nextPeers());
            more.removeAll(chosen);
            chosen.addAll(more);
        }
        chosen.forEach(peer -> exchange(peer, gossip, () -> {}));
    }

    private void stepHandover() {
        Runnable onHandedOver = mOnHandedOver;
        if (onHandedOver == null) {
            return;
        }
        if (successors().isEmpty() && !mSpaces.heldSpaceIds().isEmpty()) {
            targets().forEach(this::exchange);
        }
        if (mMover.step(this::successors)) {
            mOnHandedOver = null;
            onHandedOver.run();
        }
    }

    /** Returns peers that have answered since the handover began and do not drain. */
    private List<PeerTable.Peer> successors() {
        VmList list = mViews.vms().list();
        return mViews.peers().peers().stream()
                .filter(peer -> peer.heardAtNanos() - mHandoverSince >= 0)
                .filter(peer -> !peer.report().draining())
                .filter(peer -> list.vm(peer.vm()).map(vm -> !vm.leaving()).orElse(true))
                .filter(peer -> mAddresses.resolve(peer.vm()).isPresent())
                .toList();
    }

    private void checkStartup() {
        boolean before = mStartup.wasComplete();
        if (!before && mStartup.isComplete(mFetcher.isActive())) {
            events(events -> events.configChanged(true));
        }
    }

    // Gossip

    private PeerMessage.Gossip gossip(List<PeerMessage.WarmthNotice> warmth) {
        ConfigStore config = mViews.config();
        long now = mClock.monotonicNanos();
        return new PeerMessage.Gossip(
                new PeerMessage.Sender(mSelf, mIncarnation),
                new PeerMessage.ConfigState(
                        config.revision(),
                        config.digest(),
                        config.confirmationAge().map(Duration::toMillis).orElse(0L)),
                mViews.vms().list().version(),
                mViews.vms().view().map(view -> view.age(now).toMillis()).orElse(0L),
                warmth,
                mPoison.next(),
                mDraining,
                GossipText.spaces(mSpaces.heldSpaceIds()));
    }

    private void exchange(String peer) {
        exchange(peer, gossip(List.of()), () -> {});
    }

    private void exchange(String peer, PeerMessage.Gossip gossip, Runnable onEnd) {
        long sentAt = mClock.monotonicNanos();
        mTransport
                .request(peer, gossip, GOSSIP_TIMEOUT)
                .whenComplete(
                        (answer, error) ->
                                mLoop.execute(
                                        () -> {
                                            if (answer instanceof PeerMessage.Gossip reply) {
                                                mAddresses.alias(reply.sender().vm(), peer);
                                                absorb(reply, sentAt, true);
                                            }
                                            onEnd.run();
                                        }));
    }

    /** Answers gossip; a process that was not known before gets all announcements of warmth. */
    private void onGossip(PeerMessage.Gossip gossip, PeerListener.Reply reply) {
        String vm = gossip.sender().vm();
        boolean known =
                mViews.peers()
                        .peer(vm)
                        .map(p -> p.report().incarnation().equals(gossip.sender().incarnation()))
                        .orElse(false);
        long notHeard = mClock.monotonicNanos() - 2 * IsolationRule.LIMIT.toNanos();
        absorb(gossip, notHeard, false);
        reply.send(gossip(known ? List.of() : GossipText.warmth(mWarmth.snapshot())));
    }

    private void absorb(PeerMessage.Gossip gossip, long heardAt, boolean isAnswer) {
        String vm = gossip.sender().vm();
        PeerMessage.ConfigState theirs = gossip.config();
        PeerTable.PeerReport report =
                new PeerTable.PeerReport(
                        gossip.sender().incarnation(),
                        theirs.revision(),
                        gossip.vmListVersion(),
                        gossip.draining());
        if (vm.equals(mSelf) || !mViews.peers().recordReport(vm, report, heardAt)) {
            return;
        }
        mSpaces.updatePeerSpaces(vm, GossipText.parseSpaces(gossip.heldKeySpaces()));
        mWarmth.merge(GossipText.parseWarmth(gossip.warmth()));
        mPoison.merge(gossip.poison());
        ConfigStore config = mViews.config();
        if (isAnswer) {
            Duration transit = mClock.elapsedSince(heardAt);
            if (theirs.digest().equals(config.digest())) {
                config.confirm(theirs.revision(), age(theirs.confirmationAgeMillis(), transit));
            }
            Duration listAge = age(gossip.vmListAgeMillis(), transit);
            if (mViews.vms().confirm(gossip.vmListVersion(), listAge)) {
                mViews.vms().view().ifPresent(mOnVmList);
            }
        }
        if (theirs.revision() > config.revision()
                && !config.isRefused(theirs.revision())
                && mAddresses.resolve(vm).isPresent()) {
            mFetcher.fetch(vm);
        }
    }

    private static Duration age(long statedMillis, Duration transit) {
        return Duration.ofMillis(Math.max(0, statedMillis)).plus(transit);
    }

    private void offer(long revision, Map<String, String> values, Duration age) {
        ConfigStore config = mViews.config();
        ConfigStore.OfferResult offer =
                config.offer(revision, ConfigDigest.of(values), values, age);
        if (offer == ConfigStore.OfferResult.ACCEPTED) {
            LOG.infof("configuration revision %d is in force", revision);
            PlatformReader reader = mReader;
            if (reader != null) {
                reader.noteRevision(revision);
            }
            mPlan.pushTargets(mViews.peers(), revision).forEach(this::exchange);
            events(events -> events.configChanged(false));
        } else if (offer != ConfigStore.OfferResult.SAME) {
            LOG.warnf("configuration revision %d not accepted: %s", revision, offer);
        }
    }

    private void askPeersAtStart() {
        mAddresses.update(mViews.vms().list(), mViews.vms().view().isPresent());
        List<String> peers = targets();
        mPlan.setPeers(peers);
        int count = Math.min(STARTUP_PEERS, peers.size());
        if (mStartup.onListKnown(count)) {
            List<String> chosen = mPlan.nextPeers();
            chosen.subList(0, count)
                    .forEach(peer -> exchange(peer, gossip(List.of()), mStartup::onPeerAsked));
        }
    }

    // Messages of peers

    private void receivedOnTransport(
            PeerMessage.Sender from, PeerMessage message, PeerListener.Reply reply) {
        if (message instanceof PeerMessage.Gossip gossip) {
            // Gossip of another process would let one peer speak for all.
            if (gossip.sender().equals(from)) {
                mLoop.offer(() -> onGossip(gossip, reply));
            }
        } else if (message instanceof PeerMessage.ConfigFetch fetch) {
            mLoop.offer(() -> reply.send(ConfigTransfer.answer(fetch, mViews.config())));
        } else if (message instanceof PeerMessage.KeyHolderRequest forward) {
            onForward(forward, KeyForwarder.replyTo(forward, reply));
        } else if (message instanceof PeerMessage.PoisonNotice notice) {
            mLoop.execute(() -> mPoison.receive(notice, reply));
        } else if (message instanceof PeerMessage.KeyHandover handover) {
            mLoop.execute(() -> onHandover(handover, reply));
        } else if (message instanceof PeerMessage.LeaveNotice) {
            mLoop.offer(() -> onLeaving(from));
        }
    }

    private void onForward(PeerMessage.KeyHolderRequest forward, CallerResponder reply) {
        boolean accepted =
                mLoop.offer(
                        () ->
                                KeyForwarder.parse(forward, reply)
                                        .ifPresent(
                                                request ->
                                                        events(e -> e.forwarded(request, reply))));
        if (!accepted) {
            reply.fail(Problem.refusal(ErrorCode.OVERLOADED, "entry is busy", true));
        }
    }

    private void onHandover(PeerMessage.KeyHandover handover, PeerListener.Reply reply) {
        if (mMover.receive(handover, reply)) {
            // Until peers know the new holder, they cannot forward requests with these keys.
            targets().stream().limit(2 * GossipPlan.FANOUT).forEach(this::exchange);
        }
    }

    private void onLeaving(PeerMessage.Sender from) {
        PeerTable.Peer peer = mViews.peers().peer(from.vm()).orElse(null);
        if (peer != null && peer.report().incarnation().equals(from.incarnation())) {
            PeerTable.PeerReport r = peer.report();
            mViews.peers()
                    .recordReport(
                            from.vm(),
                            new PeerTable.PeerReport(
                                    r.incarnation(), r.configRevision(), r.vmListVersion(), true),
                            peer.heardAtNanos());
        }
    }

    private void events(Consumer<Events> call) {
        Events events = mEvents;
        if (events != null) {
            call.accept(events);
        }
    }

    /** Hands what the platform said over to the event loop. */
    private final class PlatformFeed implements PlatformListener {
        @Override
        public void onConfig(long revision, Map<String, String> values, long askedAtNanos) {
            mLoop.execute(
                    () -> {
                        answered(askedAtNanos);
                        offer(revision, values, mClock.elapsedSince(askedAtNanos));
                    });
        }

        @Override
        public void onConfirmed(long revision, long askedAtNanos) {
            mLoop.execute(
                    () -> {
                        answered(askedAtNanos);
                        mViews.config().confirm(revision, mClock.elapsedSince(askedAtNanos));
                    });
        }

        @Override
        public void onStale(long revision, long known) {
            LOG.debugf("configuration service is stale: %d, known %d", revision, known);
            long now = mClock.monotonicNanos();
            mLoop.execute(() -> answered(now));
        }

        @Override
        public void onVmList(VmList list, long askedAtNanos) {
            mLoop.execute(
                    () -> {
                        if (mViews.vms().offer(list, mClock.elapsedSince(askedAtNanos))) {
                            mViews.peers().retainListed(list);
                        }
                        mViews.vms().view().ifPresent(mOnVmList);
                        askPeersAtStart();
                    });
        }

        @Override
        public void onFailure(PlatformException failure) {
            LOG.debugf("platform: %s", failure.detail());
            mLoop.execute(
                    () -> {
                        if (failure.detail().startsWith("/v1/vms")) {
                            askPeersAtStart();
                        } else {
                            mStartup.onServiceAsked();
                        }
                    });
        }

        private void answered(long askedAtNanos) {
            mViews.serviceAnswered(askedAtNanos);
            mStartup.onServiceAsked();
        }
    }
}
