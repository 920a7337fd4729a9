package org.bulrushvale.standin.http;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import org.xnio.IoUtils;

/**
 * A server-sent event stream that may end properly, end early, or be cut.
 *
 * <p>Invariant: events are written in the order in which they were sent; at most one write is in
 * progress. Thread safety: safe for use by any thread; the state is confined to the I/O thread.
 */
public final class EventStream {
    private enum Ending {
        OPEN,
        END,
        CUT
    }

    private final Call mCall;
    private final HttpServerExchange mExchange;
    private final Runnable mOnBroken;
    private final StringBuilder mPending = new StringBuilder();
    private Ending mEnding = Ending.OPEN;
    private boolean mWriting;
    private boolean mFinished;

    EventStream(Call call, HttpServerExchange exchange, Runnable onBroken) {
        mCall = call;
        mExchange = exchange;
        mOnBroken = onBroken;
    }

    /** Sends an event without a name. */
    public void send(Object data) {
        append("data: " + Json.write(data) + "\n\n");
    }

    /** Sends a named event. */
    public void send(String event, Object data) {
        append("event: " + event + "\ndata: " + Json.write(data) + "\n\n");
    }

    /** Ends the response; without a last event the stream is incomplete but well-formed HTTP. */
    public void end() {
        finish(Ending.END);
    }

    /** Closes the connection after what was sent so far. */
    public void cut() {
        finish(Ending.CUT);
    }

    private void append(String text) {
        mCall.onIoThread(
                () -> {
                    mPending.append(text);
                    flush();
                });
    }

    private void finish(Ending ending) {
        mCall.onIoThread(
                () -> {
                    mEnding = ending;
                    flush();
                });
    }

    private void flush() {
        if (mWriting || mFinished) {
            return;
        }
        if (mPending.length() > 0) {
            String text = mPending.toString();
            mPending.setLength(0);
            mWriting = true;
            mExchange.getResponseSender().send(text, new Written());
        } else if (mEnding == Ending.END) {
            mFinished = true;
            mExchange.endExchange();
        } else if (mEnding == Ending.CUT) {
            mFinished = true;
            IoUtils.safeClose(mExchange.getConnection());
        }
    }

    /** Continues with what was sent during the write. Thread safety: one I/O thread. */
    private final class Written implements IoCallback {
        @Override
        public void onComplete(HttpServerExchange exchange, Sender sender) {
            mCall.onIoThread(
                    () -> {
                        mWriting = false;
                        flush();
                    });
        }

        @Override
        public void onException(HttpServerExchange exchange, Sender sender, IOException error) {
            mFinished = true;
            IoUtils.safeClose(exchange.getConnection());
            mOnBroken.run();
        }
    }
}
