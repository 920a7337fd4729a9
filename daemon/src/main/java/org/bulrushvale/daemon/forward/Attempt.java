package org.bulrushvale.daemon.forward;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import org.bulrushvale.adapters.backend.BackendFailure;
import org.bulrushvale.adapters.forward.BackendResponseMetadata;
import org.bulrushvale.adapters.forward.ForwardProtocol;
import org.bulrushvale.adapters.forward.UpstreamClient;
import org.bulrushvale.kernel.event.EventLoop;

/**
 * One attempt of a request at one backend server: turns the call's events into those of the
 * request.
 *
 * <p>Invariant: an answer reaches the request only when it belongs to it and is the server's own
 * bytes; a plain answer only when it is complete. Thread safety: listener methods run on the I/O
 * thread, the handler is called on the event loop.
 */
final class Attempt implements UpstreamClient.Listener {
    private static final int MAX_ANSWER_BYTES = 16 << 20;
    private static final String EVENT_STREAM = "text/event-stream";

    private final EventLoop mLoop;
    private final ForwardProtocol mProtocol;
    private final String mRequestId;
    private final Handler mHandler;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private Head mHead =
            new Head(0, new HeaderMap(), new BackendResponseMetadata("", false, false));
    private boolean mStreaming;

    Attempt(EventLoop loop, ForwardProtocol protocol, String requestId, Handler handler) {
        mLoop = loop;
        mProtocol = protocol;
        mRequestId = requestId;
        mHandler = handler;
    }

    @Override
    public boolean head(int status, HeaderMap headers) {
        BackendResponseMetadata facts = mProtocol.parseResponse(headers);
        if (!facts.requestId().isEmpty() && !facts.requestId().equals(mRequestId)) {
            return false;
        }
        if (headers.contains(Headers.CONTENT_ENCODING)) {
            return false;
        }
        mHead = new Head(status, headers, facts);
        String type = headers.getFirst(Headers.CONTENT_TYPE);
        mStreaming = status == 200 && type != null && type.startsWith(EVENT_STREAM);
        if (mStreaming && !facts.signed()) {
            return false;
        }
        if (mStreaming) {
            Head head = mHead;
            mLoop.execute(() -> mHandler.streamBegins(head));
        }
        return true;
    }

    @Override
    public boolean body(byte[] bytes) {
        if (mStreaming) {
            mLoop.execute(() -> mHandler.streamBytes(bytes));
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
            mLoop.execute(mHandler::streamEnds);
            return;
        }
        Head head = mHead;
        byte[] body = mBody.toByteArray();
        boolean unsigned = head.status() / 100 == 2 && !head.facts().signed();
        mLoop.execute(
                () -> {
                    if (unsigned) {
                        mHandler.lost(true, BackendFailure.MALFORMED, "success without signature");
                    } else {
                        mHandler.answered(head, body);
                    }
                });
    }

    @Override
    public void failed(boolean sent, BackendFailure failure, String detail) {
        mLoop.execute(() -> mHandler.lost(sent, failure, detail));
    }

    /**
     * Head of an answer.
     *
     * <p>Invariant: the headers are not changed. Thread safety: immutable.
     */
    record Head(int status, HeaderMap headers, BackendResponseMetadata facts) {}

    /** What an attempt tells its request, on the event loop. */
    interface Handler {
        /** A complete plain answer. */
        void answered(Head head, byte[] body);

        /** The head of an event stream. */
        void streamBegins(Head head);

        /** Bytes of an event stream. */
        void streamBytes(byte[] bytes);

        /** The event stream ended in order. */
        void streamEnds();

        /**
         * The attempt failed.
         *
         * @param sent true when the server may have received the request
         */
        void lost(boolean sent, BackendFailure failure, String detail);
    }
}
