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
 * Sends the response to one HTTP exchange, either as one JSON body or as an event stream.
 *
 * <p>Invariant: an event stream ends with exactly one {@code end} or {@code error} event unless the
 * connection is lost. Thread safety: the public methods may be called from any thread; all state is
 * used on the exchange's I/O thread only.
 */
final class HttpResponder implements CallerResponder {
    private static final Logger LOG = Logger.getLogger(HttpResponder.class);

    private final HttpServerExchange mExchange;
    private final boolean mStream;
    private final Consumer<Integer> mOnEnd;
    private final ChunkWriter mChunkWriter;
    private boolean mEnded;

    /**
     * Creates a responder.
     *
     * @param onEnd receives the HTTP status when the result of the request is known
     */
    HttpResponder(HttpServerExchange exchange, boolean stream, Consumer<Integer> onEnd) {
        mExchange = exchange;
        mChunkWriter = new ChunkWriter(exchange);
        mStream = stream;
        mOnEnd = onEnd;
    }

    @Override
    public void text(long offset, String text) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("offset", offset);
        json.put("text", text);
        executeOnIoThread(() -> writeEvent("token", json));
    }

    @Override
    public void complete(CallerResponse response) {
        executeOnIoThread(
                () -> {
                    if (mEnded) {
                        return;
                    }
                    if (mStream) {
                        writeEvent("end", response.json(false));
                        endStream(200);
                    } else {
                        mEnded = true;
                        mOnEnd.accept(200);
                        sendJson(200, "application/json", response.json(true));
                    }
                });
    }

    @Override
    public void fail(Problem problem) {
        executeOnIoThread(
                () -> {
                    if (mEnded) {
                        return;
                    }
                    if (mChunkWriter.isStarted()) {
                        writeEvent("error", problem.json());
                        endStream(problem.code().httpStatus());
                        return;
                    }
                    mEnded = true;
                    int status = problem.code().httpStatus();
                    mOnEnd.accept(status);
                    sendJson(status, Problem.CONTENT_TYPE, problem.json());
                });
    }

    void sendJson(int status, String type, ObjectNode json) {
        if (mExchange.isResponseStarted()) {
            return;
        }
        mExchange.setStatusCode(status);
        mExchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
        mExchange
                .getResponseSender()
                .send(json.toString(), StandardCharsets.UTF_8, IoCallback.END_EXCHANGE);
        ResponseReadLimit.start(mExchange);
    }

    private void endStream(int status) {
        mEnded = true;
        mOnEnd.accept(status);
        mChunkWriter.end();
    }

    private void writeEvent(String name, ObjectNode json) {
        if (mEnded) {
            return;
        }
        if (!mChunkWriter.isStarted()) {
            mExchange.setStatusCode(200);
            mExchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
            mExchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-store");
        }
        String text = "event: " + name + "\ndata: " + json + "\n\n";
        mChunkWriter.write(text.getBytes(StandardCharsets.UTF_8));
    }

    private void executeOnIoThread(Runnable task) {
        try {
            mExchange.getIoThread().execute(task);
        } catch (RejectedExecutionException e) {
            LOG.debug("response dropped because the listener has stopped");
        }
    }
}
