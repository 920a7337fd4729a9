package org.bulrushvale.adapters.caller;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.Handlers;
import io.undertow.UndertowOptions;
import io.undertow.io.Receiver;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.bulrushvale.adapters.metrics.EntryMetrics;
import org.bulrushvale.adapters.settings.EntrySettings;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;
import org.jspecify.annotations.Nullable;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * HTTP listener for callers.
 *
 * <pre>{@code
 * CallerServer server = CallerServer.start(settings.caller(), daemon, metrics);
 * server.port();
 * server.stop();
 * }</pre>
 *
 * <p>Invariant: every request gets one response; the limits on headers, body, read time and
 * concurrency are checked before the request is passed to the daemon. Thread safety: all methods
 * may be called from any thread.
 */
public final class CallerServer {
    private static final int IO_THREADS = 2;
    private static final int IDLE_TIMEOUT_MS = 60_000;
    private static final int BUFFER_BYTES = 16_384;
    private static final int BACKLOG = 1_024;
    // Connections that the operating system has established are accepted in this time.
    private static final int LISTENER_CLOSE_DELAY_MS = 100;

    private final EntrySettings.Caller mSettings;
    private final CallerRequestHandler mDaemon;
    private final EntryMetrics mMetrics;
    private final AtomicInteger mActiveRequests = new AtomicInteger();
    private final AtomicInteger mActiveStreams = new AtomicInteger();
    private final CallerConnections mConnections = new CallerConnections();
    private volatile @Nullable XnioWorker mWorker;
    private volatile @Nullable AcceptingChannel<StreamConnection> mAcceptor;
    private volatile @Nullable ChannelListener<StreamConnection> mOnAccepted;
    private volatile int mBoundPort;
    private volatile boolean mDraining;

    private CallerServer(
            EntrySettings.Caller settings, CallerRequestHandler daemon, EntryMetrics metrics) {
        mSettings = settings;
        mDaemon = daemon;
        mMetrics = metrics;
    }

    /** Starts the listener. */
    public static CallerServer start(
            EntrySettings.Caller settings, CallerRequestHandler daemon, EntryMetrics metrics)
            throws BulrushvaleException {
        CallerServer server = new CallerServer(settings, daemon, metrics);
        try {
            server.openListener();
        } catch (IOException e) {
            server.stop();
            throw new BulrushvaleException(
                    ErrorCode.INTERNAL,
                    Verdict.NOT_RUN,
                    "caller listener cannot bind to " + settings.address() + ":" + settings.port());
        }
        return server;
    }

    private void openListener() throws IOException {
        OptionMap httpOptions =
                OptionMap.builder()
                        // Twice the limit, so that a moderate excess gets an error response.
                        .set(UndertowOptions.MAX_HEADER_SIZE, 2 * mSettings.maxHeaderBytes())
                        .set(UndertowOptions.MAX_ENTITY_SIZE, (long) mSettings.maxBodyBytes())
                        .set(
                                UndertowOptions.REQUEST_PARSE_TIMEOUT,
                                (int) mSettings.readTimeout().toMillis())
                        .set(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MS)
                        .getMap();
        OptionMap workerOptions =
                OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, IO_THREADS)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .set(Options.WORKER_NAME, "caller")
                        .getMap();
        OptionMap socketOptions =
                OptionMap.builder()
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.REUSE_ADDRESSES, true)
                        .set(Options.BACKLOG, BACKLOG)
                        .getMap();
        XnioWorker worker =
                Xnio.getInstance(CallerServer.class.getClassLoader()).createWorker(workerOptions);
        mWorker = worker;
        HttpOpenListener listener =
                new HttpOpenListener(new DefaultByteBufferPool(true, BUFFER_BYTES), httpOptions);
        listener.setRootHandler(Handlers.path().addPrefixPath("/", this::routeRequest));
        ChannelListener<StreamConnection> onAccepted = mConnections.tracked(listener);
        mOnAccepted = onAccepted;
        AcceptingChannel<StreamConnection> acceptor =
                worker.createStreamConnectionServer(
                        new InetSocketAddress(mSettings.address(), mSettings.port()),
                        ChannelListeners.openListenerAdapter(onAccepted),
                        socketOptions);
        mAcceptor = acceptor;
        mBoundPort = acceptor.getLocalAddress(InetSocketAddress.class).getPort();
        acceptor.resumeAccepts();
    }

    /** Returns the TCP port that the listener is bound to. */
    public int port() {
        return mBoundPort;
    }

    /** Returns the number of requests in progress. */
    public int running() {
        return mActiveRequests.get();
    }

    /**
     * Accepts no new connections after those that wait; open connections close after their next
     * response, or after the last one when further requests have already arrived. The daemon still
     * accepts or refuses the requests on these connections.
     */
    public void drain() {
        mDraining = true;
        XnioWorker worker = mWorker;
        if (worker != null) {
            worker.getIoThread(0)
                    .executeAfter(
                            () -> closeListener(worker, 0),
                            LISTENER_CLOSE_DELAY_MS,
                            TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Closes the listener after each I/O thread has taken its queue of accepted connections, which
     * the close would reset.
     */
    private void closeListener(XnioWorker worker, int ioThread) {
        AcceptingChannel<StreamConnection> acceptor = mAcceptor;
        ChannelListener<StreamConnection> onAccepted = mOnAccepted;
        if (acceptor != null && onAccepted != null) {
            CallerConnections.acceptWaiting(acceptor, onAccepted);
            if (ioThread + 1 < IO_THREADS) {
                worker.getIoThread(ioThread + 1).execute(() -> closeListener(worker, ioThread + 1));
            } else {
                IoUtils.safeClose(acceptor);
            }
        }
    }

    /**
     * Closes the idle connections and answers the requests on the others; runs {@code onFinished}
     * when no request is left.
     */
    public void finish(Runnable onFinished) {
        mConnections.closeWhenIdle(onFinished);
    }

    /** Closes the listener and all connections. */
    public void stop() {
        IoUtils.safeClose(mAcceptor);
        XnioWorker worker = mWorker;
        if (worker != null) {
            worker.shutdownNow();
        }
    }

    private void routeRequest(HttpServerExchange exchange) {
        mConnections.exchangeStarted(exchange);
        exchange.addResponseCommitListener(this::announceClose);
        String route = exchange.getRequestMethod() + " " + exchange.getRequestPath();
        switch (route) {
            case "POST /v1/requests" -> readBody(exchange, this::submitRequest);
            case "POST /v1/keys" -> readBody(exchange, this::issueKey);
            case "GET /livez" -> sendText(exchange, 200, "live\n");
            case "GET /readyz" -> answerReadinessCheck(exchange);
            case "GET /metrics" -> sendText(exchange, 200, mMetrics.scrape());
            default -> refuse(exchange, ErrorCode.NOT_FOUND, "no such resource");
        }
    }

    private void announceClose(HttpServerExchange exchange) {
        if (mDraining) {
            CallerConnections.closeAfterResponse(exchange);
        }
    }

    private void answerReadinessCheck(HttpServerExchange exchange) {
        String reason = mDaemon.notReadyReason();
        sendText(
                exchange,
                reason.isEmpty() ? 200 : 503,
                reason.isEmpty() ? "ready\n" : reason + "\n");
    }

    private void readBody(HttpServerExchange exchange, Receiver.FullBytesCallback onBody) {
        if (BodyReceiver.headerBytes(exchange) > mSettings.maxHeaderBytes()) {
            exchange.setPersistent(false);
            refuse(
                    exchange,
                    ErrorCode.MALFORMED_REQUEST,
                    "request headers are larger than the limit");
            return;
        }
        if (mActiveRequests.incrementAndGet() > mSettings.maxConcurrent()) {
            mActiveRequests.decrementAndGet();
            refuse(exchange, ErrorCode.OVERLOADED, "too many concurrent requests");
            return;
        }
        exchange.addExchangeCompleteListener(
                (done, chain) -> {
                    mActiveRequests.decrementAndGet();
                    chain.proceed();
                });
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> receiveBody(exchange, onBody));
    }

    private void receiveBody(HttpServerExchange exchange, Receiver.FullBytesCallback onBody) {
        BodyReceiver.receive(
                exchange,
                mSettings.readTimeout(),
                new BodyReceiver.Listener() {
                    @Override
                    public void received(byte[] body) {
                        onBody.handle(exchange, body);
                    }

                    @Override
                    public void refused(ErrorCode code, String detail) {
                        refuse(exchange, code, detail);
                    }
                });
    }

    private void submitRequest(HttpServerExchange exchange, byte[] body) {
        CallerRequest request;
        try {
            request = RequestParser.parse(exchange.getRequestHeaders(), body);
        } catch (BulrushvaleException e) {
            refuse(exchange, e.code(), e.detail());
            return;
        }
        if (request.stream()) {
            if (mActiveStreams.incrementAndGet() > mSettings.maxStreams()) {
                mActiveStreams.decrementAndGet();
                refuse(exchange, ErrorCode.OVERLOADED, "too many concurrent streams");
                return;
            }
            exchange.addExchangeCompleteListener(
                    (done, chain) -> {
                        mActiveStreams.decrementAndGet();
                        chain.proceed();
                    });
        }
        HttpResponder responder = new HttpResponder(exchange, request.stream(), mMetrics::answered);
        DisconnectWatcher.watch(exchange, mDaemon.submit(request, responder)::cancel);
    }

    private void issueKey(HttpServerExchange exchange, byte[] body) {
        HttpResponder responder = new HttpResponder(exchange, false, mMetrics::answered);
        try {
            String[] workspaceAndClass = RequestParser.parseKeyRequest(body);
            String tokenDigest = RequestParser.tokenDigest(exchange.getRequestHeaders());
            mDaemon.issueKey(
                    workspaceAndClass[0],
                    workspaceAndClass[1],
                    tokenDigest,
                    new HttpKeyResponder(exchange, responder));
        } catch (BulrushvaleException e) {
            refuse(exchange, e.code(), e.detail());
        }
    }

    private void refuse(HttpServerExchange exchange, ErrorCode code, String detail) {
        boolean hasKey = RequestParser.hasKey(exchange.getRequestHeaders());
        Problem problem = Problem.refusal(code, detail, hasKey);
        mMetrics.answered(code.httpStatus());
        new HttpResponder(exchange, false, mMetrics::answered)
                .sendJson(code.httpStatus(), Problem.CONTENT_TYPE, problem.json());
    }

    private static void sendText(HttpServerExchange exchange, int status, String text) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; charset=utf-8");
        exchange.getResponseSender().send(text);
    }

    /**
     * Sends the response to a request for an idempotency key.
     *
     * <p>Thread safety: may be called from any thread.
     */
    private record HttpKeyResponder(HttpServerExchange exchange, HttpResponder responder)
            implements CallerRequestHandler.KeyResponder {
        @Override
        public void issued(String key, Duration expiresIn) {
            ObjectNode json = JsonNodeFactory.instance.objectNode();
            json.put("key", key);
            json.put("expires_in_ms", expiresIn.toMillis());
            exchange.getIoThread().execute(() -> responder.sendJson(200, "application/json", json));
        }

        @Override
        public void fail(Problem problem) {
            responder.fail(problem);
        }
    }
}
