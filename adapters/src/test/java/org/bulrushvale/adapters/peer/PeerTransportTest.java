package org.bulrushvale.adapters.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.kernel.verdict.Verdict;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a transport that hangs, stops, accepts unauthenticated peers or reports a false
 * verdict.
 */
public class PeerTransportTest {
    private static final byte[] SECRET = new byte[32];
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final PeerMessage FETCH = new PeerMessage.ConfigFetch(List.of("classes"));
    private static final PeerMessage ACK = new PeerMessage.PoisonAck();

    private final Map<String, InetSocketAddress> mAddresses = new ConcurrentHashMap<>();
    private final List<PeerTransport> mStarted = new CopyOnWriteArrayList<>();
    private final BlockingQueue<PeerException> mRejected = new LinkedBlockingQueue<>();
    private final BlockingQueue<PeerMessage> mReceived = new LinkedBlockingQueue<>();
    private volatile boolean mAnswersRequests;
    private volatile boolean mAddressAllowed;
    private SimpleMeterRegistry mMeters;
    private PeerTransport mServer;

    @BeforeMethod
    public void startServer() throws PeerException {
        mAddresses.clear();
        mRejected.clear();
        mReceived.clear();
        mAnswersRequests = true;
        mAddressAllowed = true;
        mMeters = new SimpleMeterRegistry();
        mServer = start(node("b").meters(mMeters));
        mAddresses.put("b", mServer.address());
    }

    @AfterMethod(alwaysRun = true)
    public void stopAll() {
        mStarted.forEach(PeerTransport::close);
        mStarted.clear();
    }

    private PeerTransport start(PeerTransport.Builder builder) throws PeerException {
        PeerTransport transport = builder.start();
        mStarted.add(transport);
        return transport;
    }

    private PeerTransport.Builder node(String vm) {
        PeerListener listener =
                new PeerListener() {
                    @Override
                    public void received(
                            PeerMessage.Sender from, PeerMessage message, Responder to) {
                        mReceived.add(message);
                        if (mAnswersRequests) {
                            to.send(ACK);
                        }
                    }

                    @Override
                    public void rejected(InetAddress address, PeerException error) {
                        mRejected.add(error);
                    }
                };
        return PeerTransport.builder()
                .fleet("granite")
                .sender(vm, "1")
                .secret(SECRET)
                .accept(address -> mAddressAllowed)
                .resolver(name -> Optional.ofNullable(mAddresses.get(name)))
                .heartbeat(Duration.ofSeconds(1), Duration.ofSeconds(10))
                .backoff(Duration.ofMillis(1), Duration.ofMillis(5))
                .listener(listener);
    }

    private PeerTransport.Builder nodeWithShortSilenceLimit(String vm) {
        return node(vm).heartbeat(Duration.ofMillis(150), Duration.ofMillis(1_000));
    }

    private static Verdict verdictOfFailure(CompletableFuture<PeerMessage> future)
            throws Exception {
        try {
            throw new AssertionError("answered with " + future.get(20, TimeUnit.SECONDS));
        } catch (ExecutionException e) {
            return ((PeerException) e.getCause()).verdict();
        }
    }

    private static void awaitAnswer(PeerTransport from) throws Exception {
        // During the backoff a request fails immediately, so the loop is bounded by time.
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (System.nanoTime() < end) {
            try {
                from.request("b", FETCH, TIMEOUT).get(20, TimeUnit.SECONDS);
                return;
            } catch (ExecutionException expected) {
                Thread.onSpinWait();
            }
        }
        throw new AssertionError("no answer from peer b within " + TIMEOUT);
    }

    private void assertRejected(PeerRejectReason reason) throws InterruptedException {
        PeerException error = mRejected.poll(20, TimeUnit.SECONDS);
        assertThat(error).isNotNull();
        assertThat(error.reason()).isEqualTo(reason);
    }

    private double rejectionCount(String kind, PeerRejectReason reason) {
        return mMeters.get("bulrushvale.peer." + kind + ".rejected")
                .tag("reason", reason.tag())
                .counter()
                .count();
    }

    @Test
    public void requests_are_answered_and_one_way_messages_arrive_in_order() throws Exception {
        PeerTransport a = start(node("a"));
        for (int i = 0; i < 200; i++) {
            assertThat(a.send("b", new PeerMessage.ConfigFetch(List.of("n" + i)))).isTrue();
        }
        assertThat(a.request("b", FETCH, TIMEOUT).get(20, TimeUnit.SECONDS)).isEqualTo(ACK);
        for (int i = 0; i < 200; i++) {
            assertThat(mReceived.take()).isEqualTo(new PeerMessage.ConfigFetch(List.of("n" + i)));
        }
    }

    @Test
    public void a_frame_of_one_mebibyte_is_delivered_and_a_full_send_queue_rejects_requests()
            throws Exception {
        PeerTransport a = start(nodeWithShortSilenceLimit("a").queueBytes(2 << 20));
        PeerMessage large = new PeerMessage.KeyHandover(new byte[1 << 20]);
        assertThat(a.request("b", large, TIMEOUT).get(20, TimeUnit.SECONDS)).isEqualTo(ACK);
        // given a peer that accepts connections and never reads
        try (ServerSocket unreadSocket = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            mAddresses.put("deaf", (InetSocketAddress) unreadSocket.getLocalSocketAddress());
            CompletableFuture<PeerMessage> first = a.request("deaf", large, TIMEOUT);
            CompletableFuture<PeerMessage> second = a.request("deaf", large, TIMEOUT);
            // then
            assertThat(verdictOfFailure(second)).isEqualTo(Verdict.NOT_RUN);
            assertThat(verdictOfFailure(first)).isEqualTo(Verdict.NOT_RUN);
        }
    }

    @Test
    public void an_unanswered_request_may_have_run_and_an_undeliverable_one_did_not()
            throws Exception {
        PeerTransport a = start(node("a"));
        mAnswersRequests = false;
        CompletableFuture<PeerMessage> sent = a.request("b", FETCH, Duration.ofMillis(300));
        assertThat(verdictOfFailure(sent)).isEqualTo(Verdict.MAY_HAVE_RUN);
        assertThat(verdictOfFailure(a.request("nobody", FETCH, TIMEOUT)))
                .isEqualTo(Verdict.NOT_RUN);
        CompletableFuture<PeerMessage> pendingRequest = a.request("b", FETCH, TIMEOUT);
        mReceived.take();
        mReceived.take();
        mServer.close();
        assertThat(verdictOfFailure(pendingRequest)).isEqualTo(Verdict.MAY_HAVE_RUN);
    }

    @Test
    public void requests_after_close_fail_instead_of_hanging() throws Exception {
        PeerTransport a = start(node("a"));
        mAnswersRequests = false;
        CompletableFuture<PeerMessage> pendingRequest = a.request("b", FETCH, TIMEOUT);
        mReceived.take();
        a.close();
        assertThat(verdictOfFailure(pendingRequest)).isEqualTo(Verdict.MAY_HAVE_RUN);
        assertThat(verdictOfFailure(a.request("b", FETCH, TIMEOUT))).isEqualTo(Verdict.NOT_RUN);
    }

    @Test
    public void requests_fail_while_the_link_is_cut_and_succeed_after_reconnecting()
            throws Exception {
        PeerTransport a = start(node("a"));
        awaitAnswer(a);
        a.injectFault("b", LinkFault.CLOSED);
        assertThat(verdictOfFailure(a.request("b", FETCH, TIMEOUT))).isEqualTo(Verdict.NOT_RUN);
        a.injectFault("b", LinkFault.NONE);
        awaitAnswer(a);
    }

    @Test
    public void an_idle_link_is_closed_and_opened_again_without_delay() throws Exception {
        // given a link on which heartbeats are sent
        PeerTransport a =
                start(
                        node("a")
                                .heartbeat(Duration.ofMillis(20), Duration.ofSeconds(5))
                                .idleLimit(Duration.ofMillis(300))
                                .backoff(Duration.ofMinutes(1), Duration.ofMinutes(1)));
        awaitAnswer(a);
        // when it was idle for longer than the limit
        TimeUnit.SECONDS.sleep(1);
        mServer.injectFault("a", LinkFault.CLOSED);
        mServer.injectFault("a", LinkFault.NONE);
        // then the fault found no link to close, and the next request dials without a backoff
        assertThat(a.request("b", FETCH, TIMEOUT).get(20, TimeUnit.SECONDS)).isEqualTo(ACK);
    }

    // Gossip goes to other members in each round, and heartbeats on all those links cost more than
    // the gossip itself. A link that carries work must stay open between two requests.
    @Test
    public void a_link_that_was_used_once_closes_before_one_that_carries_work() throws Exception {
        PeerTransport a =
                start(
                        node("a")
                                .idleLimit(Duration.ofMinutes(1))
                                .briefIdleLimit(2, Duration.ofMillis(50))
                                .backoff(Duration.ofMinutes(1), Duration.ofMinutes(1)));
        awaitAnswer(a);
        TimeUnit.SECONDS.sleep(1);
        // The fault finds no link, so the next request dials without a backoff.
        mServer.injectFault("a", LinkFault.CLOSED);
        mServer.injectFault("a", LinkFault.NONE);
        for (int i = 0; i < 3; i++) {
            assertThat(a.request("b", FETCH, TIMEOUT).get(20, TimeUnit.SECONDS)).isEqualTo(ACK);
        }
        TimeUnit.SECONDS.sleep(1);
        // Now the fault closes the link, and the next request waits for the backoff.
        mServer.injectFault("a", LinkFault.CLOSED);
        mServer.injectFault("a", LinkFault.NONE);
        TimeUnit.SECONDS.sleep(1);
        assertThat(verdictOfFailure(a.request("b", FETCH, TIMEOUT))).isEqualTo(Verdict.NOT_RUN);
    }

    @Test
    public void a_link_that_carries_a_series_of_messages_is_kept() throws Exception {
        PeerTransport a =
                start(
                        node("a")
                                .idleLimit(Duration.ofMinutes(5))
                                .briefIdleLimit(2, Duration.ofMillis(50))
                                .backoff(Duration.ofMinutes(1), Duration.ofMinutes(1)));
        PeerMessage copies = new PeerMessage.StreamOriginCopies(List.of());
        assertThat(a.request("b", copies, TIMEOUT).get(20, TimeUnit.SECONDS)).isEqualTo(ACK);
        TimeUnit.SECONDS.sleep(1);
        // The fault closes the link that is still there, and the next request waits for the
        // backoff.
        mServer.injectFault("a", LinkFault.CLOSED);
        mServer.injectFault("a", LinkFault.NONE);
        TimeUnit.SECONDS.sleep(1);
        assertThat(verdictOfFailure(a.request("b", FETCH, TIMEOUT))).isEqualTo(Verdict.NOT_RUN);
    }

    @Test
    public void a_silent_link_is_detected_and_replaced() throws Exception {
        PeerTransport a = start(nodeWithShortSilenceLimit("a"));
        awaitAnswer(a);
        mServer.injectFault("a", LinkFault.SILENT);
        assertThat(verdictOfFailure(a.request("b", FETCH, TIMEOUT)))
                .isEqualTo(Verdict.MAY_HAVE_RUN);
        assertRejected(PeerRejectReason.SILENT);
        mServer.injectFault("a", LinkFault.NONE);
        awaitAnswer(a);
    }

    @Test
    public void heartbeats_keep_an_idle_link_open() throws Exception {
        mAddresses.put("b", start(nodeWithShortSilenceLimit("b")).address());
        PeerTransport a = start(nodeWithShortSilenceLimit("a"));
        awaitAnswer(a);
        // Two and a half times the silence limit without a message.
        assertThat(mRejected.poll(2_500, TimeUnit.MILLISECONDS)).isNull();
    }

    @DataProvider
    public Object[][] peersOfOtherFleets() {
        return new Object[][] {
            {node("a").fleet("other"), PeerRejectReason.WRONG_FLEET},
            {node("a").secret("0123456789abcdef".getBytes()), PeerRejectReason.WRONG_PROOF},
        };
    }

    @Test(dataProvider = "peersOfOtherFleets")
    public void a_peer_with_another_fleet_or_secret_is_rejected_with_a_reason(
            PeerTransport.Builder otherPeer, PeerRejectReason reason) throws Exception {
        PeerTransport a = start(otherPeer.listener((from, message, reply) -> {}));
        assertThat(verdictOfFailure(a.request("b", FETCH, TIMEOUT))).isEqualTo(Verdict.NOT_RUN);
        assertRejected(reason);
        assertThat(rejectionCount("peers", reason)).isEqualTo(1);
        assertServerStillWorks();
    }

    @Test
    public void an_address_that_is_not_allowed_and_a_wrong_vm_are_rejected() throws Exception {
        mAddressAllowed = false;
        PeerTransport a = start(node("a"));
        assertThat(verdictOfFailure(a.request("b", FETCH, TIMEOUT))).isEqualTo(Verdict.NOT_RUN);
        assertRejected(PeerRejectReason.ADDRESS_NOT_LISTED);
        mAddressAllowed = true;
        mAddresses.put("c", mServer.address());
        assertThat(verdictOfFailure(a.request("c", FETCH, TIMEOUT))).isEqualTo(Verdict.NOT_RUN);
        assertRejected(PeerRejectReason.WRONG_VM);
        assertServerStillWorks();
    }

    @DataProvider
    public Object[][] invalidFrames() throws PeerException {
        PeerMessage.Sender self = new PeerMessage.Sender("a", "1");
        byte[] nonce = new byte[Handshake.NONCE_BYTES];
        return new Object[][] {
            {new byte[] {0, 0, 16, 0}, "frames", PeerRejectReason.FRAME_TOO_LONG},
            {new byte[] {-1, -1, -1, -1}, "frames", PeerRejectReason.FRAME_TOO_LONG},
            {new byte[] {0, 0, 0, 0}, "frames", PeerRejectReason.FRAME_MALFORMED},
            {new byte[] {0, 0, 0, 2, 99, 0}, "frames", PeerRejectReason.FRAME_MALFORMED},
            {PeerCodec.encode(0, FETCH).array(), "frames", PeerRejectReason.FRAME_UNEXPECTED},
            {
                PeerCodec.encode(0, new PeerMessage.Proof(nonce)).array(),
                "frames",
                PeerRejectReason.FRAME_UNEXPECTED
            },
            {
                PeerCodec.encode(
                                0,
                                new PeerMessage.Hello(
                                        Handshake.VERSION + 1, "granite", self, nonce))
                        .array(),
                "peers",
                PeerRejectReason.WRONG_VERSION
            },
            {
                PeerCodec.encode(
                                0,
                                new PeerMessage.Hello(
                                        Handshake.VERSION, "granite", self, new byte[3]))
                        .array(),
                "frames",
                PeerRejectReason.FRAME_MALFORMED
            },
        };
    }

    @Test(dataProvider = "invalidFrames")
    public void an_invalid_frame_closes_only_its_own_link(
            byte[] bytes, String kind, PeerRejectReason reason) throws Exception {
        try (Socket socket = new Socket()) {
            socket.connect(mServer.address());
            socket.setSoTimeout((int) TIMEOUT.toMillis());
            socket.getOutputStream().write(bytes);
            assertRejected(reason);
            assertClosed(socket);
        }
        assertThat(rejectionCount(kind, reason)).isEqualTo(1);
        assertServerStillWorks();
    }

    @DataProvider
    public Object[][] invalidFramesAfterHandshake() throws PeerException {
        int tooLong = PeerCodec.MAX_FRAME_BYTES + 1;
        return new Object[][] {
            {ByteBuffer.allocate(4).putInt(tooLong).array(), PeerRejectReason.FRAME_TOO_LONG},
            {new byte[] {0, 0, 0, 2, 99, 0}, PeerRejectReason.FRAME_MALFORMED},
            {PeerCodec.encode(-1, FETCH).array(), PeerRejectReason.FRAME_UNEXPECTED},
            {
                PeerCodec.encode(0, new PeerMessage.Proof(new byte[32])).array(),
                PeerRejectReason.FRAME_UNEXPECTED
            },
        };
    }

    @Test(dataProvider = "invalidFramesAfterHandshake")
    public void an_invalid_frame_of_an_authenticated_peer_closes_only_its_own_link(
            byte[] bytes, PeerRejectReason reason) throws Exception {
        Handshake handshake =
                new Handshake(true, SECRET, "granite", new PeerMessage.Sender("a", "1"));
        try (Socket socket = new Socket()) {
            socket.connect(mServer.address());
            socket.setSoTimeout((int) TIMEOUT.toMillis());
            DataInputStream in = new DataInputStream(socket.getInputStream());
            socket.getOutputStream().write(PeerCodec.encode(0, handshake.hello()).array());
            byte[] hello = in.readNBytes(in.readInt());
            handshake.accept((PeerMessage.Hello) PeerCodec.decode(hello).message(), "b");
            socket.getOutputStream().write(PeerCodec.encode(0, handshake.proof()).array());
            byte[] proof = in.readNBytes(in.readInt());
            handshake.verify((PeerMessage.Proof) PeerCodec.decode(proof).message());
            socket.getOutputStream().write(bytes);
            assertRejected(reason);
            assertClosed(socket);
        }
        assertServerStillWorks();
    }

    @Test
    public void a_proof_cannot_be_reflected() throws PeerException {
        // given an attacker that sends the dialler's own hello and proof back to it
        Handshake dialler =
                new Handshake(true, SECRET, "granite", new PeerMessage.Sender("a", "1"));
        dialler.accept(dialler.hello(), "a");
        assertThatThrownBy(() -> dialler.verify(dialler.proof()))
                .isInstanceOfSatisfying(
                        PeerException.class,
                        e -> assertThat(e.reason()).isEqualTo(PeerRejectReason.WRONG_PROOF));
    }

    @Test
    public void one_process_talks_to_a_hundred_peers_with_one_thread() throws Exception {
        List<CompletableFuture<PeerMessage>> answers = new CopyOnWriteArrayList<>();
        for (int i = 0; i < 100; i++) {
            answers.add(start(node("p" + i)).request("b", FETCH, TIMEOUT));
        }
        for (CompletableFuture<PeerMessage> answer : answers) {
            assertThat(answer.get(20, TimeUnit.SECONDS)).isEqualTo(ACK);
        }
        long threads =
                Thread.getAllStackTraces().keySet().stream()
                        .filter(t -> t.getName().equals("peer-transport") && t.isAlive())
                        .count();
        assertThat(threads).isEqualTo(101);
    }

    private static void assertClosed(Socket socket) {
        assertThatThrownBy(
                        () -> {
                            DataInputStream in = new DataInputStream(socket.getInputStream());
                            while (true) {
                                in.readByte();
                            }
                        })
                .isInstanceOf(IOException.class)
                .isNotInstanceOf(java.net.SocketTimeoutException.class);
    }

    private void assertServerStillWorks() throws Exception {
        awaitAnswer(start(node("z")));
    }
}
