package org.bulrushvale.adapters.forward;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.concurrent.RejectedExecutionException;
import org.bulrushvale.adapters.caller.ChunkWriter;
import org.bulrushvale.adapters.caller.DisconnectWatcher;
import org.bulrushvale.adapters.caller.ResponseReadLimit;
import org.jboss.logging.Logger;

/**
 * One completely read request of a caller, and the response to it.
 *
 * <p>Invariant: at most one response is written; an aborted response never looks complete to the
 * caller. Thread safety: the request is immutable; the methods that write the response may be
 * called from any thread and take effect in the order of the calls, on the I/O thread.
 */
public final class CallerExchange {
    private static final Logger LOG = Logger.getLogger(CallerExchange.class);

    private final HttpServerExchange mExchange;
    private final byte[] mBody;
    private final long mArrivedNanos;
    private final ChunkWriter mChunkWriter;
    private boolean mStreamBegun;

    CallerExchange(HttpServerExchange exchange, byte[] body, long arrivedNanos) {
        mExchange = exchange;
        mBody = body;
        mArrivedNanos = arrivedNanos;
        mChunkWriter = new ChunkWriter(exchange);
    }

    /** Returns the HTTP method. */
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

    /** Returns the monotonic time in nanoseconds at which the request headers had arrived. */
    public long arrivedNanos() {
        return mArrivedNanos;
    }

    /** Runs a task once if the caller closes the connection before the response is complete. */
    public void onClose(Runnable task) {
        executeOnIoThread(() -> DisconnectWatcher.watch(mExchange, task));
    }

    /**
     * Writes a complete response; does nothing if one was already sent. A stream that has begun is
     * aborted instead, because otherwise it would never end.
     */
    public void sendResponse(int status, HeaderMap headers, byte[] body) {
        executeOnIoThread(
                () -> {
                    if (mStreamBegun) {
                        mChunkWriter.abort();
                        return;
                    }
                    if (mExchange.isResponseStarted()) {
                        return;
                    }
                    setStatusAndHeaders(status, headers);
                    mExchange.getResponseSender().send(ByteBuffer.wrap(body));
                    ResponseReadLimit.start(mExchange);
                });
    }

    /** Starts a chunked response. */
    public void startStream(int status, HeaderMap headers) {
        executeOnIoThread(
                () -> {
                    mStreamBegun = true;
                    setStatusAndHeaders(status, headers);
                    // Without chunks, an aborted response of unknown length would look complete.
                    mExchange
                            .getResponseHeaders()
                            .put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
                });
    }

    /** Writes one chunk of a started response. */
    public void sendChunk(byte[] bytes) {
        executeOnIoThread(() -> mChunkWriter.write(bytes));
    }

    /** Completes a started response. */
    public void endStream() {
        executeOnIoThread(mChunkWriter::end);
    }

    /** Closes the connection, so that the response does not look complete. */
    public void abort() {
        executeOnIoThread(mChunkWriter::abort);
    }

    private void setStatusAndHeaders(int status, HeaderMap headers) {
        mExchange.setStatusCode(status);
        for (var header : headers) {
            mExchange.getResponseHeaders().addAll(header.getHeaderName(), header);
        }
    }

    private void executeOnIoThread(Runnable task) {
        try {
            mExchange.getIoThread().execute(task);
        } catch (RejectedExecutionException e) {
            LOG.debug("response dropped because the listener has stopped");
        }
    }
}
