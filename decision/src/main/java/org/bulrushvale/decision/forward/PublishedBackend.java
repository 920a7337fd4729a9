package org.bulrushvale.decision.forward;

import java.time.Duration;

/**
 * What the platform publishes about one process of a backend server.
 *
 * <p>Thread safety: immutable.
 *
 * @param id name of the process; a process that starts again may keep it
 * @param startedMillis start of the process, in milliseconds since the epoch; 0 when not published
 * @param coldLeft how much longer the process stays cold
 */
public record PublishedBackend(
        String id,
        String service,
        String host,
        int port,
        String domain,
        int slots,
        boolean leaving,
        long startedMillis,
        Duration coldLeft) {
    /** Returns the address as text. */
    public String address() {
        return host + ":" + port;
    }
}
