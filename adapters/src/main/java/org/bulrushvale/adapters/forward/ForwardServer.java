package org.bulrushvale.adapters.forward;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.HttpContinueReadHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.bulrushvale.adapters.caller.BodyReceiver;
import org.bulrushvale.adapters.caller.CallerConnections;
import org.bulrushvale.adapters.caller.Problem;
import org.bulrushvale.adapters.settings.ForwardSettings;
import org.bulrushvale.kernel.time.Clock;
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
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * HTTP listeners of the forwarding entry, for callers, readiness checks and metrics.
 *
 * <p>Invariant: a request reaches the {@link ForwardRequestHandler} only after it was read
 * completely and within the limits; every other request gets an error response with an {@link
 * ErrorCode}. Thread safety: the public methods may be called from any thread.
 */
public final class ForwardServer implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int BACKLOG = 1024;

    // Position of the caller listener in the order in which the listeners are opened.
    private static final int CALLER_LISTENER_INDEX = 2;

    private final ForwardSettings mSettings;
    private final XnioWorker mWorker;
    private final ForwardRequestHandler mDaemon;
    private final Clock mClock;
    private final ByteBufferPool mBuffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private final List<AcceptingChannel<StreamConnection>> mAcceptors = new ArrayList<>();
    private final CallerConnections mConnections = new CallerConnections();
    private volatile @Nullable ChannelListener<StreamConnection> mOnCallerAccepted;
    private final AtomicInteger mActiveRequests = new AtomicInteger();
    private volatile boolean mDraining;
    private volatile boolean mRefusing;

    private ForwardServer(
            ForwardSettings settings,
            XnioWorker worker,
            ForwardRequestHandler daemon,
            Clock clock) {
        mSettings = settings;
        mWorker = worker;
        mDaemon = daemon;
        mClock = clock;
    }

    /** Starts the listeners. */
    public static ForwardServer start(
            ForwardSettings settings,
            XnioWorker worker,
            ForwardRequestHandler daemon,
            Supplier<String> metrics,
            Clock clock)
            throws BulrushvaleException {
        ForwardServer server = new ForwardServer(settings, worker, daemon, clock);
        ForwardSettings.Listeners listen = settings.listeners();
        try {
            server.listen(listen.ready(), server::answerReadinessCheck);
            server.listen(listen.metrics(), exchange -> sendText(exchange, 200, metrics.get()));
            server.listen(
                    listen.callers(), new HttpContinueReadHandler(server::handleCallerRequest));
        } catch (IOException e) {
            server.close();
            throw new BulrushvaleException(
                    ErrorCode.INTERNAL, Verdict.NOT_RUN, "an HTTP listener cannot start: " + e);
        }
        return server;
    }

    private void listen(InetSocketAddress address, HttpHandler handler) throws IOException {
        ForwardSettings.Limits limits = mSettings.limits();
        OptionMap httpOptions =
                OptionMap.builder()
                        // Twice the limit, so that a moderate excess gets an error response.
                        .set(UndertowOptions.MAX_HEADER_SIZE, 2 * limits.maxHeaderBytes())
                        .set(UndertowOptions.MAX_ENTITY_SIZE, (long) limits.maxBodyBytes())
                        .set(
                                UndertowOptions.REQUEST_PARSE_TIMEOUT,
                                (int) limits.readTimeout().toMillis())
                        .set(
                                UndertowOptions.NO_REQUEST_TIMEOUT,
                                (int) limits.idleTimeout().toMillis())
                        .set(UndertowOptions.ALWAYS_SET_DATE, false)
                        .set(UndertowOptions.DECODE_URL, false)
                        .getMap();
        OptionMap socketOptions =
                OptionMap.builder()
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.REUSE_ADDRESSES, true)
                        .set(Options.BACKLOG, BACKLOG)
                        .getMap();
        HttpOpenListener listener = new HttpOpenListener(mBuffers, httpOptions);
        listener.setRootHandler(handler);
        ChannelListener<StreamConnection> onAccepted = listener;
        if (mAcceptors.size() == CALLER_LISTENER_INDEX) {
            onAccepted = mConnections.tracked(listener);
            mOnCallerAccepted = onAccepted;
        }
        AcceptingChannel<StreamConnection> acceptor =
                mWorker.createStreamConnectionServer(
                        address, ChannelListeners.openListenerAdapter(onAccepted), socketOptions);
        mAcceptors.add(acceptor);
        acceptor.resumeAccepts();
    }

    /** Returns the addresses of the listeners in the order readiness, metrics, callers. */
    public List<InetSocketAddress> addresses() {
        return mAcceptors.stream()
                .map(acceptor -> acceptor.getLocalAddress(InetSocketAddress.class))
                .toList();
    }

    /** Returns the number of requests in progress. */
    public int running() {
        return mActiveRequests.get();
    }

    /** Closes each connection after its next response; new connections are still accepted. */
    public void drain() {
        mDraining = true;
    }

    /** Closes the connections of callers that are idle now. */
    public void closeIdleConnections() {
        mConnections.closeIdle();
    }

    /**
     * Accepts no further callers, closes the idle connections and the others after their last
     * response; runs {@code onAllClosed} when none is left.
     */
    public void closeConnections(Runnable onAllClosed) {
        mWorker.getIoThread()
                .execute(
                        () -> {
                            closeCallerListener();
                            mConnections.closeWhenIdle(onAllClosed);
                        });
    }

    /**
     * Refuses, from now on, every request that has not been read completely, and those that are
     * read later, without the event loop.
     */
    public void refuseRequests() {
        mRefusing = true;
        mConnections.refuseIncomplete(
                Problem.refusal(ErrorCode.DRAINING, "the entry is shutting down", false));
    }

    /** Closes all connections of callers at once, also those with requests in progress. */
    public void closeAllConnections() {
        mConnections.closeAll();
    }

    private void closeCallerListener() {
        AcceptingChannel<StreamConnection> acceptor = mAcceptors.get(CALLER_LISTENER_INDEX);
        ChannelListener<StreamConnection> onAccepted = mOnCallerAccepted;
        if (onAccepted != null) {
            // The close would reset them.
            CallerConnections.acceptWaiting(acceptor, onAccepted);
        }
        IoUtils.safeClose(acceptor);
    }

    @Override
    public void close() {
        mAcceptors.forEach(IoUtils::safeClose);
    }

    private void answerReadinessCheck(HttpServerExchange exchange) {
        String reason = mDaemon.notReadyReason();
        sendText(
                exchange,
                reason.isEmpty() ? 200 : 503,
                reason.isEmpty() ? "ready\n" : reason + "\n");
    }

    private void handleCallerRequest(HttpServerExchange exchange) {
        long arrivedNanos = mClock.monotonicNanos();
        mConnections.exchangeStarted(exchange);
        exchange.addResponseCommitListener(this::closeAfterResponseWhileDraining);
        if (BodyReceiver.headerBytes(exchange) > mSettings.limits().maxHeaderBytes()) {
            exchange.setPersistent(false);
            refuse(
                    exchange,
                    ErrorCode.HEADERS_TOO_LARGE,
                    "request headers are larger than the limit");
            return;
        }
        if (mActiveRequests.incrementAndGet() > mSettings.limits().maxConcurrent()) {
            mActiveRequests.decrementAndGet();
            refuse(exchange, ErrorCode.OVERLOADED, "too many concurrent requests");
            return;
        }
        exchange.addExchangeCompleteListener(
                (done, chain) -> {
                    mActiveRequests.decrementAndGet();
                    chain.proceed();
                });
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> receiveBody(exchange, arrivedNanos));
    }

    private void closeAfterResponseWhileDraining(HttpServerExchange exchange) {
        if (mDraining) {
            CallerConnections.closeAfterResponse(exchange);
        }
    }

    private void receiveBody(HttpServerExchange exchange, long arrivedNanos) {
        BodyReceiver.receive(
                exchange,
                mSettings.limits().readTimeout(),
                new BodyReceiver.Listener() {
                    @Override
                    public void received(byte[] body) {
                        if (mRefusing) {
                            refused(ErrorCode.DRAINING, "the entry is shutting down");
                            return;
                        }
                        mDaemon.handle(new CallerExchange(exchange, body, arrivedNanos));
                    }

                    @Override
                    public void refused(ErrorCode code, String detail) {
                        refuse(exchange, code, detail);
                    }
                });
    }

    private static void refuse(HttpServerExchange exchange, ErrorCode code, String detail) {
        Problem problem = Problem.refusal(code, detail, false);
        exchange.setStatusCode(code.httpStatus());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, Problem.CONTENT_TYPE);
        exchange.getResponseSender().send(problem.json().toString(), StandardCharsets.UTF_8);
    }

    private static void sendText(HttpServerExchange exchange, int status, String text) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; charset=utf-8");
        exchange.getResponseSender().send(text);
    }
}
