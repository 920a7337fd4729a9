package org.bulrushvale.daemon.forward;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.bulrushvale.adapters.backend.BackendFailure;
import org.bulrushvale.adapters.forward.SelfTestPlatform;
import org.bulrushvale.adapters.forward.UpstreamClient;
import org.bulrushvale.adapters.settings.ForwardSettings;
import org.bulrushvale.daemon.LogSetup;
import org.bulrushvale.kernel.verdict.BulrushvaleException;

/**
 * Starts a small fleet of entries on loopback and checks its answers.
 *
 * <p>A build runs it to check its artifact. The first request finds no configuration. Then the
 * entries read a published state from fakes of the platform, exchange member lists and the state
 * with each other, and serve requests with and without stages. The test loads the classes that an
 * entry needs from its start to its stop, so the build can archive them: a class outside the
 * archive is read from its jar and verified, which takes several times as long.
 *
 * <p>Thread safety: used by the main thread.
 */
final class SelfTest {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(20);
    private static final int POLL_MILLIS = 20;
    private static final int MAX_ANSWER_BYTES = 1 << 16;
    private static final int NOT_CONFIGURED_STATUS = 503;

    // From four entries in a failure domain on, one reads the store for the others.
    private static final int ENTRIES = 4;

    // Two changes of the state and some rounds of gossip.
    private static final int CHANGES = 2;
    private static final long CHANGE_PAUSE_MILLIS = 700;

    // Nothing listens on the discard port (9) of loopback, so this store is always unreachable.
    private static final String NO_STORE = "127.0.0.1:9";
    private static final String SETTINGS =
            """
            [entry]
            vm = self-test
            failure_domain = local
            region = local
            [listen]
            callers = 127.0.0.1:0
            ready = 127.0.0.1:0
            peers = %s:%d
            metrics = 127.0.0.1:0
            [fleet]
            name = self-test
            secret = secret-of-the-self-test
            seeds = %s
            [store]
            address = %s
            [drain]
            unready_ms = 100
            grace_s = 3
            """;

    private SelfTest() {}

    /** Returns the exit code: 0 when every request got the expected answer. */
    static int run(PrintWriter err) throws InterruptedException {
        try {
            LogSetup.configure(true, settings(1, 0, NO_STORE).log().level());
            return answersWithoutStore(err) && answersInFleet(err) ? 0 : 1;
        } catch (BulrushvaleException e) {
            err.println("cannot start: " + e.detail());
        } catch (IOException | ExecutionException | TimeoutException e) {
            err.println("the entry did not answer: " + e);
        }
        return 1;
    }

    /** Reads settings from a file, as a process does that the platform starts. */
    private static ForwardSettings settings(int entry, int peerPort, String store)
            throws IOException {
        String seeds = peerPort == 0 ? "" : "127.0.0.1:" + peerPort + ",127.0.0.2:" + peerPort;
        Path path = Files.createTempFile("self-test", ".ini");
        try {
            Files.writeString(path, SETTINGS.formatted("127.0.0." + entry, peerPort, seeds, store));
            SettingsFile file = new SettingsFile(path);
            ForwardSettings settings = file.read().settings().orElseThrow();
            file.readChanged();
            return settings;
        } finally {
            Files.delete(path);
        }
    }

    private static boolean answersWithoutStore(PrintWriter err)
            throws IOException,
                    InterruptedException,
                    BulrushvaleException,
                    ExecutionException,
                    TimeoutException {
        try (ForwardDaemon daemon = ForwardDaemon.start(settings(1, 0, NO_STORE))) {
            int status = status(daemon, requestWithoutConfig(daemon));
            err.println(
                    "the entry answered with status "
                            + status
                            + ", expected "
                            + NOT_CONFIGURED_STATUS);
            return status == NOT_CONFIGURED_STATUS;
        }
    }

    private static boolean answersInFleet(PrintWriter err)
            throws IOException,
                    InterruptedException,
                    BulrushvaleException,
                    ExecutionException,
                    TimeoutException {
        List<ForwardDaemon> entries = new ArrayList<>();
        try (SelfTestPlatform platform = ForwardDaemon.loadOnlyProvider(SelfTestPlatform.class)) {
            InetSocketAddress store = platform.start();
            int peerPort = freePort();
            for (int i = 1; i <= ENTRIES; i++) {
                String address = "127.0.0.1:" + store.getPort();
                entries.add(ForwardDaemon.start(settings(i, peerPort, address)));
            }
            for (ForwardDaemon entry : entries) {
                awaitReady(entry);
            }
            boolean allServed = true;
            for (int i = 0; i < CHANGES; i++) {
                allServed &= servesAll(entries, platform, err);
                platform.publishChange();
                Thread.sleep(CHANGE_PAUSE_MILLIS);
            }
            entries.forEach(ForwardDaemon::drain);
            for (ForwardDaemon entry : entries) {
                entry.awaitDrainedWithinGrace();
            }
            return allServed;
        } finally {
            entries.forEach(ForwardDaemon::close);
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0)) {
            return free.getLocalPort();
        }
    }

    private static void awaitReady(ForwardDaemon entry)
            throws InterruptedException, ExecutionException, TimeoutException {
        UpstreamClient.Request check = get(entry.listenerAddresses().get(0), "/readyz");
        long startNanos = System.nanoTime();
        while (status(entry, check) != 200) {
            if (System.nanoTime() - startNanos > READY_TIMEOUT.toNanos()) {
                throw new TimeoutException("the entry is not ready");
            }
            Thread.sleep(POLL_MILLIS);
        }
        status(entry, get(entry.listenerAddresses().get(1), "/metrics"));
    }

    private static boolean servesAll(
            List<ForwardDaemon> entries, SelfTestPlatform platform, PrintWriter err)
            throws InterruptedException, ExecutionException, TimeoutException {
        boolean served = true;
        for (ForwardDaemon entry : entries) {
            InetSocketAddress callers =
                    entry.listenerAddresses().get(ForwardDaemon.CALLER_LISTENER_INDEX);
            for (UpstreamClient.Request request : platform.requests(callers)) {
                int status = status(entry, request);
                if (status != 200) {
                    err.println("status " + status + " for " + request.target() + ", expected 200");
                    served = false;
                }
            }
        }
        return served;
    }

    private static UpstreamClient.Request requestWithoutConfig(ForwardDaemon daemon) {
        UpstreamClient.Request request =
                get(daemon.listenerAddresses().get(ForwardDaemon.CALLER_LISTENER_INDEX), "/");
        daemon.protocol().addRequestId("self-test", request.headers());
        return request;
    }

    private static UpstreamClient.Request get(InetSocketAddress address, String target) {
        HeaderMap headers = new HeaderMap();
        headers.put(Headers.HOST, "self.test");
        return new UpstreamClient.Request(
                "127.0.0.1",
                address.getPort(),
                Methods.GET,
                target,
                headers,
                new byte[0],
                REQUEST_TIMEOUT,
                false);
    }

    private static int status(ForwardDaemon client, UpstreamClient.Request request)
            throws InterruptedException, ExecutionException, TimeoutException {
        return send(client, request).get(REQUEST_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    private static CompletableFuture<Integer> send(
            ForwardDaemon client, UpstreamClient.Request request) {
        CompletableFuture<Integer> status = new CompletableFuture<>();
        client.upstreamClient()
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
