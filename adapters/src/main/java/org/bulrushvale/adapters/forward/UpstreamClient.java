package org.bulrushvale.adapters.forward;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.time.Duration;
import java.util.function.Consumer;
import org.bulrushvale.adapters.backend.BackendFailure;

/**
 * HTTP client for backend servers and for the store of published state, with pooled connections.
 *
 * <p>Invariant: a call that is not cancelled ends with exactly one of {@link Listener#end} and
 * {@link Listener#failed}. Thread safety: safe for use by any thread; listeners are called on the
 * I/O thread and must not block.
 */
public interface UpstreamClient {
    /** Starts a call. */
    Call start(Request request, Listener listener);

    /**
     * Opens a connection to an address, closes it, and calls {@code onResult} once on the I/O
     * thread: with true when the connection was accepted within the timeout, else with false.
     */
    void checkAccepting(String host, int port, Duration timeout, Consumer<Boolean> onResult);

    /** Closes the idle connections to an address, which may have gone silent. */
    void discardIdle(String host, int port);

    /** Runs a task on the I/O thread after a delay. */
    void schedule(Duration delay, Runnable task);

    /**
     * One HTTP request.
     *
     * <p>Invariant: headers and body do not change after the call starts. Thread safety: not safe.
     *
     * @param host IP address
     * @param target request target: the raw path with its query
     * @param progressTimeout the call fails when no byte arrives for this time
     * @param reuse true when an idle connection may be used; the server may already have closed it,
     *     in which case it stays unknown whether the request ran
     */
    record Request(
            String host,
            int port,
            HttpString method,
            String target,
            HeaderMap headers,
            byte[] body,
            Duration progressTimeout,
            boolean reuse) {}

    /**
     * Receives the response to a call.
     *
     * <p>Thread safety: called on the I/O thread.
     */
    interface Listener {
        /**
         * Called with the status and the headers; returns false to abort the call.
         *
         * @param reused true when the connection was used before, so that the response may be a
         *     late copy of an earlier one
         */
        boolean head(int status, HeaderMap headers, boolean reused);

        /** Called with the next part of the body; returns false to abort the call. */
        boolean body(byte[] bytes);

        /**
         * Returns true while bytes of the body extend the time limit of the call; otherwise a
         * server that sends a few bytes now and then would hold the call without end.
         */
        default boolean extendsTimeLimit() {
            return true;
        }

        /**
         * Called with the complete response, before {@link #end}; returns false when it does not
         * show that it answers this call. The connection is then closed, because the next response
         * on it may be the one to this call.
         */
        default boolean isIdentified() {
            return true;
        }

        /** Called when the response is complete. */
        void end();

        /**
         * Called when the call failed.
         *
         * @param sent true when the server may have received the request
         */
        void failed(boolean sent, BackendFailure failure, String detail);
    }

    /** A call in progress. */
    @FunctionalInterface
    interface Call {
        /** Closes the connection; the listener is not called again. */
        void cancel();
    }

    /**
     * Buffers a complete response of bounded size and aborts the call when the body is larger.
     *
     * <p>Thread safety: called on the I/O thread.
     */
    abstract class BufferedResponseListener implements Listener {
        private final int mMaxBytes;
        private final java.io.ByteArrayOutputStream mBody = new java.io.ByteArrayOutputStream();
        private int mStatus;
        private HeaderMap mHeaders = new HeaderMap();

        /** Creates a listener that accepts a body of at most {@code maxBytes} bytes. */
        protected BufferedResponseListener(int maxBytes) {
            mMaxBytes = maxBytes;
        }

        @Override
        public boolean head(int status, HeaderMap headers, boolean reused) {
            mStatus = status;
            mHeaders = headers;
            return true;
        }

        @Override
        public boolean body(byte[] bytes) {
            if (mBody.size() + bytes.length > mMaxBytes) {
                return false;
            }
            mBody.writeBytes(bytes);
            return true;
        }

        @Override
        public final boolean isIdentified() {
            return isIdentified(mStatus, mBody.toByteArray());
        }

        /** Returns false when the response does not show that it answers this call. */
        protected boolean isIdentified(int status, byte[] body) {
            return true;
        }

        @Override
        public void end() {
            complete(mStatus, mHeaders, mBody.toByteArray());
        }

        /** Called with the complete response. */
        protected abstract void complete(int status, HeaderMap headers, byte[] body);
    }
}
