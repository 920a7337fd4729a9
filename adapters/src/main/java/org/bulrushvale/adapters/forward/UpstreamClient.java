package org.bulrushvale.adapters.forward;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.time.Duration;
import org.bulrushvale.adapters.backend.BackendFailure;

/**
 * HTTP calls to backend servers and to the published store on pooled connections.
 *
 * <p>Invariant: the listener of a call is told exactly one end. Thread safety: safe for use by any
 * thread; listeners are called on the I/O thread and must not block.
 */
public interface UpstreamClient {
    /** Starts a call. */
    Call start(Request request, Listener listener);

    /** Runs a task on the I/O thread after a delay. */
    void schedule(Duration delay, Runnable task);

    /**
     * One request.
     *
     * <p>Invariant: headers and body are not changed after the start. Thread safety: not safe.
     *
     * @param host IP address
     * @param target raw path with its query
     * @param progressTimeout time without a byte after which the call fails
     * @param reuse true when an idle connection may be used; it may have ended unnoticed, which
     *     leaves open whether the request ran
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
     * Receives the answer of a call.
     *
     * <p>Thread safety: called on the I/O thread.
     */
    interface Listener {
        /** Called with the head; returns false to give the call up. */
        boolean head(int status, HeaderMap headers);

        /** Called with a part of the body; returns false to give the call up. */
        boolean body(byte[] bytes);

        /** Called when the answer is complete. */
        void end();

        /**
         * Called when the call failed.
         *
         * @param sent true when the other side may have received the request
         */
        void failed(boolean sent, BackendFailure failure, String detail);
    }

    /** A call in progress. */
    @FunctionalInterface
    interface Call {
        /** Closes its connection; the listener is told nothing more. */
        void cancel();
    }

    /**
     * Collects a whole answer of bounded size.
     *
     * <p>Thread safety: called on the I/O thread.
     */
    abstract class BufferedResponseListener implements Listener {
        private final int mMaxBytes;
        private final java.io.ByteArrayOutputStream mBody = new java.io.ByteArrayOutputStream();
        private int mStatus;
        private HeaderMap mHeaders = new HeaderMap();

        /** Creates a collector of at most so many bytes. */
        protected BufferedResponseListener(int maxBytes) {
            mMaxBytes = maxBytes;
        }

        @Override
        public boolean head(int status, HeaderMap headers) {
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
        public void end() {
            complete(mStatus, mHeaders, mBody.toByteArray());
        }

        /** Called with the whole answer. */
        protected abstract void complete(int status, HeaderMap headers, byte[] body);
    }
}
