package org.bulrushvale.standin.http;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.Map;
import org.jboss.logging.Logger;
import org.xnio.IoUtils;

/**
 * One received request, with methods to answer it completely, in part, or not at all.
 *
 * <p>Invariant: while a fault setting silences a connection, nothing is written to it except
 * answers of {@code /control}. Thread safety: safe for use by any thread; the I/O thread of the
 * connection writes the answers.
 */
public final class IncomingCall {
    /** Header of a refusal: the server did no work for the call. */
    public static final String NOT_RUN_HEADER = "X-Not-Run";

    private static final Logger LOG = Logger.getLogger(IncomingCall.class);

    private final HttpEndpoint mEndpoint;
    private final HttpServerExchange mExchange;
    private final byte[] mBody;
    private final SocketAddress mPeerAddress;

    IncomingCall(HttpEndpoint endpoint, HttpServerExchange exchange, byte[] body) {
        mEndpoint = endpoint;
        mExchange = exchange;
        mBody = body;
        mPeerAddress = exchange.getConnection().getPeerAddress();
    }

    SocketAddress peerAddress() {
        return mPeerAddress;
    }

    boolean isControl() {
        return path().startsWith("/control");
    }

    boolean isStageCall() {
        return path().startsWith("/v1/stages/");
    }

    boolean isLoadReport() {
        return path().equals("/v1/load");
    }

    boolean isSilenced() {
        return mEndpoint.isSilent(this) && !isControl();
    }

    /** Returns the method in upper case. */
    public String method() {
        return mExchange.getRequestMethod().toString();
    }

    /** Returns the path without the query. */
    public String path() {
        return mExchange.getRequestPath();
    }

    /** Returns true for this method and path. */
    public boolean is(String method, String path) {
        return method().equals(method) && path().equals(path);
    }

    /** Returns a query parameter as a number, or the default value when it is absent. */
    public long queryNumber(String name, long defaultValue) {
        Deque<String> values = mExchange.getQueryParameters().get(name);
        return values == null || values.isEmpty()
                ? defaultValue
                : Long.parseLong(values.getFirst());
    }

    /** Returns the raw body. */
    public byte[] body() {
        return mBody.clone();
    }

    /** Answers with a JSON body. */
    public void respond(int status, Object body) {
        respond(status, body, Map.of());
    }

    /** Refuses the call, with a header that says that no work was done. */
    public void refuse(int status, Object body) {
        respond(status, body, Map.of(NOT_RUN_HEADER, "true"));
    }

    /** Answers with a JSON body and further headers. */
    public void respond(int status, Object body, Map<String, String> headers) {
        String text = Json.write(body);
        runOnIoThread(
                () -> {
                    setStatusAndHeaders(status, "application/json", headers);
                    mExchange.getResponseSender().send(text, IoCallback.END_EXCHANGE);
                });
    }

    /** Sends the length of the whole body, writes its first half and closes the connection. */
    public void respondCutInHalf(int status, Object body) {
        byte[] text = Json.write(body).getBytes(StandardCharsets.UTF_8);
        runOnIoThread(
                () -> {
                    setStatusAndHeaders(status, "application/json", Map.of());
                    mExchange.setResponseContentLength(text.length);
                    mExchange
                            .getResponseSender()
                            .send(ByteBuffer.wrap(text, 0, text.length / 2), new CloseAfterWrite());
                });
    }

    /** Starts an event stream; the argument runs when a write to the connection fails. */
    public EventStream startEventStream(Runnable onWriteFailure) {
        runOnIoThread(() -> setStatusAndHeaders(200, "text/event-stream", Map.of()));
        return new EventStream(this, mExchange, onWriteFailure);
    }

    /** Closes the connection without an answer. */
    public void drop() {
        IoUtils.safeClose(mExchange.getConnection());
    }

    private void setStatusAndHeaders(int status, String type, Map<String, String> headers) {
        mExchange.setStatusCode(status);
        mExchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
        headers.forEach(
                (name, value) ->
                        mExchange.getResponseHeaders().put(HttpString.tryFromString(name), value));
    }

    void runOnIoThread(Runnable write) {
        mExchange
                .getIoThread()
                .execute(
                        () -> {
                            if (isSilenced()) {
                                return;
                            }
                            try {
                                write.run();
                            } catch (IllegalStateException e) {
                                LOG.debugf(
                                        "answer to %s not written, connection closed: %s",
                                        path(), e.getMessage());
                                drop();
                            }
                        });
    }

    /** Closes the connection when the write has ended. Thread safety: used by one I/O thread. */
    private static final class CloseAfterWrite implements IoCallback {
        @Override
        public void onComplete(HttpServerExchange exchange, Sender sender) {
            IoUtils.safeClose(exchange.getConnection());
        }

        @Override
        public void onException(HttpServerExchange exchange, Sender sender, IOException error) {
            IoUtils.safeClose(exchange.getConnection());
        }
    }
}
