package org.bulrushvale.adapters.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.client.ClientRequest;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;
import org.bulrushvale.adapters.settings.EntrySettings;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * HTTP/1.1 client for backend servers.
 *
 * <pre>{@code
 * BackendClient client = BackendClient.start(settings.backend(), server -> markCold(server));
 * BackendClient.Attempt attempt = client.sendAttempt(address, call, epoch, listener);
 * attempt.abort();
 * }</pre>
 *
 * <p>Invariant: a connection carries one exchange at a time and is reused only after a complete
 * response. {@code onConnectionLost} is called once for each connection that closes unexpectedly,
 * before any load report is read on a newer connection. Thread safety: all methods may be called
 * from any thread.
 */
public final class BackendClient implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int BUFFER_BYTES = 8_192;
    private static final int MAX_REPORT_BYTES = 65_536;
    private static final int OK = 200;

    /**
     * Half of the 2 s for which a load report permits sending, so that a connection that went
     * silent is replaced before the last report expires.
     */
    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(1);

    /** Another attempt may take a connection after it was verified; then a new one is verified. */
    private static final int MAX_VERIFICATIONS = 4;

    private final EntrySettings.Backend mSettings;
    private final Consumer<String> mOnConnectionLost;
    private final XnioWorker mWorker;
    private final LimitedConnections mConnections =
            new LimitedConnections(new DefaultByteBufferPool(true, BUFFER_BYTES), OptionMap.EMPTY);
    private final Map<BackendAddress, ConnectionPool> mPools = new ConcurrentHashMap<>();

    private BackendClient(
            EntrySettings.Backend settings, Consumer<String> onConnectionLost, XnioWorker worker) {
        mSettings = settings;
        mOnConnectionLost = onConnectionLost;
        mWorker = worker;
    }

    /**
     * Starts a client.
     *
     * @param onConnectionLost receives the name of a server whose connection closed or went silent
     */
    public static BackendClient start(
            EntrySettings.Backend settings, Consumer<String> onConnectionLost)
            throws BulrushvaleException {
        OptionMap options =
                OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 2)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .set(Options.WORKER_NAME, "backend")
                        .getMap();
        try {
            XnioWorker worker =
                    Xnio.getInstance(BackendClient.class.getClassLoader()).createWorker(options);
            return new BackendClient(settings, onConnectionLost, worker);
        } catch (IOException e) {
            throw new BulrushvaleException(
                    ErrorCode.INTERNAL, Verdict.NOT_RUN, "backend client cannot start");
        }
    }

    /**
     * An attempt in progress.
     *
     * <p>Thread safety: may be used from any thread.
     */
    @FunctionalInterface
    public interface Attempt {
        /** Closes the attempt's connection; has no effect on an attempt that has ended. */
        void abort();
    }

    /**
     * Sends one attempt of a stage.
     *
     * @param epoch epoch of the server process for which the attempt was permitted. The attempt is
     *     sent only on a connection on which the server has reported this epoch, so that a
     *     restarted server never receives work that was permitted for its predecessor. An empty
     *     epoch sends on any connection.
     */
    public Attempt sendAttempt(
            BackendAddress address,
            StageAttemptRequest call,
            String epoch,
            AttemptListener listener)
            throws BulrushvaleException {
        ClientRequest request =
                new ClientRequest()
                        .setMethod(Methods.POST)
                        .setPath("/v1/stages/" + encode(call.stage()));
        if (call.stream()) {
            request.getRequestHeaders().put(Headers.ACCEPT, "text/event-stream");
        }
        byte[] body;
        try {
            body = JSON.writeValueAsBytes(call.body());
        } catch (JsonProcessingException e) {
            throw new BulrushvaleException(
                    ErrorCode.INTERNAL, Verdict.NOT_RUN, "stage request cannot be written as JSON");
        }
        StageResponseHandler handler =
                new StageResponseHandler(call.attemptId(), listener, mSettings.maxAnswerBytes());
        if (epoch.isEmpty()) {
            return start(address, request, body, handler, call.progressTimeout())::abort;
        }
        ConnectionPool pool = pool(address);
        HttpExchange exchange =
                new HttpExchange(pool, address, request, body, handler, call.progressTimeout());
        sendVerified(address, pool, exchange, epoch, MAX_VERIFICATIONS);
        return exchange::abort;
    }

    private void sendVerified(
            BackendAddress address,
            ConnectionPool pool,
            HttpExchange exchange,
            String epoch,
            int verificationsLeft) {
        ConnectionPool.PooledConnection idle = pool.takeIdle(epoch);
        if (idle != null) {
            exchange.startOnIdle(idle);
            return;
        }
        if (verificationsLeft == 0) {
            exchange.failBeforeSend("other attempts took every verified connection");
            return;
        }
        exchange.notifyConnecting();
        BufferedBodyHandler handler =
                loadReportHandler(
                        report -> {
                            if (report.epoch().equals(epoch)) {
                                sendVerified(address, pool, exchange, epoch, verificationsLeft - 1);
                                return;
                            }
                            exchange.failBeforeSend(
                                    "the server has restarted and reports another epoch");
                            mOnConnectionLost.accept(address.name());
                        },
                        failure ->
                                exchange.failBeforeSend(
                                        "connection could not be verified: " + failure));
        ClientRequest request = new ClientRequest().setMethod(Methods.GET).setPath("/v1/load");
        new HttpExchange(pool, address, request, new byte[0], handler, mSettings.progressTimeout())
                .startOnNewConnection(mWorker, mConnections, mSettings.connectTimeout());
    }

    /** Asks the server to cancel an attempt; the response is ignored. */
    public void cancel(BackendAddress address, String attemptId) {
        ClientRequest request =
                new ClientRequest()
                        .setMethod(Methods.DELETE)
                        .setPath("/v1/attempts/" + encode(attemptId));
        var unusedExchange =
                start(
                        address,
                        request,
                        new byte[0],
                        new BufferedBodyHandler(
                                (status, body) -> {}, (failure, detail) -> {}, body -> ""),
                        mSettings.progressTimeout());
    }

    /** Reads the load report of a server. */
    public void readLoad(
            BackendAddress address,
            Consumer<BackendLoadReport> onReport,
            Consumer<BackendFailure> onFailure) {
        ClientRequest request = new ClientRequest().setMethod(Methods.GET).setPath("/v1/load");
        BufferedBodyHandler handler = loadReportHandler(onReport, onFailure);
        var unusedExchange = start(address, request, new byte[0], handler, reportTimeout());
    }

    private Duration reportTimeout() {
        Duration progress = mSettings.progressTimeout();
        return progress.compareTo(REPORT_TIMEOUT) < 0 ? progress : REPORT_TIMEOUT;
    }

    private static BufferedBodyHandler loadReportHandler(
            Consumer<BackendLoadReport> onReport, Consumer<BackendFailure> onFailure) {
        return new BufferedBodyHandler(
                (status, body) -> {
                    try {
                        if (status != OK) {
                            onFailure.accept(BackendFailure.STATUS);
                            return;
                        }
                        onReport.accept(BackendLoadReport.parse(JSON.readTree(body)));
                    } catch (IOException | BulrushvaleException e) {
                        onFailure.accept(BackendFailure.MALFORMED);
                    }
                },
                (failure, detail) -> onFailure.accept(failure),
                BackendClient::parseEpoch);
    }

    private static String parseEpoch(byte[] body) {
        try {
            return JSON.readTree(body).path("epoch").asText("");
        } catch (IOException e) {
            return "";
        }
    }

    @Override
    public void close() {
        mPools.values().forEach(ConnectionPool::closeIdle);
        mWorker.shutdownNow();
    }

    private HttpExchange start(
            BackendAddress address,
            ClientRequest request,
            byte[] body,
            ExchangeHandler handler,
            Duration progressTimeout) {
        HttpExchange exchange =
                new HttpExchange(pool(address), address, request, body, handler, progressTimeout);
        exchange.start(mWorker, mConnections, mSettings.connectTimeout());
        return exchange;
    }

    private ConnectionPool pool(BackendAddress address) {
        return mPools.computeIfAbsent(
                address, key -> new ConnectionPool(key.name(), mOnConnectionLost));
    }

    private static String encode(String segment) {
        return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
    }

    /**
     * Receives the status and the complete body of a response.
     *
     * <p>Thread safety: implementations are called by one I/O thread.
     */
    @FunctionalInterface
    private interface BodyConsumer {
        void accept(int status, byte[] body);
    }

    /**
     * Receives the failure of an exchange.
     *
     * <p>Thread safety: implementations are called by one I/O thread.
     */
    @FunctionalInterface
    private interface FailureConsumer {
        void accept(BackendFailure failure, String detail);
    }

    /**
     * Buffers a small response of at most {@link #MAX_REPORT_BYTES}.
     *
     * <p>Thread safety: used by one I/O thread at a time.
     */
    private static final class BufferedBodyHandler implements ExchangeHandler {
        private final BodyConsumer mOnBody;
        private final FailureConsumer mOnFailure;
        private final Function<byte[], String> mEpochParser;
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private int mStatus;

        BufferedBodyHandler(
                BodyConsumer onBody,
                FailureConsumer onFailure,
                Function<byte[], String> epochParser) {
            mOnBody = onBody;
            mOnFailure = onFailure;
            mEpochParser = epochParser;
        }

        /** The time limit covers the whole response, which is small. */
        @Override
        public boolean extendsTimeLimit() {
            return false;
        }

        @Override
        public String epoch() {
            return mStatus == OK ? mEpochParser.apply(mBody.toByteArray()) : "";
        }

        @Override
        public void head(int status, boolean notRun, boolean eventStream) {
            mStatus = status;
        }

        @Override
        public boolean body(ByteBuffer bytes) {
            while (bytes.hasRemaining()) {
                mBody.write(bytes.get());
            }
            return mBody.size() <= MAX_REPORT_BYTES;
        }

        @Override
        public void end() {
            mOnBody.accept(mStatus, mBody.toByteArray());
        }

        @Override
        public void failed(BackendFailure failure, String detail) {
            mOnFailure.accept(failure, detail);
        }
    }
}
