package org.bulrushvale.adapters.caller;

import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.HeaderValues;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * Reads the whole body of a request within a time limit.
 *
 * <p>Invariant: either the body or a refusal is delivered; a connection whose request was not read
 * to its end is not used again. Thread safety: used on the exchange's I/O thread only.
 */
public final class BodyReceiver {
    private BodyReceiver() {}

    /** Receives the outcome. */
    public interface Listener {
        /** The whole body was read. */
        void received(byte[] body);

        /** The body was not read; the exchange is to be answered with an error. */
        void refused(ErrorCode code, String detail);
    }

    /** Returns the size of the names and values of all headers. */
    public static long headerBytes(HttpServerExchange exchange) {
        long bytes = 0;
        for (HeaderValues values : exchange.getRequestHeaders()) {
            for (String value : values) {
                bytes += values.getHeaderName().length() + value.length();
            }
        }
        return bytes;
    }

    /** Reads the body; the limit covers all of it, so that a slow sender is cut off as well. */
    public static void receive(HttpServerExchange exchange, Duration limit, Listener listener) {
        XnioExecutor.Key timer =
                exchange.getIoThread()
                        .executeAfter(
                                () -> slowSender(exchange, listener),
                                limit.toMillis(),
                                TimeUnit.MILLISECONDS);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (same, body) -> {
                            timer.remove();
                            // A body that arrives late is delivered inside a handler call, after
                            // which Undertow would end the exchange unless it is dispatched.
                            same.dispatch(
                                    SameThreadExecutor.INSTANCE, () -> listener.received(body));
                        },
                        (same, error) -> {
                            timer.remove();
                            same.setPersistent(false);
                            notReceived(error, listener);
                        });
    }

    private static void notReceived(IOException error, Listener listener) {
        if (error instanceof Receiver.RequestToLargeException
                || error instanceof RequestTooBigException) {
            listener.refused(ErrorCode.BODY_TOO_LARGE, "body larger than the limit");
        } else {
            listener.refused(ErrorCode.MALFORMED_REQUEST, "body not received completely");
        }
    }

    private static void slowSender(HttpServerExchange exchange, Listener listener) {
        if (!exchange.isRequestComplete() && !exchange.isResponseStarted()) {
            exchange.setPersistent(false);
            listener.refused(
                    ErrorCode.REQUEST_TIMEOUT, "body not received within the read timeout");
            // Ending the exchange would wait for the rest of the body.
            exchange.getIoThread()
                    .executeAfter(
                            () -> IoUtils.safeClose(exchange.getConnection()), 1, TimeUnit.SECONDS);
        }
    }
}
