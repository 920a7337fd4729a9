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
 * Reads the complete body of a request within a time limit.
 *
 * <p>Invariant: the listener receives either the body or a refusal; a connection whose request was
 * not read completely is not reused. Thread safety: used on the exchange's I/O thread only.
 */
public final class BodyReceiver {
    private BodyReceiver() {}

    /** Receives the body or the reason why it was not read. */
    public interface Listener {
        /** The complete body was read. */
        void received(byte[] body);

        /** The body was not read completely; the listener must send an error response. */
        void refused(ErrorCode code, String detail);
    }

    /** Returns the total size of the names and values of all headers. */
    public static long headerBytes(HttpServerExchange exchange) {
        long bytes = 0;
        for (HeaderValues values : exchange.getRequestHeaders()) {
            for (String value : values) {
                bytes += values.getHeaderName().length() + value.length();
            }
        }
        return bytes;
    }

    /** Reads the body; the limit covers the complete body, so that it also stops slow senders. */
    public static void receive(HttpServerExchange exchange, Duration limit, Listener listener) {
        XnioExecutor.Key timer =
                exchange.getIoThread()
                        .executeAfter(
                                () -> refuseSlowSender(exchange, listener),
                                limit.toMillis(),
                                TimeUnit.MILLISECONDS);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (sameExchange, body) -> {
                            timer.remove();
                            // Undertow delivers a late body inside a handler call, after which it
                            // would end the exchange unless the exchange is dispatched.
                            sameExchange.dispatch(
                                    SameThreadExecutor.INSTANCE, () -> listener.received(body));
                        },
                        (sameExchange, error) -> {
                            timer.remove();
                            sameExchange.setPersistent(false);
                            refuseIncompleteBody(error, listener);
                        });
    }

    private static void refuseIncompleteBody(IOException error, Listener listener) {
        if (error instanceof Receiver.RequestToLargeException
                || error instanceof RequestTooBigException) {
            listener.refused(ErrorCode.BODY_TOO_LARGE, "request body is larger than the limit");
        } else {
            listener.refused(
                    ErrorCode.MALFORMED_REQUEST, "request body was not received completely");
        }
    }

    private static void refuseSlowSender(HttpServerExchange exchange, Listener listener) {
        if (!exchange.isRequestComplete() && !exchange.isResponseStarted()) {
            exchange.setPersistent(false);
            listener.refused(
                    ErrorCode.REQUEST_TIMEOUT,
                    "request body was not received within the read timeout");
            // Undertow would wait for the rest of the body if the exchange were ended.
            exchange.getIoThread()
                    .executeAfter(
                            () -> IoUtils.safeClose(exchange.getConnection()), 1, TimeUnit.SECONDS);
        }
    }
}
