package org.bulrushvale.adapters.peer;

import io.micrometer.core.instrument.Counter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Event loop of the transport on a {@link Selector}.
 *
 * <p>Invariants: only the loop thread accesses links and dialled peers; an error on one link closes
 * that link and never stops the loop; the loop reads bytes that have arrived before it checks links
 * for silence, so that a paused process does not close links that hold unread data.
 *
 * <p>Thread safety: the package-private methods may be called from any thread; the private methods
 * that access links and the methods of {@link PeerLink.EventHandler} run on the loop thread.
 */
final class PeerReactor implements PeerLink.EventHandler {
    private static final Logger LOG = Logger.getLogger(PeerReactor.class);
    private static final int MAX_LINKS = 2_048;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(5);

    private final PeerTransport.Builder mSettings;
    private final String mFleet;
    private final PeerMessage.Sender mSelf;
    private final byte[] mSecret;
    private final PeerListener mListener;
    private final Selector mSelector;
    private final ServerSocketChannel mServerChannel;
    private final InetSocketAddress mAddress;
    private final Thread mThread;
    private final Queue<Runnable> mQueuedTasks = new ConcurrentLinkedQueue<>();
    private final Map<String, SendBudget> mBudgets = new ConcurrentHashMap<>();
    private final Map<String, LinkFault> mInjectedFaults = new ConcurrentHashMap<>();
    private final Map<String, DialledPeer> mPeers = new ConcurrentHashMap<>();
    private final Set<PeerLink> mLinks = new HashSet<>();
    private final AtomicLong mNextCorrelation = new AtomicLong(1);
    private final SplittableRandom mJitterRandom = new SplittableRandom();
    private final Counter mDroppedSends;
    private final Object mSelectorLock = new Object();
    private volatile boolean mClosed;
    private boolean mSelectorClosed;
    private long mLastIterationNanos;

    private PeerReactor(PeerTransport.Builder settings) throws IOException {
        mSettings = settings;
        mFleet = Objects.requireNonNull(settings.mFleet);
        mSelf = Objects.requireNonNull(settings.mSender);
        mSecret = Objects.requireNonNull(settings.mSecret);
        mListener = Objects.requireNonNull(settings.mListener);
        mDroppedSends = settings.mMeters.counter("bulrushvale.peer.sends.dropped");
        mSelector = Selector.open();
        mServerChannel = ServerSocketChannel.open();
        try {
            mServerChannel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            mServerChannel.bind(settings.mBindAddress);
            mServerChannel.configureBlocking(false);
            mServerChannel.register(mSelector, SelectionKey.OP_ACCEPT);
            mAddress = (InetSocketAddress) mServerChannel.getLocalAddress();
        } catch (IOException e) {
            mServerChannel.close();
            mSelector.close();
            throw e;
        }
        mLastIterationNanos = nowNanos();
        mThread = new Thread(this::loop, "peer-transport");
        mThread.setDaemon(true);
    }

    static PeerReactor start(PeerTransport.Builder settings) throws IOException {
        PeerReactor reactor = new PeerReactor(settings);
        reactor.mThread.start();
        return reactor;
    }

    InetSocketAddress address() {
        return mAddress;
    }

    boolean send(String vm, PeerMessage message) {
        SendBudget budget = budget(vm);
        ByteBuffer bytes;
        try {
            bytes = PeerCodec.encode(0, message);
        } catch (PeerException e) {
            mDroppedSends.increment();
            return false;
        }
        if (mClosed || !budget.reserve(bytes.remaining())) {
            mDroppedSends.increment();
            return false;
        }
        enqueueTask(() -> submit(vm, OutboundFrame.oneWay(bytes, budget)));
        return true;
    }

    CompletableFuture<PeerMessage> request(String vm, PeerMessage message, Duration timeout) {
        CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
        long correlation = mNextCorrelation.getAndIncrement();
        SendBudget budget = budget(vm);
        ByteBuffer bytes;
        try {
            bytes = PeerCodec.encode(correlation, message);
        } catch (PeerException e) {
            answer.completeExceptionally(e);
            return answer;
        }
        if (mClosed || !budget.reserve(bytes.remaining())) {
            mDroppedSends.increment();
            answer.completeExceptionally(
                    PeerException.undelivered(
                            "transport is closed or the send queue to the peer is full"));
            return answer;
        }
        long deadlineNanos = nowNanos() + timeout.toNanos();
        OutboundFrame frame =
                OutboundFrame.request(bytes, budget, correlation, deadlineNanos, answer);
        enqueueTask(() -> submit(vm, frame, message.isSeries()));
        return answer;
    }

    void injectFault(String vm, LinkFault fault) {
        mInjectedFaults.put(vm, fault);
        enqueueTask(
                () -> {
                    for (PeerLink link : List.copyOf(mLinks)) {
                        if (link.belongsTo(vm)) {
                            applyFault(link, fault);
                        }
                    }
                });
    }

    private void applyFault(PeerLink link, LinkFault fault) {
        if (fault == LinkFault.CLOSED) {
            close(link, "link closed by fault injection");
        } else if (fault == LinkFault.SILENT) {
            link.dropAllBytes();
        }
    }

    private LinkFault injectedFault(String vm) {
        return mInjectedFaults.getOrDefault(vm, LinkFault.NONE);
    }

    void close() {
        mClosed = true;
        enqueueTask(() -> {});
        try {
            mThread.join(CLOSE_TIMEOUT.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private SendBudget budget(String vm) {
        return mBudgets.computeIfAbsent(vm, name -> new SendBudget(mSettings.mMaxQueuedBytes));
    }

    private long nowNanos() {
        return mSettings.mClock.monotonicNanos();
    }

    private void enqueueTask(Runnable task) {
        mQueuedTasks.add(task);
        synchronized (mSelectorLock) {
            if (!mSelectorClosed) {
                mSelector.wakeup();
                return;
            }
        }
        // The loop has ended, so this thread runs the task, which fails its request.
        runTasks();
    }

    private void loop() {
        while (!mClosed) {
            try {
                mSelector.select(selectTimeoutMillis());
            } catch (IOException e) {
                LOG.error("selector of the peer transport failed", e);
            }
            runTasks();
            mSelector.selectedKeys().forEach(this::handle);
            mSelector.selectedKeys().clear();
            runTimers();
        }
        shutDown();
    }

    private long selectTimeoutMillis() {
        long nowNanos = nowNanos();
        long periodNanos =
                Math.min(mSettings.mHeartbeatPeriod.toNanos(), mSettings.mSilenceLimit.toNanos())
                        / 2;
        long nextWakeupNanos = nowNanos + periodNanos;
        for (DialledPeer peer : mPeers.values()) {
            nextWakeupNanos = peer.nextDeadlineNanos(nextWakeupNanos);
        }
        return Math.max(1, (nextWakeupNanos - nowNanos) / NANOS_PER_MILLI + 1);
    }

    private void runTasks() {
        Runnable task = mQueuedTasks.poll();
        while (task != null) {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.error("task of the peer transport failed", e);
            }
            task = mQueuedTasks.poll();
        }
    }

    private void shutDown() {
        List.copyOf(mLinks).forEach(link -> close(link, "transport closed"));
        synchronized (mSelectorLock) {
            mSelectorClosed = true;
            try {
                mServerChannel.close();
                mSelector.close();
            } catch (IOException e) {
                LOG.debug("cannot close the sockets of the peer transport", e);
            }
        }
        runTasks();
    }

    private void submit(String vm, OutboundFrame frame, boolean series) {
        submit(vm, frame);
        DialledPeer peer = mPeers.get(vm);
        if (series && peer != null) {
            // To dial a link again for each message costs more than its heartbeats.
            peer.recordSeries(mSettings.mBriefUses);
        }
    }

    private void submit(String vm, OutboundFrame frame) {
        DialledPeer peer =
                mPeers.computeIfAbsent(
                        vm,
                        name ->
                                new DialledPeer(
                                        name,
                                        budget(name),
                                        mSettings.mMinBackoff.toNanos(),
                                        mSettings.mMaxBackoff.toNanos()));
        peer.recordUse(nowNanos());
        if (mClosed || (peer.link() == null && !dial(peer))) {
            mDroppedSends.increment();
            frame.fail("no connection to the peer");
            return;
        }
        if (frame.isRequest()) {
            peer.addPendingRequest(frame);
        }
        PeerLink link = peer.link();
        if (link == null || !link.isOpen()) {
            peer.enqueue(frame);
            return;
        }
        write(link, frame);
    }

    private void write(PeerLink link, OutboundFrame frame) {
        try {
            link.write(frame);
        } catch (IOException e) {
            close(link, "write to the peer failed");
        }
    }

    private boolean dial(DialledPeer peer) {
        Optional<InetSocketAddress> address = mSettings.mResolver.apply(peer.vm());
        boolean unreachable = address.isEmpty() || injectedFault(peer.vm()) == LinkFault.CLOSED;
        if (unreachable || !peer.mayDial(nowNanos())) {
            return false;
        }
        try {
            SocketChannel channel = SocketChannel.open();
            PeerLink link = register(channel, SelectionKey.OP_CONNECT, peer.vm(), peer.budget());
            peer.setLink(link);
            if (injectedFault(peer.vm()) == LinkFault.SILENT) {
                link.dropAllBytes();
            }
            if (channel.connect(address.orElseThrow())) {
                link.sendHello();
            }
            return true;
        } catch (IOException | PeerException e) {
            PeerLink link = peer.link();
            if (link == null) {
                peer.onLinkLost("connection attempt failed", nowNanos(), mJitterRandom);
            } else {
                close(link, "connection attempt failed");
            }
            return false;
        }
    }

    private PeerLink register(
            SocketChannel channel, int operations, @Nullable String vm, SendBudget budget)
            throws IOException {
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        Handshake handshake = new Handshake(vm != null, mSecret, mFleet, mSelf);
        SelectionKey key = channel.register(mSelector, operations);
        PeerLink link = new PeerLink(channel, key, handshake, vm, budget, nowNanos());
        key.attach(link);
        mLinks.add(link);
        return link;
    }

    private void handle(SelectionKey key) {
        if (key.attachment() instanceof PeerLink link) {
            handleLink(key, link);
        } else if (key.isValid()) {
            accept();
        }
    }

    private void accept() {
        try {
            SocketChannel channel = mServerChannel.accept();
            if (channel != null && !registerIfAllowed(channel)) {
                channel.close();
            }
        } catch (IOException | RuntimeException e) {
            LOG.warnf("cannot accept a peer connection: %s", e.getMessage());
        }
    }

    private boolean registerIfAllowed(SocketChannel channel) throws IOException {
        InetAddress address = ((InetSocketAddress) channel.getRemoteAddress()).getAddress();
        if (!mSettings.mAddressFilter.test(address)) {
            reject(
                    address,
                    PeerException.rejected(
                            PeerRejectReason.ADDRESS_NOT_LISTED, "address is not on the VM list"));
            return false;
        }
        if (mLinks.size() >= MAX_LINKS) {
            return false;
        }
        SendBudget budget = new SendBudget(mSettings.mMaxQueuedBytes);
        PeerLink link = register(channel, SelectionKey.OP_READ, null, budget);
        try {
            link.sendHello();
        } catch (IOException | PeerException e) {
            close(link, "connection failed");
        }
        return true;
    }

    private void handleLink(SelectionKey key, PeerLink link) {
        try {
            if (key.isValid() && key.isConnectable() && link.finishConnect()) {
                key.interestOps(SelectionKey.OP_READ);
                link.sendHello();
            }
            if (key.isValid() && key.isReadable()) {
                link.read(this, nowNanos());
                applyFaultToAcceptedLink(link);
            }
            if (key.isValid() && key.isWritable()) {
                link.flush();
            }
        } catch (PeerException e) {
            reject(addressOf(link), e);
            close(link, e.detail());
        } catch (IOException e) {
            close(link, "connection failed");
        } catch (RuntimeException e) {
            LOG.error("peer link closed after an internal error", e);
            close(link, "internal error");
        }
    }

    private void applyFaultToAcceptedLink(PeerLink link) {
        PeerMessage.Sender peer = link.peer();
        if (peer != null && !link.isDialled()) {
            applyFault(link, injectedFault(peer.vm()));
        }
    }

    private @Nullable DialledPeer dialledPeer(PeerLink link) {
        String vm = link.dialledVm();
        DialledPeer peer = vm == null ? null : mPeers.get(vm);
        return peer != null && peer.link() == link ? peer : null;
    }

    private InetAddress addressOf(PeerLink link) {
        try {
            return link.address();
        } catch (IOException e) {
            return mAddress.getAddress();
        }
    }

    private void reject(InetAddress address, PeerException error) {
        PeerRejectReason reason = error.reason();
        if (reason == null) {
            return;
        }
        String name = reason.isFrame() ? "frames" : "peers";
        mSettings
                .mMeters
                .counter("bulrushvale.peer." + name + ".rejected", "reason", reason.tag())
                .increment();
        LOG.warnf("link to %s closed: %s", address.getHostAddress(), error.detail());
        mListener.rejected(address, error);
    }

    private void close(PeerLink link, String detail) {
        if (!mLinks.remove(link)) {
            return;
        }
        link.close();
        DialledPeer peer = dialledPeer(link);
        if (peer != null) {
            peer.onLinkLost(detail, nowNanos(), mJitterRandom);
        }
    }

    private void runTimers() {
        long nowNanos = nowNanos();
        long silenceNanos = mSettings.mSilenceLimit.toNanos();
        // An iteration waits for at most half of the silence limit, so a gap of more than three
        // quarters means that this process was paused. The next iteration then reads the bytes that
        // have arrived before it checks for silence.
        boolean paused = nowNanos - mLastIterationNanos > silenceNanos / 2 + silenceNanos / 4;
        mLastIterationNanos = nowNanos;
        for (PeerLink link : new ArrayList<>(mLinks)) {
            if (!paused && link.hasBeenSilent(nowNanos, silenceNanos)) {
                reject(
                        addressOf(link),
                        PeerException.rejected(
                                PeerRejectReason.SILENT,
                                "no byte received within " + mSettings.mSilenceLimit));
                close(link, "link went silent");
            } else if (link.isHeartbeatDue(nowNanos, mSettings.mHeartbeatPeriod.toNanos())) {
                send(link, 0, new PeerMessage.Heartbeat());
            }
        }
        for (DialledPeer peer : mPeers.values()) {
            peer.failOverdue(nowNanos);
            closeIfIdle(peer, nowNanos);
            if (peer.isRemovable(nowNanos)) {
                mPeers.remove(peer.vm());
                mBudgets.remove(peer.vm());
            }
        }
    }

    private void closeIfIdle(DialledPeer peer, long nowNanos) {
        PeerLink link = peer.link();
        Duration limit =
                peer.usesOfLink() <= mSettings.mBriefUses
                        ? mSettings.mBriefIdleLimit
                        : mSettings.mIdleLimit;
        if (link != null && peer.isIdle(nowNanos, limit.toNanos())) {
            peer.onIdleLinkClosed();
            close(link, "link was idle");
        }
    }

    private void send(PeerLink link, long correlation, PeerMessage message) {
        try {
            ByteBuffer bytes = PeerCodec.encode(correlation, message);
            if (mLinks.contains(link) && link.budget().reserve(bytes.remaining())) {
                write(link, OutboundFrame.oneWay(bytes, link.budget()));
            } else {
                mDroppedSends.increment();
            }
        } catch (PeerException e) {
            mDroppedSends.increment();
        }
    }

    @Override
    public void onOpened(PeerLink link) {
        DialledPeer peer = dialledPeer(link);
        if (peer != null) {
            peer.takeQueuedFrames().forEach(frame -> write(link, frame));
        }
    }

    @Override
    public void onMessage(PeerLink link, PeerCodec.Envelope envelope) throws PeerException {
        long correlation = envelope.correlation();
        PeerMessage message = envelope.message();
        PeerMessage.Sender from = link.peer();
        if (message instanceof PeerMessage.Heartbeat) {
            if (!link.isDialled()) {
                send(link, 0, message);
            }
        } else if (link.isDialled() && correlation < 0) {
            DialledPeer peer = dialledPeer(link);
            if (peer != null) {
                peer.completeRequest(-correlation, message);
            }
        } else if (!link.isDialled() && correlation >= 0 && from != null) {
            PeerListener.Responder reply =
                    answer -> {
                        if (correlation > 0) {
                            enqueueTask(() -> send(link, -correlation, answer));
                        }
                    };
            deliver(from, message, reply);
        } else {
            throw PeerException.rejected(
                    PeerRejectReason.FRAME_UNEXPECTED,
                    "answer on an accepted link or request on a dialled link");
        }
    }

    private void deliver(
            PeerMessage.Sender from, PeerMessage message, PeerListener.Responder reply) {
        try {
            mListener.received(from, message, reply);
        } catch (RuntimeException e) {
            LOG.errorf(e, "listener failed on a message from VM %s", from.vm());
        }
    }
}
