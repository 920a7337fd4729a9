package org.bulrushvale.adapters.caller;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.io.IoCallback;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import org.jboss.logging.Logger;

/**
 * Writes the answer to one HTTP exchange, whole or as an event stream.
 *
 * <p>Invariant: an event stream ends with exactly one {@code end} or {@code error} event unless the
 * connection is lost. Thread safety: the public methods may be called from any thread; all state is
 * used on the exchange's I/O thread only.
 */
final class HttpReply implements CallerResponder {
    private static final Logger LOG = Logger.getLogger(HttpReply.class);

    private final HttpServerExchange mExchange;
    private final boolean mStream;
    private final Consumer<Integer> mOnEnd;
    private final ChunkWriter mWriter;
    private boolean mEnded;

    /**
     * Creates the reply.
     *
     * @param onEnd receives the HTTP status when the answer is decided
     */
    HttpReply(HttpServerExchange exchange, boolean stream, Consumer<Integer> onEnd) {
        mExchange = exchange;
        mWriter = new ChunkWriter(exchange);
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
    public void complete(CallerResponse answer) {
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
                    if (mWriter.isStarted()) {
                        event("error", problem.json());
                        end(problem.code().httpStatus());
                        return;
                    }
                    mEnded = true;
                    int status = problem.code().httpStatus();
                    mOnEnd.accept(status);
                    whole(status, Problem.CONTENT_TYPE, problem.json());
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
        mWriter.end();
    }

    private void event(String name, ObjectNode json) {
        if (mEnded) {
            return;
        }
        if (!mWriter.isStarted()) {
            mExchange.setStatusCode(200);
            mExchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
            mExchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-store");
        }
        String text = "event: " + name + "\ndata: " + json + "\n\n";
        mWriter.write(text.getBytes(StandardCharsets.UTF_8));
    }

    private void onIoThread(Runnable task) {
        try {
            mExchange.getIoThread().execute(task);
        } catch (RejectedExecutionException e) {
            LOG.debug("answer dropped, the listener has stopped");
        }
    }
}
