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
 * Copies headers from one connection to the other.
 *
 * <p>Invariant: headers that concern one connection only are left out (RFC 9110, section 7.6.1).
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

    /** Returns the headers that pass on, without those that are left out. */
    public static HeaderMap copyEndToEnd(HeaderMap from, Predicate<String> leftOut) {
        Set<HttpString> named = named(from);
        HeaderMap to = new HeaderMap();
        for (HeaderValues values : from) {
            HttpString name = values.getHeaderName();
            if (!HOP_BY_HOP.contains(name)
                    && !named.contains(name)
                    && !leftOut.test(name.toString())) {
                to.addAll(name, values);
            }
        }
        return to;
    }

    private static Set<HttpString> named(HeaderMap from) {
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
