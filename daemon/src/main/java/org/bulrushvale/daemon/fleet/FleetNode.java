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
import org.bulrushvale.daemon.FleetNotices;
import org.bulrushvale.decision.config.ConfigDigest;
import org.bulrushvale.decision.config.ConfigStore;
import org.bulrushvale.decision.keys.KeySpaces;
import org.bulrushvale.decision.membership.ConfirmedValue;
import org.bulrushvale.decision.membership.GossipPlan;
import org.bulrushvale.decision.membership.IsolationRule;
import org.bulrushvale.decision.membership.PeerTable;
import org.bulrushvale.decision.membership.ReaderSelection;
import org.bulrushvale.decision.membership.VmList;
import org.bulrushvale.decision.retry.CrashRecord;
import org.bulrushvale.decision.retry.PoisonTable;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.time.Clock;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the views of this process up to date by reading the platform and exchanging gossip with
 * peers.
 *
 * <pre>{@code
 * FleetNode node = FleetNode.create(settings, loop, clock, config, spaces, poison);
 * node.start(eventHandler, onVmList);
 * }</pre>
 *
 * <p>Gossip is a request that the receiver answers with its own gossip. Only answers confirm views
 * and count as contact, and their age counts from the time of the request: a one-way message could
 * have waited in a socket buffer while this process was paused.
 *
 * <p>Thread safety: owned by the event loop, except {@link #start}, {@link #close}, {@link #port}
 * and {@link #isIsolated}.
 */
public final class FleetNode implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(FleetNode.class);
    private static final Duration TICK_PERIOD = Duration.ofMillis(100);
    private static final Duration GOSSIP_PERIOD = Duration.ofSeconds(1);
    private static final Duration GOSSIP_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration SERVICE_READ_PERIOD = Duration.ofSeconds(1);
    private static final int MAX_STARTUP_PEERS = 3;

    private final EntrySettings mSettings;
    private final String mOwnName;
    private final String mIncarnation;
    private final EventLoop mLoop;
    private final Clock mClock;
    private final FleetViews mViews;
    private final KeySpaces mSpaces;
    private final PeerAddresses mAddresses;
    private final GossipPlan mGossipPlan;
    private final StartupCheck mStartupCheck;
    private final PeerTransport mTransport;
    private final ConfigFetcher mFetcher;
    private final KeySpaceHandover mKeySpaceHandover;
    private final KeyForwarder mForwarder;
    private final PoisonNotifier mPoisonNotifier;
    private WarmthExchange mWarmth = WarmthExchange.none();
    private volatile @Nullable FleetNotices<CrashRecord> mCrashNotices;
    private volatile @Nullable EventHandler mEventHandler;
    private volatile @Nullable PlatformReader mPlatformReader;
    private volatile Consumer<ConfirmedValue<VmList>> mOnVmList = view -> {};
    private boolean mDraining;
    private boolean mIsWatching;
    private long mLastGossipNanos;
    private long mLastServiceReadNanos;
    private @Nullable Runnable mOnHandedOver;
    private long mHandoverStartNanos;

    private FleetNode(
            EntrySettings settings,
            EventLoop loop,
            Clock clock,
            ConfigStore config,
            KeySpaces spaces,
            PoisonTable poison)
            throws PeerException {
        mSettings = settings;
        mOwnName = settings.entry().vm();
        mIncarnation = GossipConverter.spaceToText(spaces.incarnation());
        mLoop = loop;
        mClock = clock;
        mSpaces = spaces;
        EntrySettings.Peer peer = settings.peer();
        mAddresses = new PeerAddresses(peer.peers(), peer.address() + ":" + peer.port());
        mViews = new FleetViews(mOwnName, mAddresses.configuredCount(), clock, config);
        mGossipPlan = GossipPlan.create(mOwnName, new SplittableRandom().nextLong());
        mStartupCheck = new StartupCheck(clock);
        mLastGossipNanos = clock.monotonicNanos();
        mLastServiceReadNanos = mLastGossipNanos;
        mTransport =
                PeerTransport.builder()
                        .fleet(settings.entry().fleet())
                        .sender(mOwnName, mIncarnation)
                        .secret(peer.secret().getBytes(StandardCharsets.UTF_8))
                        .bind(new InetSocketAddress(peer.address(), peer.port()))
                        .resolver(mAddresses::resolve)
                        .accept(mAddresses::accepts)
                        .listener(this::onMessage)
                        .clock(clock)
                        .start();
        mFetcher = new ConfigFetcher(loop, clock, config, mTransport, this::offer);
        mKeySpaceHandover = new KeySpaceHandover(loop, spaces, mTransport);
        mForwarder = new KeyForwarder(loop, mTransport, mIncarnation);
        mPoisonNotifier = new PoisonNotifier(loop, poison, mTransport, this::peerNames);
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
     * Handles the events of the fleet in the daemon.
     *
     * <p>Thread safety: called on the event loop.
     */
    public interface EventHandler {
        /**
         * Called when a configuration revision was accepted, and once when the startup is complete.
         *
         * @param startupComplete true for the call that lets the process become ready
         */
        void configChanged(boolean startupComplete);

        /** Called when new work may be routed again after a pause of the process. */
        void routable();

        /** Handles a request that a peer forwarded because this process holds its key. */
        void forwarded(CallerRequest request, CallerResponder responder);
    }

    /**
     * Starts to read the platform and to exchange messages with peers.
     *
     * @param onVmList receives the VM list on the event loop whenever it changes or is confirmed
     */
    public void start(EventHandler eventHandler, Consumer<ConfirmedValue<VmList>> onVmList) {
        mEventHandler = eventHandler;
        mOnVmList = onVmList;
        EntrySettings.Platform platform = mSettings.platform();
        mPlatformReader =
                PlatformReader.start(
                        PlatformClient.create(platform.configUrl(), PLATFORM_TIMEOUT),
                        PlatformClient.create(platform.vmsUrl(), PLATFORM_TIMEOUT),
                        new PlatformEvents(),
                        mClock,
                        new SplittableRandom().nextLong());
        mLoop.scheduleWithFixedDelay(TICK_PERIOD, this::tick);
    }

    /** Returns the TCP port of the peer listener. */
    public int port() {
        return mTransport.address().getPort();
    }

    /** Returns true when this process is isolated and must refuse new work. */
    public boolean isIsolated() {
        return mViews.isIsolated();
    }

    /** Returns true when new work may be routed with the present views. */
    public boolean mayRoute() {
        return mViews.mayRoute();
    }

    /** Returns the views of the fleet that this process holds. */
    public FleetViews views() {
        return mViews;
    }

    /** Returns the forwarder of keyed requests to the holders of their keys. */
    public KeyForwarder forwarder() {
        return mForwarder;
    }

    /** Returns the notifier that sends suspected and confirmed poison requests to peers. */
    public PoisonNotifier poison() {
        return mPoisonNotifier;
    }

    /** Begins to exchange notices of crashes with the peers. */
    public void crashNotices(FleetNotices<CrashRecord> notices) {
        mCrashNotices = notices;
        notices.start(mLoop, new NoticePeers(mLoop, mTransport, this::peerNames));
    }

    /** Sets the exchange that provides and receives warmth announcements. */
    public void warmth(WarmthExchange warmth) {
        mWarmth = warmth;
    }

    /** Adds the state of the fleet to the status report. */
    public void status(ObjectNode json) {
        FleetReports.status(json, mViews, mSpaces, mClock);
    }

    /** Adds the peers to the report of peers. */
    public void peers(ArrayNode list) {
        FleetReports.peers(list, mViews, mOwnName, mClock);
    }

    /** Announces to all peers that this process leaves. */
    public void startDraining() {
        mDraining = true;
        PeerMessage leaving =
                new PeerMessage.LeaveNotice(new PeerMessage.Sender(mOwnName, mIncarnation));
        peerNames().forEach(peer -> mTransport.send(peer, leaving));
    }

    /** Hands all key spaces over to peers; runs {@code onEnd} when no handover is left. */
    public void handOver(Runnable onEnd) {
        mOnHandedOver = onEnd;
        mHandoverStartNanos = mClock.monotonicNanos();
        if (peerNames().isEmpty()) {
            onEnd.run();
            mOnHandedOver = null;
            return;
        }
        peerNames().forEach(this::exchange);
    }

    @Override
    public void close() {
        PlatformReader platformReader = mPlatformReader;
        if (platformReader != null) {
            platformReader.close();
        }
        mTransport.close();
    }

    /** Returns the transport, for tests that cut the links to a peer. */
    public PeerTransport peerTransport() {
        return mTransport;
    }

    private List<String> peerNames() {
        List<String> names = new ArrayList<>(mAddresses.names());
        names.remove(mOwnName);
        return names;
    }

    // Periodic work

    private void tick() {
        boolean couldRoute = !mViews.isRefreshing();
        boolean paused = mViews.tick();
        boolean confirmed =
                mViews.vmListStore()
                        .confirmedList()
                        .map(v -> !v.isOlderThan(IsolationRule.LIMIT, mClock.monotonicNanos()))
                        .orElse(false);
        mAddresses.update(mViews.vmListStore().list(), confirmed);
        mGossipPlan.setPeers(peerNames());
        readServiceIfDue(paused);
        if (paused || mClock.elapsedSince(mLastGossipNanos).compareTo(GOSSIP_PERIOD) >= 0) {
            mLastGossipNanos = mClock.monotonicNanos();
            gossipRound();
            mSpaces.removeExpiredSpaces();
        }
        continueHandover();
        checkStartup();
        if (!couldRoute && !mViews.isRefreshing()) {
            notifyHandler(EventHandler::routable);
        }
    }

    private void readServiceIfDue(boolean paused) {
        PlatformReader platformReader = mPlatformReader;
        if (platformReader == null) {
            return;
        }
        boolean shouldWatch = ReaderSelection.isReader(mViews.vmListStore().list(), mOwnName);
        if (shouldWatch != mIsWatching) {
            mIsWatching = shouldWatch;
            platformReader.setWatching(shouldWatch);
        }
        boolean due =
                mClock.elapsedSince(mLastServiceReadNanos).compareTo(SERVICE_READ_PERIOD) >= 0;
        if (due && (paused || mViews.needsService())) {
            mLastServiceReadNanos = mClock.monotonicNanos();
            platformReader.readOnce();
        }
    }

    private void gossipRound() {
        List<PeerMessage.WarmthNotice> warmth = GossipConverter.warmthToMessage(mWarmth.drain());
        PeerMessage.Gossip gossip = gossip(warmth);
        int peerCount = GossipPlan.FANOUT;
        if (ReaderSelection.needsFallbackRead(mViews.serviceAge())) {
            // Without the configuration service, this process counts as isolated unless more than
            // half of the listed VMs, its own included, were heard from within 4 s.
            peerCount = Math.max(peerCount, (peerNames().size() + 2) / 3);
        }
        List<String> chosen = new ArrayList<>(mGossipPlan.nextPeers());
        List<String> nextPeers = chosen;
        while (chosen.size() < peerCount && !nextPeers.isEmpty()) {
            nextPeers = new ArrayList<>(mGossipPlan.nextPeers());
            nextPeers.removeAll(chosen);
            chosen.addAll(nextPeers);
        }
        chosen.forEach(peer -> exchange(peer, gossip, () -> {}));
    }

    private void continueHandover() {
        Runnable onHandedOver = mOnHandedOver;
        if (onHandedOver == null) {
            return;
        }
        if (successors().isEmpty() && !mSpaces.heldSpaceIds().isEmpty()) {
            peerNames().forEach(this::exchange);
        }
        if (mKeySpaceHandover.advance(this::successors)) {
            mOnHandedOver = null;
            onHandedOver.run();
        }
    }

    /** Returns peers that have answered since the handover began and are not draining. */
    private List<PeerTable.Peer> successors() {
        VmList list = mViews.vmListStore().list();
        return mViews.peers().peers().stream()
                .filter(peer -> peer.heardAtNanos() - mHandoverStartNanos >= 0)
                .filter(peer -> !peer.report().draining())
                .filter(peer -> list.vm(peer.vm()).map(vm -> !vm.leaving()).orElse(true))
                .filter(peer -> mAddresses.resolve(peer.vm()).isPresent())
                .toList();
    }

    private void checkStartup() {
        boolean wasComplete = mStartupCheck.wasComplete();
        if (!wasComplete && mStartupCheck.isComplete(mFetcher.isActive())) {
            notifyHandler(handler -> handler.configChanged(true));
        }
    }

    // Gossip

    private PeerMessage.Gossip gossip(List<PeerMessage.WarmthNotice> warmth) {
        ConfigStore config = mViews.config();
        long now = mClock.monotonicNanos();
        return new PeerMessage.Gossip(
                new PeerMessage.Sender(mOwnName, mIncarnation),
                new PeerMessage.ConfigState(
                        config.revision(),
                        config.digest(),
                        config.confirmationAge().map(Duration::toMillis).orElse(0L)),
                mViews.vmListStore().list().version(),
                mViews.vmListStore()
                        .confirmedList()
                        .map(view -> view.age(now).toMillis())
                        .orElse(0L),
                warmth,
                mPoisonNotifier.nextGossipRecords(),
                mDraining,
                GossipConverter.spacesToText(mSpaces.heldSpaceIds()));
    }

    private void exchange(String peer) {
        exchange(peer, gossip(List.of()), () -> {});
    }

    private void exchange(String peer, PeerMessage.Gossip gossip, Runnable onEnd) {
        long sentAtNanos = mClock.monotonicNanos();
        mTransport
                .request(peer, gossip, GOSSIP_TIMEOUT)
                .whenComplete(
                        (answer, error) ->
                                mLoop.execute(
                                        () -> {
                                            if (answer instanceof PeerMessage.Gossip reply) {
                                                mAddresses.recordAlias(reply.sender().vm(), peer);
                                                mergeGossip(reply, sentAtNanos, true);
                                            }
                                            onEnd.run();
                                        }));
    }

    /** Answers gossip; a process that was unknown before receives all warmth announcements. */
    private void onGossip(PeerMessage.Gossip gossip, PeerListener.Responder reply) {
        String vm = gossip.sender().vm();
        boolean known =
                mViews.peers()
                        .peer(vm)
                        .map(p -> p.report().incarnation().equals(gossip.sender().incarnation()))
                        .orElse(false);
        // Only answers count as contact, so gossip that a peer sends first is recorded with a time
        // beyond the isolation limit.
        long notHeardNanos = mClock.monotonicNanos() - 2 * IsolationRule.LIMIT.toNanos();
        mergeGossip(gossip, notHeardNanos, false);
        reply.send(gossip(known ? List.of() : GossipConverter.warmthToMessage(mWarmth.snapshot())));
    }

    private void mergeGossip(PeerMessage.Gossip gossip, long heardAtNanos, boolean isAnswer) {
        String vm = gossip.sender().vm();
        PeerMessage.ConfigState peerConfig = gossip.config();
        PeerTable.PeerReport report =
                new PeerTable.PeerReport(
                        gossip.sender().incarnation(),
                        peerConfig.revision(),
                        gossip.vmListVersion(),
                        gossip.draining());
        if (vm.equals(mOwnName) || !mViews.peers().recordReport(vm, report, heardAtNanos)) {
            return;
        }
        mSpaces.updatePeerSpaces(vm, GossipConverter.parseSpaces(gossip.heldKeySpaces()));
        mWarmth.merge(GossipConverter.parseWarmth(gossip.warmth()));
        mPoisonNotifier.merge(gossip.poison());
        ConfigStore config = mViews.config();
        if (isAnswer) {
            Duration transit = mClock.elapsedSince(heardAtNanos);
            if (peerConfig.digest().equals(config.digest())) {
                config.confirm(
                        peerConfig.revision(),
                        ageAfter(peerConfig.confirmationAgeMillis(), transit));
            }
            Duration listAge = ageAfter(gossip.vmListAgeMillis(), transit);
            if (mViews.vmListStore().confirm(gossip.vmListVersion(), listAge)) {
                mViews.vmListStore().confirmedList().ifPresent(mOnVmList);
            }
        }
        if (peerConfig.revision() > config.revision()
                && !config.isRefused(peerConfig.revision())
                && mAddresses.resolve(vm).isPresent()) {
            mFetcher.fetch(vm);
        }
    }

    private static Duration ageAfter(long statedMillis, Duration transit) {
        return Duration.ofMillis(Math.max(0, statedMillis)).plus(transit);
    }

    private void offer(long revision, Map<String, String> values, Duration age) {
        ConfigStore config = mViews.config();
        ConfigStore.OfferResult offer =
                config.offer(revision, ConfigDigest.of(values), values, age);
        if (offer == ConfigStore.OfferResult.ACCEPTED) {
            LOG.infof("configuration revision %d is in force", revision);
            PlatformReader platformReader = mPlatformReader;
            if (platformReader != null) {
                platformReader.noteRevision(revision);
            }
            mGossipPlan.pushTargets(mViews.peers(), revision).forEach(this::exchange);
            notifyHandler(handler -> handler.configChanged(false));
        } else if (offer != ConfigStore.OfferResult.SAME) {
            LOG.warnf("configuration revision %d was not accepted: %s", revision, offer);
        }
    }

    private void exchangeWithPeersAtStart() {
        mAddresses.update(
                mViews.vmListStore().list(), mViews.vmListStore().confirmedList().isPresent());
        List<String> peers = peerNames();
        mGossipPlan.setPeers(peers);
        int count = Math.min(MAX_STARTUP_PEERS, peers.size());
        if (mStartupCheck.onPeersKnown(count)) {
            List<String> chosen = mGossipPlan.nextPeers();
            chosen.subList(0, count)
                    .forEach(peer -> exchange(peer, gossip(List.of()), mStartupCheck::onPeerAsked));
        }
    }

    // Messages of peers

    private void onMessage(
            PeerMessage.Sender from, PeerMessage message, PeerListener.Responder reply) {
        if (message instanceof PeerMessage.Gossip gossip) {
            // Accepting gossip on behalf of other processes would let one peer speak for all.
            if (gossip.sender().equals(from)) {
                mLoop.offer(() -> onGossip(gossip, reply));
            }
        } else if (message instanceof PeerMessage.ConfigFetch fetch) {
            mLoop.offer(() -> reply.send(ConfigTransfer.answer(fetch, mViews.config())));
        } else if (message instanceof PeerMessage.KeyHolderRequest forward) {
            onForward(forward, KeyForwarder.responderTo(forward, reply));
        } else if (message instanceof PeerMessage.PoisonNotice notice) {
            mLoop.execute(() -> mPoisonNotifier.receive(notice, reply));
        } else if (message instanceof PeerMessage.CrashNotice notice) {
            FleetNotices<CrashRecord> notices = mCrashNotices;
            if (notices != null) {
                mLoop.execute(() -> reply.send(notices.receive(notice)));
            }
        } else if (message instanceof PeerMessage.KeyHandover handover) {
            mLoop.execute(() -> onKeyHandover(handover, reply));
        } else if (message instanceof PeerMessage.LeaveNotice) {
            mLoop.offer(() -> onLeaving(from));
        }
    }

    private void onForward(PeerMessage.KeyHolderRequest forward, CallerResponder responder) {
        boolean accepted =
                mLoop.offer(
                        () ->
                                KeyForwarder.parse(forward, responder)
                                        .ifPresent(
                                                request ->
                                                        notifyHandler(
                                                                handler ->
                                                                        handler.forwarded(
                                                                                request,
                                                                                responder))));
        if (!accepted) {
            responder.fail(
                    Problem.refusal(
                            ErrorCode.OVERLOADED, "the event loop of the entry is full", true));
        }
    }

    private void onKeyHandover(PeerMessage.KeyHandover handover, PeerListener.Responder reply) {
        if (mKeySpaceHandover.receive(handover, reply)) {
            // Peers cannot forward requests with these keys until they know the new holder.
            peerNames().stream().limit(2 * GossipPlan.FANOUT).forEach(this::exchange);
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

    private void notifyHandler(Consumer<EventHandler> event) {
        EventHandler eventHandler = mEventHandler;
        if (eventHandler != null) {
            event.accept(eventHandler);
        }
    }

    /** Passes the answers and failures of the platform to the event loop. */
    private final class PlatformEvents implements PlatformListener {
        @Override
        public void onConfig(long revision, Map<String, String> values, long askedAtNanos) {
            mLoop.execute(
                    () -> {
                        onServiceAnswer(askedAtNanos);
                        offer(revision, values, mClock.elapsedSince(askedAtNanos));
                    });
        }

        @Override
        public void onConfirmed(long revision, long askedAtNanos) {
            mLoop.execute(
                    () -> {
                        onServiceAnswer(askedAtNanos);
                        mViews.config().confirm(revision, mClock.elapsedSince(askedAtNanos));
                    });
        }

        @Override
        public void onStale(long revision, long known) {
            LOG.debugf(
                    "configuration service returned stale revision %d, known revision is %d",
                    revision, known);
            long now = mClock.monotonicNanos();
            mLoop.execute(() -> onServiceAnswer(now));
        }

        @Override
        public void onVmList(VmList list, long askedAtNanos) {
            mLoop.execute(
                    () -> {
                        if (mViews.vmListStore().offer(list, mClock.elapsedSince(askedAtNanos))) {
                            mViews.peers().retainListed(list);
                        }
                        mViews.vmListStore().confirmedList().ifPresent(mOnVmList);
                        exchangeWithPeersAtStart();
                    });
        }

        @Override
        public void onFailure(PlatformException failure) {
            LOG.debugf("reading the platform failed: %s", failure.detail());
            mLoop.execute(
                    () -> {
                        if (failure.detail().startsWith("/v1/vms")) {
                            exchangeWithPeersAtStart();
                        } else {
                            mStartupCheck.onServiceAsked();
                        }
                    });
        }

        private void onServiceAnswer(long askedAtNanos) {
            mViews.serviceAnswered(askedAtNanos);
            mStartupCheck.onServiceAsked();
        }
    }
}
