package org.bulrushvale.adapters.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.bulrushvale.adapters.metrics.EntryMetrics;
import org.bulrushvale.adapters.settings.EntrySettings;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.testng.annotations.Test;

/** Guards against a shutdown that closes a connection on which further requests have arrived. */
public class CallerServerTest {
    private static final int READ_TIMEOUT_MS = 10_000;
    private static final String BODY =
            "{\"workspace\":\"w\",\"class\":\"c\",\"input\":\"text\",\"max_tokens\":1}";
    private static final String REQUEST =
            "POST /v1/requests HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer token\r\n"
                    + "Content-Type: application/json\r\nContent-Length: "
                    + BODY.length()
                    + "\r\n\r\n"
                    + BODY;

    @Test
    public void requests_that_arrived_before_an_answer_are_answered_although_not_read_yet()
            throws Exception {
        // given a daemon that answers the first request as soon as further ones have been sent
        CountDownLatch firstArrived = new CountDownLatch(1);
        CountDownLatch furtherSent = new CountDownLatch(1);
        AtomicInteger submitted = new AtomicInteger();
        CallerRequestHandler daemon =
                new RefusingDaemon(
                        () -> {
                            if (submitted.incrementAndGet() == 1) {
                                firstArrived.countDown();
                                await(furtherSent);
                            }
                        });
        EntrySettings.Caller settings =
                new EntrySettings.Caller(
                        "127.0.0.1",
                        0,
                        65_536,
                        16_384,
                        Duration.ofMillis(READ_TIMEOUT_MS),
                        100,
                        100,
                        100);
        CallerServer server = CallerServer.start(settings, daemon, new EntryMetrics());
        try (Socket caller = new Socket("127.0.0.1", server.port())) {
            caller.setSoTimeout(READ_TIMEOUT_MS);
            server.drain();
            write(caller, REQUEST);
            assertThat(firstArrived.await(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
            // when
            write(caller, REQUEST + REQUEST);
            furtherSent.countDown();
            // then
            String answers =
                    new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(answers.split("HTTP/1.1 503", -1)).hasSize(4);
            assertThat(answers.split("Connection: close", -1)).hasSize(2);
        } finally {
            server.stop();
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Refuses every request on the I/O thread.
     *
     * <p>Thread safety: immutable.
     */
    private record RefusingDaemon(Runnable beforeRefusal) implements CallerRequestHandler {
        @Override
        public Call submit(CallerRequest request, CallerResponder responder) {
            beforeRefusal.run();
            responder.fail(Problem.refusal(ErrorCode.DRAINING, "shutting down", false));
            return () -> {};
        }

        @Override
        public void issueKey(
                String workspace, String workClass, String tokenSha256, KeyResponder responder) {
            responder.fail(Problem.refusal(ErrorCode.DRAINING, "shutting down", false));
        }

        @Override
        public String notReadyReason() {
            return "shutting down";
        }
    }
}
