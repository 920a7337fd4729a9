package org.bulrushvale.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.adapters.peer.LinkFault;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.adapters.peer.PeerTransport;
import org.bulrushvale.decision.retry.ContentFingerprint;
import org.bulrushvale.decision.retry.PoisonRecord;
import org.bulrushvale.decision.retry.PoisonTable;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.time.Clock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a caller that receives its answer before the peers know of a confirmed poison
 * request, and against a silent peer that delays the answer beyond the limit.
 */
public class PoisonNotifierTest {
    private static final ContentFingerprint CONTENT = ContentFingerprint.of("w", "crash");
    private static final List<PoisonRecord> CONFIRMED_POISON =
            List.of(new PoisonRecord(CONTENT, Set.of("s1/e", "s2/e"), Set.of(), true, 0));

    private final PoisonTable mReceived = new PoisonTable(Clock.system());
    private EventLoop mLoop;
    private PeerTransport mReceiver;
    private PeerTransport mSender;

    @BeforeMethod
    public void start() {
        mLoop = EventLoop.start("notices", 64);
        mReceiver = transport("b", Optional.empty());
        mSender = transport("a", Optional.of(mReceiver));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mSender.close();
        mReceiver.close();
        mLoop.close();
    }

    @Test
    public void the_peer_knows_the_confirmed_poison_request_before_the_caller_is_answered()
            throws Exception {
        CompletableFuture<Boolean> known = push(() -> mReceived.isPoison(CONTENT));
        assertThat(known.get(10, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    public void a_silent_peer_delays_the_caller_only_by_the_longest_wait() throws Exception {
        // given
        mSender.injectFault("b", LinkFault.SILENT);
        long start = System.nanoTime();
        // when
        CompletableFuture<Boolean> answered = push(() -> true);
        // then
        assertThat(answered.get(10, TimeUnit.SECONDS)).isTrue();
        assertThat(Duration.ofNanos(System.nanoTime() - start))
                .isGreaterThanOrEqualTo(PoisonNotifier.MAX_WAIT)
                .isLessThan(Duration.ofSeconds(2));
    }

    private CompletableFuture<Boolean> push(java.util.function.BooleanSupplier resultAtAnswer) {
        PoisonNotifier notifier =
                new PoisonNotifier(
                        mLoop, new PoisonTable(Clock.system()), mSender, () -> List.of("b"));
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        mLoop.execute(
                () ->
                        notifier.push(
                                CONFIRMED_POISON,
                                () -> result.complete(resultAtAnswer.getAsBoolean())));
        return result;
    }

    private PeerTransport transport(String vm, Optional<PeerTransport> peer) {
        EventLoop loop = mLoop;
        try {
            return PeerTransport.builder()
                    .fleet("f")
                    .sender(vm, "0")
                    .secret("a-secret-of-the-test-fleet".getBytes(StandardCharsets.UTF_8))
                    .accept(address -> true)
                    .resolver(name -> peer.map(PeerTransport::address))
                    .listener(
                            (from, message, reply) -> {
                                if (message instanceof PeerMessage.PoisonNotice notice) {
                                    loop.execute(() -> receive(notice, reply));
                                }
                            })
                    .start();
        } catch (org.bulrushvale.adapters.peer.PeerException e) {
            throw new IllegalStateException(e);
        }
    }

    private void receive(
            PeerMessage.PoisonNotice notice,
            org.bulrushvale.adapters.peer.PeerListener.Responder r) {
        new PoisonNotifier(mLoop, mReceived, mReceiver, List::of).receive(notice, r);
    }
}
