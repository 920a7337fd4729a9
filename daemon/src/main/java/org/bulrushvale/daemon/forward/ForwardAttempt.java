package org.bulrushvale.daemon.forward;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.bulrushvale.adapters.backend.BackendFailure;
import org.bulrushvale.adapters.forward.BackendResponseMetadata;
import org.bulrushvale.adapters.forward.ForwardProtocol;
import org.bulrushvale.adapters.forward.UpstreamClient;
import org.bulrushvale.kernel.event.EventLoop;

/**
 * One attempt of a request at one backend server: converts the events of the HTTP call into events
 * of the request.
 *
 * <p>Invariant: the request receives only answers that carry its id, or none on a connection that
 * carried no other request, and are the unaltered bytes of the server; it receives an answer that
 * is not a stream only when it is complete. Thread safety: listener methods run on the I/O thread,
 * the handler is called on the event loop.
 */
final class ForwardAttempt implements UpstreamClient.Listener {
    private static final int MAX_ANSWER_BYTES = 16 << 20;

    // More bytes than this wait for the event loop only when a server sends without pause.
    private static final int MAX_PENDING_STREAM_BYTES = 4 << 20;

    private static final int MIN_FINAL_STATUS = 200;
    private static final String EVENT_STREAM = "text/event-stream";

    private final EventLoop mLoop;
    private final ForwardProtocol mProtocol;
    private final String mRequestId;
    private final Consumer<Head> mOnHead;
    private final Handler mHandler;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private Head mHead = new Head(0, new HeaderMap(), BackendResponseMetadata.empty());
    private final AtomicInteger mPendingStreamBytes = new AtomicInteger();
    private boolean mStreaming;

    /**
     * Creates the listener of one attempt.
     *
     * @param onHead called on the event loop with the head of every answer that belongs to the
     *     request, also when the request no longer waits for it
     */
    ForwardAttempt(
            EventLoop loop,
            ForwardProtocol protocol,
            String requestId,
            Consumer<Head> onHead,
            Handler handler) {
        mOnHead = onHead;
        mLoop = loop;
        mProtocol = protocol;
        mRequestId = requestId;
        mHandler = handler;
    }

    @Override
    public boolean head(int status, HeaderMap headers, boolean reused) {
        if (status < MIN_FINAL_STATUS) {
            // An interim response; the client does not read the final one after it.
            return false;
        }
        BackendResponseMetadata metadata = mProtocol.parseResponse(headers);
        boolean unidentified = metadata.requestId().isEmpty() && !reused;
        if (!unidentified && !metadata.requestId().equals(mRequestId)) {
            return false;
        }
        if (headers.contains(Headers.CONTENT_ENCODING)) {
            return false;
        }
        mHead = new Head(status, headers, metadata);
        String type = headers.getFirst(Headers.CONTENT_TYPE);
        mStreaming = status == 200 && type != null && type.startsWith(EVENT_STREAM);
        if (mStreaming && !metadata.signed()) {
            return false;
        }
        Head head = mHead;
        if (status / 100 != 2 || metadata.signed()) {
            // Not at the end of the answer: nothing may be sent to a server that leaves meanwhile.
            mLoop.execute(() -> mOnHead.accept(head));
        }
        if (mStreaming) {
            mLoop.execute(() -> mHandler.onStreamBegin(head));
        }
        return true;
    }

    @Override
    public boolean body(byte[] bytes) {
        if (mStreaming) {
            if (mPendingStreamBytes.addAndGet(bytes.length) > MAX_PENDING_STREAM_BYTES) {
                return false;
            }
            mLoop.execute(
                    () -> {
                        mPendingStreamBytes.addAndGet(-bytes.length);
                        mHandler.onStreamBytes(bytes);
                    });
            return true;
        }
        if (mBody.size() + bytes.length > MAX_ANSWER_BYTES) {
            return false;
        }
        mBody.writeBytes(bytes);
        return true;
    }

    @Override
    public void end() {
        if (mStreaming) {
            mLoop.execute(mHandler::onStreamEnd);
            return;
        }
        Head head = mHead;
        byte[] body = mBody.toByteArray();
        boolean unsigned = head.status() / 100 == 2 && !head.metadata().signed();
        mLoop.execute(
                () -> {
                    if (unsigned) {
                        mHandler.onFailure(
                                true,
                                BackendFailure.MALFORMED,
                                "answer of status " + head.status() + " has no signature");
                    } else {
                        mHandler.onAnswer(head, body);
                    }
                });
    }

    @Override
    public void failed(boolean sent, BackendFailure failure, String detail) {
        mLoop.execute(() -> mHandler.onFailure(sent, failure, detail));
    }

    /**
     * Status, headers and protocol metadata of an answer.
     *
     * <p>Invariant: the headers are not changed. Thread safety: immutable.
     */
    record Head(int status, HeaderMap headers, BackendResponseMetadata metadata) {}

    /** Receives the events of an attempt on the event loop. */
    interface Handler {
        /** Called with a complete answer that is not a stream. */
        void onAnswer(Head head, byte[] body);

        /** Called when the head of an event stream has arrived. */
        void onStreamBegin(Head head);

        /** Called with the next bytes of an event stream. */
        void onStreamBytes(byte[] bytes);

        /** Called when the event stream has ended normally. */
        void onStreamEnd();

        /**
         * Called when the attempt failed.
         *
         * @param sent true when the server may have received the request
         */
        void onFailure(boolean sent, BackendFailure failure, String detail);
    }
}
