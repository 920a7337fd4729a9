package org.bulrushvale.adapters.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.adapters.settings.ForwardSettings;
import org.bulrushvale.kernel.time.Clock;
import org.testng.annotations.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Guards against an overloaded entry that cuts off requests when it closes idle connections. */
public class ForwardServerTest {
    private static final byte[] REQUEST =
            "GET /x HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final int TIMEOUT_MS = 10_000;
    private static final String SETTINGS =
            """
            [entry]
            vm = vm-1
            failure_domain = a
            region = r
            [listen]
            callers = 127.0.0.1:0
            ready = 127.0.0.1:0
            peers = 127.0.0.1:0
            metrics = 127.0.0.1:0
            [fleet]
            name = test
            secret = secret-of-the-test-fleet
            [store]
            address = 127.0.0.1:1
            """;

    private final LinkedBlockingQueue<CallerExchange> mRequests = new LinkedBlockingQueue<>();

    @Test
    public void closing_idle_connections_spares_those_with_a_request() throws Exception {
        XnioWorker worker =
                Xnio.getInstance()
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_IO_THREADS, 1)
                                        .set(Options.THREAD_DAEMON, true)
                                        .getMap());
        ForwardSettings settings = ForwardSettings.check(SETTINGS).settings().orElseThrow();
        try (ForwardServer server =
                        ForwardServer.start(
                                settings, worker, new Handler(), () -> "", Clock.system());
                Socket idle = connect(server);
                Socket busy = connect(server)) {
            // given
            idle.getOutputStream().write(REQUEST);
            answer();
            assertThat(readSome(idle)).startsWith("HTTP/1.1 200");
            busy.getOutputStream().write(REQUEST);
            CallerExchange pending = mRequests.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            // when
            server.closeIdleConnections();
            // then
            assertThat(idle.getInputStream().read()).isEqualTo(-1);
            pending.sendResponse(200, new HeaderMap(), new byte[0]);
            assertThat(readSome(busy)).startsWith("HTTP/1.1 200");
            busy.getOutputStream().write(REQUEST);
            answer();
            assertThat(readSome(busy)).startsWith("HTTP/1.1 200");
        } finally {
            worker.shutdownNow();
        }
    }

    private void answer() throws InterruptedException {
        mRequests
                .poll(TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .sendResponse(200, new HeaderMap(), new byte[0]);
    }

    private static Socket connect(ForwardServer server) throws IOException {
        InetSocketAddress callers = server.addresses().get(2);
        Socket socket = new Socket(callers.getAddress(), callers.getPort());
        socket.setSoTimeout(TIMEOUT_MS);
        return socket;
    }

    private static String readSome(Socket socket) throws IOException {
        byte[] bytes = new byte[4_096];
        int count = socket.getInputStream().read(bytes);
        return count < 0 ? "" : new String(bytes, 0, count, StandardCharsets.US_ASCII);
    }

    /** Leaves the requests to the test. */
    private final class Handler implements ForwardRequestHandler {
        @Override
        public void handle(CallerExchange exchange) {
            mRequests.add(exchange);
        }

        @Override
        public String notReadyReason() {
            return "";
        }
    }
}
