package org.bulrushvale.standin.http;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import org.xnio.IoUtils;

/**
 * A stream of server-sent events. It can end normally, end without its last event, or be cut by
 * closing the connection.
 *
 * <p>Invariant: events are written in the order of the {@code send} calls; at most one write is in
 * progress. Thread safety: safe for use by any thread; the state is confined to the I/O thread.
 */
public final class EventStream {
    private enum Ending {
        OPEN,
        END,
        CUT
    }

    private final IncomingCall mCall;
    private final HttpServerExchange mExchange;
    private final Runnable mOnWriteFailure;
    private final StringBuilder mUnsentText = new StringBuilder();
    private Ending mEnding = Ending.OPEN;
    private boolean mWriting;
    private boolean mFinished;

    EventStream(IncomingCall call, HttpServerExchange exchange, Runnable onWriteFailure) {
        mCall = call;
        mExchange = exchange;
        mOnWriteFailure = onWriteFailure;
    }

    /** Sends an event without a name. */
    public void send(Object data) {
        append("data: " + Json.write(data) + "\n\n");
    }

    /** Sends a named event. */
    public void send(String event, Object data) {
        append("event: " + event + "\ndata: " + Json.write(data) + "\n\n");
    }

    /**
     * Ends the response. If no last event was sent before, the stream is incomplete but still
     * well-formed HTTP.
     */
    public void end() {
        finish(Ending.END);
    }

    /** Closes the connection after the events sent so far are written. */
    public void cut() {
        finish(Ending.CUT);
    }

    private void append(String text) {
        mCall.runOnIoThread(
                () -> {
                    mUnsentText.append(text);
                    writeNext();
                });
    }

    private void finish(Ending ending) {
        mCall.runOnIoThread(
                () -> {
                    mEnding = ending;
                    writeNext();
                });
    }

    private void writeNext() {
        if (mWriting || mFinished) {
            return;
        }
        if (mUnsentText.length() > 0) {
            String text = mUnsentText.toString();
            mUnsentText.setLength(0);
            mWriting = true;
            mExchange.getResponseSender().send(text, new WriteCallback());
        } else if (mEnding == Ending.END) {
            mFinished = true;
            mExchange.endExchange();
        } else if (mEnding == Ending.CUT) {
            mFinished = true;
            IoUtils.safeClose(mExchange.getConnection());
        }
    }

    /** Writes events sent during the last write. Thread safety: used by one I/O thread. */
    private final class WriteCallback implements IoCallback {
        @Override
        public void onComplete(HttpServerExchange exchange, Sender sender) {
            mCall.runOnIoThread(
                    () -> {
                        mWriting = false;
                        writeNext();
                    });
        }

        @Override
        public void onException(HttpServerExchange exchange, Sender sender, IOException error) {
            mFinished = true;
            IoUtils.safeClose(exchange.getConnection());
            mOnWriteFailure.run();
        }
    }
}
