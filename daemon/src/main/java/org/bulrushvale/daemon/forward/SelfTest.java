package org.bulrushvale.daemon.forward;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.io.PrintWriter;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.bulrushvale.adapters.backend.BackendFailure;
import org.bulrushvale.adapters.forward.UpstreamClient;
import org.bulrushvale.adapters.settings.ForwardSettings;
import org.bulrushvale.daemon.LogSetup;
import org.bulrushvale.kernel.verdict.BulrushvaleException;

/**
 * Starts an entry on loopback without a store and checks its answer to one request.
 *
 * <p>A build runs it to check its artifact. The test loads the classes that a start needs, so the
 * build can archive them for faster starts.
 *
 * <p>Thread safety: used by the main thread.
 */
final class SelfTest {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);
    private static final int MAX_ANSWER_BYTES = 1 << 16;
    private static final int NOT_CONFIGURED_STATUS = 503;

    // Nothing listens on the discard port (9) of loopback, so the store is always unreachable.
    private static final String SETTINGS =
            """
            [entry]
            vm = self-test
            failure_domain = local
            region = local
            [listen]
            callers = 127.0.0.1:0
            ready = 127.0.0.1:0
            peers = 127.0.0.1:0
            metrics = 127.0.0.1:0
            [fleet]
            name = self-test
            secret = secret-of-the-self-test
            [store]
            address = 127.0.0.1:9
            """;

    private SelfTest() {}

    /** Returns the exit code: 0 when the entry answered that it is not configured yet. */
    static int run(PrintWriter err) throws InterruptedException {
        ForwardSettings settings = ForwardSettings.check(SETTINGS).settings().orElseThrow();
        LogSetup.configure(true, settings.log().level());
        try (ForwardDaemon daemon = ForwardDaemon.start(settings)) {
            int status = sendRequest(daemon).get(REQUEST_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            err.println(
                    "the entry answered with status "
                            + status
                            + ", expected "
                            + NOT_CONFIGURED_STATUS);
            return status == NOT_CONFIGURED_STATUS ? 0 : 1;
        } catch (BulrushvaleException e) {
            err.println("cannot start: " + e.detail());
        } catch (ExecutionException | TimeoutException e) {
            err.println("the entry did not answer: " + e);
        }
        return 1;
    }

    private static CompletableFuture<Integer> sendRequest(ForwardDaemon daemon) {
        int port = daemon.listenerAddresses().get(ForwardDaemon.CALLER_LISTENER_INDEX).getPort();
        HeaderMap headers = new HeaderMap();
        headers.put(Headers.HOST, "self.test");
        daemon.protocol().addRequestId("self-test", headers);
        CompletableFuture<Integer> status = new CompletableFuture<>();
        UpstreamClient.Request request =
                new UpstreamClient.Request(
                        "127.0.0.1",
                        port,
                        Methods.GET,
                        "/",
                        headers,
                        new byte[0],
                        REQUEST_TIMEOUT,
                        false);
        daemon.upstreamClient()
                .start(
                        request,
                        new UpstreamClient.BufferedResponseListener(MAX_ANSWER_BYTES) {
                            @Override
                            protected void complete(
                                    int responseStatus, HeaderMap head, byte[] body) {
                                status.complete(responseStatus);
                            }

                            @Override
                            public void failed(
                                    boolean sent, BackendFailure failure, String detail) {
                                status.completeExceptionally(
                                        new IllegalStateException(failure + ": " + detail));
                            }
                        });
        return status;
    }
}
