package org.bulrushvale.system;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.adapters.caller.CallerRequest;
import org.bulrushvale.adapters.caller.CallerRequestHandler;
import org.bulrushvale.adapters.caller.CallerResponder;
import org.bulrushvale.adapters.caller.CallerResponse;
import org.bulrushvale.adapters.caller.CallerServer;
import org.bulrushvale.adapters.metrics.EntryMetrics;
import org.bulrushvale.adapters.settings.EntrySettings;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Guards against callers that send a request or read a response so slowly that they hold memory and
 * a place among the concurrent requests without end.
 */
public class SlowReaderTest {
    private static final Duration READ_TIMEOUT = Duration.ofMillis(1_500);
    // The read timeout and a second for a busy machine.
    private static final Duration LIMIT = READ_TIMEOUT.plusSeconds(1);
    private static final String OUTPUT = "x".repeat(12 << 20);

    private CallerServer mServer;

    @BeforeClass
    public void start() throws Exception {
        EntrySettings.Caller settings =
                new EntrySettings.Caller(
                        "127.0.0.1", 0, 1 << 18, 1 << 14, READ_TIMEOUT, 100, 100, 100);
        mServer = CallerServer.start(settings, new AnsweringHandler(), new EntryMetrics());
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        mServer.stop();
    }

    @Test
    public void a_response_read_byte_by_byte_is_cut_off_in_time() throws Exception {
        try (Socket caller = new Socket()) {
            // given: a caller that reads a byte now and then
            caller.setReceiveBufferSize(4_096);
            caller.connect(new InetSocketAddress("127.0.0.1", mServer.port()));
            String body = SingleEntryFixture.requestBody("granite", "letter", "input");
            String head = head(body.length());
            caller.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
            InputStream in = caller.getInputStream();
            assertThat(in.read()).isEqualTo('H');
            long startNanos = System.nanoTime();
            while (elapsed(startNanos).compareTo(LIMIT) < 0) {
                assertThat(in.read()).isNotNegative();
                TimeUnit.MILLISECONDS.sleep(200);
            }
            // then: the entry has not kept the response until now
            assertThat(mServer.running()).isZero();
            // and the caller can see that it is not whole
            assertThat(countRest(in)).isLessThan(OUTPUT.length());
        }
    }

    private static long countRest(InputStream in) {
        try {
            return in.transferTo(OutputStream.nullOutputStream());
        } catch (IOException reset) {
            return 0;
        }
    }

    @Test
    public void a_request_head_sent_byte_by_byte_ends_in_time() throws Exception {
        assertThat(timeUntilClosed("POST /v1/requests HTTP/1.1\r\nHost: a\r\nX-Long: "))
                .isLessThan(LIMIT);
    }

    @Test
    public void a_request_body_sent_byte_by_byte_ends_in_time() throws Exception {
        assertThat(timeUntilClosed(head(100_000))).isLessThan(LIMIT);
    }

    /** Sends bytes and then one byte ten times a second until the entry answers or closes. */
    private Duration timeUntilClosed(String start) throws Exception {
        try (Socket caller = new Socket("127.0.0.1", mServer.port())) {
            long startNanos = System.nanoTime();
            caller.getOutputStream().write(start.getBytes(StandardCharsets.US_ASCII));
            while (elapsed(startNanos).compareTo(LIMIT) < 0
                    && caller.getInputStream().available() == 0) {
                TimeUnit.MILLISECONDS.sleep(100);
                caller.getOutputStream().write('a');
            }
            return elapsed(startNanos);
        } catch (IOException closed) {
            return Duration.ZERO;
        }
    }

    private static Duration elapsed(long startNanos) {
        return Duration.ofNanos(System.nanoTime() - startNanos);
    }

    private static String head(int length) {
        return "POST /v1/requests HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "
                + SingleEntryFixture.TOKEN
                + "\r\nContent-Length: "
                + length
                + "\r\n\r\n";
    }

    /**
     * Answers each request at once with a long output.
     *
     * <p>Thread safety: safe for use by any thread.
     */
    private static final class AnsweringHandler implements CallerRequestHandler {
        @Override
        public Call submit(CallerRequest request, CallerResponder responder) {
            responder.complete(new CallerResponse("r-1", OUTPUT, 1, List.of()));
            return () -> {};
        }

        @Override
        public void issueKey(
                String workspace, String workClass, String tokenSha256, KeyResponder responder) {
            throw new UnsupportedOperationException();
        }

        @Override
        public String notReadyReason() {
            return "";
        }
    }
}
