package org.bulrushvale.adapters.caller;

import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * Closes the connection of a caller that does not read a complete response in time. Otherwise a
 * caller that reads a few bytes now and then would keep the response in memory without end.
 *
 * <p>Invariant: a caller has as long to read the rest of a complete response as it has to send a
 * request (the read timeout of the listener). Thread safety: used on the exchange's I/O thread
 * only.
 */
public final class ResponseReadLimit {
    private ResponseReadLimit() {}

    /** Starts the limit for a response whose last byte was handed to the exchange. */
    public static void start(HttpServerExchange exchange) {
        int limitMillis =
                exchange.getConnection()
                        .getUndertowOptions()
                        .get(UndertowOptions.REQUEST_PARSE_TIMEOUT, 0);
        if (limitMillis <= 0 || exchange.isComplete()) {
            return;
        }
        XnioExecutor.Key timer =
                exchange.getIoThread()
                        .executeAfter(
                                () -> IoUtils.safeClose(exchange.getConnection()),
                                limitMillis,
                                TimeUnit.MILLISECONDS);
        exchange.addExchangeCompleteListener(
                (done, next) -> {
                    timer.remove();
                    next.proceed();
                });
    }
}
