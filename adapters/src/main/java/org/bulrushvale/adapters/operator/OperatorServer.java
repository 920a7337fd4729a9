package org.bulrushvale.adapters.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.bulrushvale.adapters.settings.EntrySettings;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;

/**
 * HTTP listener for operators.
 *
 * <p>Invariant: serves only the client addresses in the settings. Thread safety: all methods may be
 * called from any thread.
 */
public final class OperatorServer {
    private static final int MAX_HEADER_BYTES = 8_192;
    private static final long MAX_BODY_BYTES = 4_096;
    private static final int TIMEOUT_MS = 10_000;

    private final OperatorRequestHandler mDaemon;
    private final Set<InetAddress> mAllowedAddresses = new HashSet<>();
    private final Undertow mServer;

    private OperatorServer(EntrySettings.Operator settings, OperatorRequestHandler daemon)
            throws BulrushvaleException {
        mDaemon = daemon;
        for (String allowedAddress : settings.allowedAddresses()) {
            try {
                mAllowedAddresses.add(InetAddress.getByName(allowedAddress));
            } catch (UnknownHostException e) {
                throw new BulrushvaleException(
                        ErrorCode.INTERNAL,
                        Verdict.NOT_RUN,
                        "allowed address of the operator listener is not an IP address: "
                                + allowedAddress);
            }
        }
        mServer =
                Undertow.builder()
                        .addHttpListener(settings.port(), settings.address(), this::routeRequest)
                        .setIoThreads(1)
                        .setWorkerThreads(1)
                        .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
                        .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, TIMEOUT_MS)
                        .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, TIMEOUT_MS)
                        .build();
    }

    /** Starts the listener. */
    public static OperatorServer start(
            EntrySettings.Operator settings, OperatorRequestHandler daemon)
            throws BulrushvaleException {
        OperatorServer server = new OperatorServer(settings, daemon);
        try {
            server.mServer.start();
        } catch (RuntimeException e) {
            throw new BulrushvaleException(
                    ErrorCode.INTERNAL,
                    Verdict.NOT_RUN,
                    "operator listener cannot bind to "
                            + settings.address()
                            + ":"
                            + settings.port());
        }
        return server;
    }

    /** Returns the TCP port that the listener is bound to. */
    public int port() {
        InetSocketAddress address =
                (InetSocketAddress) mServer.getListenerInfo().get(0).getAddress();
        return address.getPort();
    }

    /** Closes the listener and all connections. */
    public void stop() {
        mServer.stop();
    }

    private void routeRequest(HttpServerExchange exchange) {
        if (!mAllowedAddresses.contains(exchange.getSourceAddress().getAddress())) {
            refuse(exchange, ErrorCode.FORBIDDEN, "client address is not allowed");
            return;
        }
        String route = exchange.getRequestMethod() + " " + exchange.getRequestPath();
        if (route.equals("POST /v1/drain")) {
            mDaemon.drain();
            ObjectNode json = JsonNodeFactory.instance.objectNode();
            send(exchange, 202, "application/json", json.put("draining", true));
            return;
        }
        for (OperatorRequestHandler.Report report : OperatorRequestHandler.Report.values()) {
            if (route.equals("GET /v1/" + report.name().toLowerCase(Locale.ROOT))) {
                exchange.dispatch(SameThreadExecutor.INSTANCE, () -> send(exchange, report));
                return;
            }
        }
        refuse(exchange, ErrorCode.NOT_FOUND, "no such resource");
    }

    private void send(HttpServerExchange exchange, OperatorRequestHandler.Report report) {
        boolean accepted =
                mDaemon.report(
                        report,
                        json ->
                                exchange.getIoThread()
                                        .execute(
                                                () ->
                                                        send(
                                                                exchange,
                                                                200,
                                                                "application/json",
                                                                json)));
        if (!accepted) {
            refuse(exchange, ErrorCode.OVERLOADED, "entry is too busy to create the report");
        }
    }

    private static void refuse(HttpServerExchange exchange, ErrorCode code, String detail) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("title", code.title());
        json.put("status", code.httpStatus());
        json.put("detail", detail);
        json.put("code", code.name());
        send(exchange, code.httpStatus(), "application/problem+json", json);
    }

    private static void send(HttpServerExchange exchange, int status, String type, JsonNode json) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
        exchange.getResponseSender().send(json.toString());
    }
}
