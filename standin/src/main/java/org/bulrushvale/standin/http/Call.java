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
 * One received request with the means to answer it, completely or not.
 *
 * <p>Invariant: nothing is written on a connection that a fault keeps silent. Thread safety:
 * answers may be given from any thread; they are written by the connection's I/O thread.
 */
public final class Call {
    /** Marks a refusal before any work. */
    public static final String NOT_RUN_HEADER = "X-Not-Run";

    private static final Logger LOG = Logger.getLogger(Call.class);

    private final HttpEndpoint mEndpoint;
    private final HttpServerExchange mExchange;
    private final byte[] mBody;
    private final SocketAddress mPeer;

    Call(HttpEndpoint endpoint, HttpServerExchange exchange, byte[] body) {
        mEndpoint = endpoint;
        mExchange = exchange;
        mBody = body;
        mPeer = exchange.getConnection().getPeerAddress();
    }

    SocketAddress peer() {
        return mPeer;
    }

    boolean isControl() {
        return path().startsWith("/control");
    }

    boolean isMuted() {
        return mEndpoint.isSilent(mPeer) && !isControl();
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

    /** Returns a query parameter as a number. */
    public long number(String name, long absent) {
        Deque<String> values = mExchange.getQueryParameters().get(name);
        return values == null || values.isEmpty() ? absent : Long.parseLong(values.getFirst());
    }

    /** Returns the raw body. */
    public byte[] body() {
        return mBody.clone();
    }

    /** Answers with a JSON body. */
    public void respond(int status, Object body) {
        respond(status, body, Map.of());
    }

    /** Answers with a refusal that states that no work was done. */
    public void refuse(int status, String reason) {
        respond(status, Json.object().put("error", reason), Map.of(NOT_RUN_HEADER, "true"));
    }

    /** Answers with a JSON body and further headers. */
    public void respond(int status, Object body, Map<String, String> headers) {
        String text = Json.write(body);
        onIoThread(
                () -> {
                    prepare(status, "application/json", headers);
                    mExchange.getResponseSender().send(text, IoCallback.END_EXCHANGE);
                });
    }

    /** Announces the whole body, writes the first half of it and closes the connection. */
    public void respondCut(int status, Object body) {
        byte[] text = Json.write(body).getBytes(StandardCharsets.UTF_8);
        onIoThread(
                () -> {
                    prepare(status, "application/json", Map.of());
                    mExchange.setResponseContentLength(text.length);
                    mExchange
                            .getResponseSender()
                            .send(ByteBuffer.wrap(text, 0, text.length / 2), new CloseAfter());
                });
    }

    /** Starts an event stream. */
    public EventStream stream(Runnable onBroken) {
        onIoThread(() -> prepare(200, "text/event-stream", Map.of()));
        return new EventStream(this, mExchange, onBroken);
    }

    /** Closes the connection without an answer. */
    public void drop() {
        IoUtils.safeClose(mExchange.getConnection());
    }

    private void prepare(int status, String type, Map<String, String> headers) {
        mExchange.setStatusCode(status);
        mExchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
        headers.forEach(
                (name, value) ->
                        mExchange.getResponseHeaders().put(HttpString.tryFromString(name), value));
    }

    void onIoThread(Runnable write) {
        mExchange
                .getIoThread()
                .execute(
                        () -> {
                            if (isMuted()) {
                                return;
                            }
                            try {
                                write.run();
                            } catch (IllegalStateException e) {
                                LOG.debugf("answer to %s dropped: %s", path(), e.getMessage());
                                drop();
                            }
                        });
    }

    /** Closes the connection once the bytes are written. Thread safety: one I/O thread. */
    private static final class CloseAfter implements IoCallback {
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
