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

/** Guards against a transport that hangs, stops, accepts strangers or reports a false verdict. */
public class PeerTransportTest {
    private static final byte[] SECRET = new byte[32];
    private static final Duration LONG = Duration.ofSeconds(20);
    private static final PeerMessage FETCH = new PeerMessage.ConfigFetch(List.of("classes"));
    private static final PeerMessage ACK = new PeerMessage.PoisonAck();

    private final Map<String, InetSocketAddress> mAddresses = new ConcurrentHashMap<>();
    private final List<PeerTransport> mStarted = new CopyOnWriteArrayList<>();
    private final BlockingQueue<PeerException> mRejected = new LinkedBlockingQueue<>();
    private final BlockingQueue<PeerMessage> mReceived = new LinkedBlockingQueue<>();
    private volatile boolean mAnswer;
    private volatile boolean mListed;
    private SimpleMeterRegistry mMeters;
    private PeerTransport mServer;

    @BeforeMethod
    public void startServer() throws PeerException {
        mAddresses.clear();
        mRejected.clear();
        mReceived.clear();
        mAnswer = true;
        mListed = true;
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
                    public void received(PeerMessage.Sender from, PeerMessage message, Reply to) {
                        mReceived.add(message);
                        if (mAnswer) {
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
                .accept(address -> mListed)
                .resolver(name -> Optional.ofNullable(mAddresses.get(name)))
                .heartbeat(Duration.ofSeconds(1), Duration.ofSeconds(10))
                .backoff(Duration.ofMillis(1), Duration.ofMillis(5))
                .listener(listener);
    }

    private PeerTransport.Builder watchful(String vm) {
        return node(vm).heartbeat(Duration.ofMillis(150), Duration.ofMillis(1_000));
    }

    private static Verdict failure(CompletableFuture<PeerMessage> future) throws Exception {
        try {
            throw new AssertionError("answered with " + future.get(20, TimeUnit.SECONDS));
        } catch (ExecutionException e) {
            return ((PeerException) e.getCause()).verdict();
        }
    }

    private static void awaitAnswer(PeerTransport from) throws Exception {
        // A refused attempt ends at once during the backoff, so the loop is bounded by time.
        long end = System.nanoTime() + LONG.toNanos();
        while (System.nanoTime() < end) {
            try {
                from.request("b", FETCH, LONG).get(20, TimeUnit.SECONDS);
                return;
            } catch (ExecutionException expected) {
                Thread.onSpinWait();
            }
        }
        throw new AssertionError("no connection");
    }

    private void assertRejected(PeerReject reason) throws InterruptedException {
        PeerException error = mRejected.poll(20, TimeUnit.SECONDS);
        assertThat(error).isNotNull();
        assertThat(error.reason()).isEqualTo(reason);
    }

    private double counted(String kind, PeerReject reason) {
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
        assertThat(a.request("b", FETCH, LONG).get(20, TimeUnit.SECONDS)).isEqualTo(ACK);
        for (int i = 0; i < 200; i++) {
            assertThat(mReceived.take()).isEqualTo(new PeerMessage.ConfigFetch(List.of("n" + i)));
        }
    }

    @Test
    public void a_frame_of_one_mebibyte_passes_and_the_full_queue_refuses() throws Exception {
        PeerTransport a = start(watchful("a").queueBytes(2 << 20));
        PeerMessage large = new PeerMessage.KeyHandover(new byte[1 << 20]);
        assertThat(a.request("b", large, LONG).get(20, TimeUnit.SECONDS)).isEqualTo(ACK);
        // given a peer that takes connections and never reads
        try (ServerSocket deaf = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            mAddresses.put("deaf", (InetSocketAddress) deaf.getLocalSocketAddress());
            CompletableFuture<PeerMessage> first = a.request("deaf", large, LONG);
            CompletableFuture<PeerMessage> second = a.request("deaf", large, LONG);
            // then
            assertThat(failure(second)).isEqualTo(Verdict.NOT_RUN);
            assertThat(failure(first)).isEqualTo(Verdict.NOT_RUN);
        }
    }

    @Test
    public void an_unanswered_request_may_have_run_and_an_undeliverable_one_did_not()
            throws Exception {
        PeerTransport a = start(node("a"));
        mAnswer = false;
        CompletableFuture<PeerMessage> sent = a.request("b", FETCH, Duration.ofMillis(300));
        assertThat(failure(sent)).isEqualTo(Verdict.MAY_HAVE_RUN);
        assertThat(failure(a.request("nobody", FETCH, LONG))).isEqualTo(Verdict.NOT_RUN);
        CompletableFuture<PeerMessage> open = a.request("b", FETCH, LONG);
        mReceived.take();
        mReceived.take();
        mServer.close();
        assertThat(failure(open)).isEqualTo(Verdict.MAY_HAVE_RUN);
    }

    @Test
    public void requests_after_close_fail_instead_of_hanging() throws Exception {
        PeerTransport a = start(node("a"));
        mAnswer = false;
        CompletableFuture<PeerMessage> open = a.request("b", FETCH, LONG);
        mReceived.take();
        a.close();
        assertThat(failure(open)).isEqualTo(Verdict.MAY_HAVE_RUN);
        assertThat(failure(a.request("b", FETCH, LONG))).isEqualTo(Verdict.NOT_RUN);
    }

    @Test
    public void a_cut_link_fails_and_is_opened_again_after_the_cut() throws Exception {
        PeerTransport a = start(node("a"));
        awaitAnswer(a);
        a.injectFault("b", LinkFault.CLOSED);
        assertThat(failure(a.request("b", FETCH, LONG))).isEqualTo(Verdict.NOT_RUN);
        a.injectFault("b", LinkFault.NONE);
        awaitAnswer(a);
    }

    @Test
    public void a_silent_link_is_found_and_replaced() throws Exception {
        PeerTransport a = start(watchful("a"));
        awaitAnswer(a);
        mServer.injectFault("a", LinkFault.SILENT);
        assertThat(failure(a.request("b", FETCH, LONG))).isEqualTo(Verdict.MAY_HAVE_RUN);
        assertRejected(PeerReject.SILENT);
        mServer.injectFault("a", LinkFault.NONE);
        awaitAnswer(a);
    }

    @Test
    public void an_idle_link_is_kept_by_heartbeats() throws Exception {
        mAddresses.put("b", start(watchful("b")).address());
        PeerTransport a = start(watchful("a"));
        awaitAnswer(a);
        // Two and a half times the silence limit without a message.
        assertThat(mRejected.poll(2_500, TimeUnit.MILLISECONDS)).isNull();
    }

    @DataProvider
    public Object[][] strangers() {
        return new Object[][] {
            {node("a").fleet("other"), PeerReject.WRONG_FLEET},
            {node("a").secret("0123456789abcdef".getBytes()), PeerReject.WRONG_PROOF},
        };
    }

    @Test(dataProvider = "strangers")
    public void a_stranger_is_rejected_with_a_typed_error(
            PeerTransport.Builder stranger, PeerReject reason) throws Exception {
        PeerTransport a = start(stranger.listener((from, message, reply) -> {}));
        assertThat(failure(a.request("b", FETCH, LONG))).isEqualTo(Verdict.NOT_RUN);
        assertRejected(reason);
        assertThat(counted("peers", reason)).isEqualTo(1);
        assertServerStillWorks();
    }

    @Test
    public void an_unlisted_address_and_a_wrong_vm_are_rejected() throws Exception {
        mListed = false;
        PeerTransport a = start(node("a"));
        assertThat(failure(a.request("b", FETCH, LONG))).isEqualTo(Verdict.NOT_RUN);
        assertRejected(PeerReject.ADDRESS_NOT_LISTED);
        mListed = true;
        mAddresses.put("c", mServer.address());
        assertThat(failure(a.request("c", FETCH, LONG))).isEqualTo(Verdict.NOT_RUN);
        assertRejected(PeerReject.WRONG_VM);
        assertServerStillWorks();
    }

    @DataProvider
    public Object[][] brokenFrames() throws PeerException {
        PeerMessage.Sender self = new PeerMessage.Sender("a", "1");
        byte[] nonce = new byte[Handshake.NONCE_BYTES];
        return new Object[][] {
            {new byte[] {0, 0, 16, 0}, "frames", PeerReject.FRAME_TOO_LONG},
            {new byte[] {-1, -1, -1, -1}, "frames", PeerReject.FRAME_TOO_LONG},
            {new byte[] {0, 0, 0, 0}, "frames", PeerReject.FRAME_MALFORMED},
            {new byte[] {0, 0, 0, 2, 99, 0}, "frames", PeerReject.FRAME_MALFORMED},
            {PeerCodec.encode(0, FETCH).array(), "frames", PeerReject.FRAME_UNEXPECTED},
            {
                PeerCodec.encode(0, new PeerMessage.Proof(nonce)).array(),
                "frames",
                PeerReject.FRAME_UNEXPECTED
            },
            {
                PeerCodec.encode(0, new PeerMessage.Hello(2, "granite", self, nonce)).array(),
                "peers",
                PeerReject.WRONG_VERSION
            },
            {
                PeerCodec.encode(0, new PeerMessage.Hello(1, "granite", self, new byte[3])).array(),
                "frames",
                PeerReject.FRAME_MALFORMED
            },
        };
    }

    @Test(dataProvider = "brokenFrames")
    public void a_broken_frame_closes_its_link_only(byte[] bytes, String kind, PeerReject reason)
            throws Exception {
        try (Socket socket = new Socket()) {
            socket.connect(mServer.address());
            socket.setSoTimeout((int) LONG.toMillis());
            socket.getOutputStream().write(bytes);
            assertRejected(reason);
            assertClosed(socket);
        }
        assertThat(counted(kind, reason)).isEqualTo(1);
        assertServerStillWorks();
    }

    @DataProvider
    public Object[][] brokenFramesAfterProof() throws PeerException {
        int tooLong = PeerCodec.MAX_FRAME_BYTES + 1;
        return new Object[][] {
            {ByteBuffer.allocate(4).putInt(tooLong).array(), PeerReject.FRAME_TOO_LONG},
            {new byte[] {0, 0, 0, 2, 99, 0}, PeerReject.FRAME_MALFORMED},
            {PeerCodec.encode(-1, FETCH).array(), PeerReject.FRAME_UNEXPECTED},
            {
                PeerCodec.encode(0, new PeerMessage.Proof(new byte[32])).array(),
                PeerReject.FRAME_UNEXPECTED
            },
        };
    }

    @Test(dataProvider = "brokenFramesAfterProof")
    public void a_broken_frame_of_a_proven_peer_closes_its_link_only(
            byte[] bytes, PeerReject reason) throws Exception {
        Handshake handshake =
                new Handshake(true, SECRET, "granite", new PeerMessage.Sender("a", "1"));
        try (Socket socket = new Socket()) {
            socket.connect(mServer.address());
            socket.setSoTimeout((int) LONG.toMillis());
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
        // given a stranger that returns hello and proof of the dialler to it
        Handshake dialler =
                new Handshake(true, SECRET, "granite", new PeerMessage.Sender("a", "1"));
        dialler.accept(dialler.hello(), "a");
        assertThatThrownBy(() -> dialler.verify(dialler.proof()))
                .isInstanceOfSatisfying(
                        PeerException.class,
                        e -> assertThat(e.reason()).isEqualTo(PeerReject.WRONG_PROOF));
    }

    @Test
    public void one_process_talks_to_a_hundred_peers_with_one_thread() throws Exception {
        List<CompletableFuture<PeerMessage>> answers = new CopyOnWriteArrayList<>();
        for (int i = 0; i < 100; i++) {
            answers.add(start(node("p" + i)).request("b", FETCH, LONG));
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
