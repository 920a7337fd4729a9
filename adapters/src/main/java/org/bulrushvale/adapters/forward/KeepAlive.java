package org.bulrushvale.adapters.forward;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.time.Duration;
import java.util.Locale;
import org.bulrushvale.kernel.time.Clock;

/**
 * Reads how long a server keeps an idle connection open from the headers of its response.
 *
 * <p>Thread safety: stateless.
 */
final class KeepAlive {
    /**
     * Used when a server states no idle timeout: half of the shortest timeout that servers state.
     * Servers state it in whole seconds.
     */
    static final Duration DEFAULT = Duration.ofSeconds(2);

    // A connection is not reused this close to the server's idle timeout.
    private static final Duration MARGIN = Duration.ofMillis(600);
    private static final String TIMEOUT = "timeout=";

    private KeepAlive() {}

    /** Returns how long the connection may be reused, in nanoseconds; not positive for never. */
    static long nanosUntilUnusable(HeaderMap headers) {
        String connection = headers.getFirst(Headers.CONNECTION);
        if (connection != null && connection.toLowerCase(Locale.ROOT).contains("close")) {
            return 0;
        }
        String value = headers.getFirst(Headers.KEEP_ALIVE);
        int timeoutIndex = value == null ? -1 : value.indexOf(TIMEOUT);
        if (value == null || timeoutIndex < 0) {
            return DEFAULT.toNanos();
        }
        String seconds = value.substring(timeoutIndex + TIMEOUT.length()).split("[,; ]", 2)[0];
        try {
            Duration stated = Duration.ofSeconds(Long.parseLong(seconds));
            return Clock.boundedNanos(stated) - MARGIN.toNanos();
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
