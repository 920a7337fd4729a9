package org.bulrushvale.adapters.forward;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Copies the end-to-end headers of a message from one connection to another.
 *
 * <p>Invariant: headers that concern a single connection are omitted (RFC 9110, section 7.6.1).
 * Thread safety: stateless.
 */
public final class EndToEndHeaders {
    private static final Set<HttpString> HOP_BY_HOP =
            Set.of(
                    Headers.CONNECTION,
                    Headers.KEEP_ALIVE,
                    Headers.PROXY_AUTHENTICATE,
                    Headers.PROXY_AUTHORIZATION,
                    Headers.TE,
                    Headers.TRAILER,
                    Headers.TRANSFER_ENCODING,
                    Headers.UPGRADE,
                    Headers.EXPECT,
                    Headers.CONTENT_LENGTH,
                    new HttpString("Proxy-Connection"));

    private EndToEndHeaders() {}

    /**
     * Returns a copy without the hop-by-hop headers and the headers that {@code excluded} accepts.
     */
    public static HeaderMap copyEndToEnd(HeaderMap from, Predicate<String> excluded) {
        Set<HttpString> connectionOptions = connectionOptions(from);
        HeaderMap copy = new HeaderMap();
        for (HeaderValues values : from) {
            HttpString name = values.getHeaderName();
            if (!HOP_BY_HOP.contains(name)
                    && !connectionOptions.contains(name)
                    && !excluded.test(name.toString())) {
                copy.addAll(name, values);
            }
        }
        return copy;
    }

    private static Set<HttpString> connectionOptions(HeaderMap from) {
        HeaderValues connection = from.get(Headers.CONNECTION);
        Set<HttpString> names = new HashSet<>();
        if (connection != null) {
            for (String value : connection) {
                for (String name : value.split(",", -1)) {
                    names.add(new HttpString(name.trim().toLowerCase(Locale.ROOT)));
                }
            }
        }
        return names;
    }
}
