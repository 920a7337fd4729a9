package org.bulrushvale.adapters.caller;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.io.IoCallback;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes the answer to one HTTP exchange, whole or as an event stream.
 *
 * <p>Invariant: an event stream ends with exactly one {@code end} or {@code error} event unless the
 * connection is lost. Thread safety: the public methods may be called from any thread; all state is
 * used on the exchange's I/O thread only.
 */
final class HttpReply implements CallerReply {
    private static final Logger LOG = Logger.getLogger(HttpReply.class);

    // A reader this far behind is treated as gone, so that it cannot fill the memory.
    private static final int MAX_PENDING_BYTES = 1 << 20;

    private final HttpServerExchange mExchange;
    private final boolean mStream;
    private final Consumer<Integer> mOnEnd;
    private final Deque<ByteBuffer> mPending = new ArrayDeque<>();
    private @Nullable StreamSinkChannel mChannel;
    private int mPendingBytes;
    private boolean mEnded;
    private boolean mLost;

    /**
     * Creates the reply.
     *
     * @param onEnd receives the HTTP status when the answer is decided
     */
    HttpReply(HttpServerExchange exchange, boolean stream, Consumer<Integer> onEnd) {
        mExchange = exchange;
        mStream = stream;
        mOnEnd = onEnd;
    }

    @Override
    public void text(long offset, String text) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("offset", offset);
        json.put("text", text);
        onIoThread(() -> event("token", json));
    }

    @Override
    public void complete(CallerAnswer answer) {
        onIoThread(
                () -> {
                    if (mEnded) {
                        return;
                    }
                    if (mStream) {
                        event("end", answer.json(false));
                        end(200);
                    } else {
                        mEnded = true;
                        mOnEnd.accept(200);
                        whole(200, "application/json", answer.json(true));
                    }
                });
    }

    @Override
    public void fail(Problem problem) {
        onIoThread(
                () -> {
                    if (mEnded) {
                        return;
                    }
                    if (mChannel != null) {
                        event("error", problem.json());
                        end(problem.code().httpStatus());
                        return;
                    }
                    mEnded = true;
                    int status = problem.code().httpStatus();
                    mOnEnd.accept(status);
                    whole(status, "application/problem+json", problem.json());
                });
    }

    void whole(int status, String type, ObjectNode json) {
        if (mExchange.isResponseStarted()) {
            return;
        }
        mExchange.setStatusCode(status);
        mExchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
        mExchange
                .getResponseSender()
                .send(json.toString(), StandardCharsets.UTF_8, IoCallback.END_EXCHANGE);
    }

    private void end(int status) {
        mEnded = true;
        mOnEnd.accept(status);
        flush();
    }

    private void event(String name, ObjectNode json) {
        if (mEnded || mLost) {
            return;
        }
        if (mChannel == null) {
            mExchange.setStatusCode(200);
            mExchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
            mExchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-store");
            mChannel = mExchange.getResponseChannel();
        }
        String text = "event: " + name + "\ndata: " + json + "\n\n";
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        mPendingBytes += bytes.length;
        if (mPendingBytes > MAX_PENDING_BYTES) {
            lose();
            return;
        }
        mPending.addLast(ByteBuffer.wrap(bytes));
        flush();
    }

    private void flush() {
        StreamSinkChannel channel = mChannel;
        if (channel == null || mLost) {
            return;
        }
        try {
            for (ByteBuffer next = mPending.peekFirst();
                    next != null;
                    next = mPending.peekFirst()) {
                int written = channel.write(next);
                mPendingBytes -= written;
                if (written == 0) {
                    awaitWritable(channel);
                    return;
                }
                if (!next.hasRemaining()) {
                    mPending.removeFirst();
                }
            }
            if (mEnded) {
                mExchange.endExchange();
            } else if (!channel.flush()) {
                awaitWritable(channel);
            } else {
                channel.suspendWrites();
            }
        } catch (IOException e) {
            lose();
        }
    }

    private void awaitWritable(StreamSinkChannel channel) {
        channel.getWriteSetter().set(sink -> flush());
        channel.resumeWrites();
    }

    private void lose() {
        mLost = true;
        mPending.clear();
        IoUtils.safeClose(mExchange.getConnection());
    }

    private void onIoThread(Runnable task) {
        try {
            mExchange.getIoThread().execute(task);
        } catch (RejectedExecutionException e) {
            LOG.debug("answer dropped, the listener has stopped");
        }
    }
}
