package org.bulrushvale.adapters.forward;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.concurrent.RejectedExecutionException;
import org.bulrushvale.adapters.caller.ChunkWriter;
import org.bulrushvale.adapters.caller.DisconnectWatch;
import org.jboss.logging.Logger;

/**
 * One request of a caller that was read completely, and its answer.
 *
 * <p>Invariant: at most one answer is written; an answer that breaks off never looks complete.
 * Thread safety: the request is immutable; the methods that answer may be called from any thread
 * and take effect in the order of the calls.
 */
public final class CallerExchange {
    private static final Logger LOG = Logger.getLogger(CallerExchange.class);

    private final HttpServerExchange mExchange;
    private final byte[] mBody;
    private final long mArrivedNanos;
    private final ChunkWriter mWriter;

    CallerExchange(HttpServerExchange exchange, byte[] body, long arrivedNanos) {
        mExchange = exchange;
        mBody = body;
        mArrivedNanos = arrivedNanos;
        mWriter = new ChunkWriter(exchange);
    }

    /** Returns the method. */
    public HttpString method() {
        return mExchange.getRequestMethod();
    }

    /** Returns the host without its port, in lower case. */
    public String host() {
        String host = mExchange.getRequestHeaders().getFirst("Host");
        if (host == null) {
            return "";
        }
        int colon = host.lastIndexOf(':');
        return (colon > 0 ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
    }

    /** Returns the path as the caller sent it, without the query. */
    public String path() {
        return mExchange.getRequestURI();
    }

    /** Returns path and query as the caller sent them. */
    public String target() {
        String query = mExchange.getQueryString();
        return query.isEmpty() ? path() : path() + "?" + query;
    }

    /** Returns the headers; they must not be changed. */
    public HeaderMap headers() {
        return mExchange.getRequestHeaders();
    }

    /** Returns the body; it must not be changed. */
    public byte[] body() {
        return mBody;
    }

    /** Returns the monotonic time at which the head had arrived. */
    public long arrivedNanos() {
        return mArrivedNanos;
    }

    /** Calls a task once if the caller closes before the answer is complete. */
    public void onClose(Runnable task) {
        onIoThread(() -> DisconnectWatch.watch(mExchange, task));
    }

    /** Writes a whole answer. */
    public void sendResponse(int status, HeaderMap headers, byte[] body) {
        onIoThread(
                () -> {
                    if (mExchange.isResponseStarted()) {
                        return;
                    }
                    head(status, headers);
                    mExchange.getResponseSender().send(ByteBuffer.wrap(body));
                });
    }

    /** Begins an answer of several parts. */
    public void startStream(int status, HeaderMap headers) {
        onIoThread(
                () -> {
                    head(status, headers);
                    // Without a length of its own, an answer that breaks off looks complete.
                    mExchange
                            .getResponseHeaders()
                            .put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
                });
    }

    /** Writes one part of an answer that has begun. */
    public void sendChunk(byte[] bytes) {
        onIoThread(() -> mWriter.write(bytes));
    }

    /** Ends an answer that has begun. */
    public void endStream() {
        onIoThread(mWriter::end);
    }

    /** Closes the connection, so that the answer does not look complete. */
    public void abort() {
        onIoThread(mWriter::breakOff);
    }

    private void head(int status, HeaderMap headers) {
        mExchange.setStatusCode(status);
        for (var header : headers) {
            mExchange.getResponseHeaders().addAll(header.getHeaderName(), header);
        }
    }

    private void onIoThread(Runnable task) {
        try {
            mExchange.getIoThread().execute(task);
        } catch (RejectedExecutionException e) {
            LOG.debug("answer dropped, the listener has stopped");
        }
    }
}
