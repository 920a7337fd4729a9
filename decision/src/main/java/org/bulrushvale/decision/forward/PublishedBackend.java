package org.bulrushvale.decision.forward;

import java.time.Duration;

/**
 * What the platform publishes about one process of a backend server.
 *
 * <p>Thread safety: immutable.
 *
 * @param id name of the process; a restarted process may keep it
 * @param version version of the software that the process runs
 * @param domain failure domain that the process runs in
 * @param leaving true when the process must receive no new work
 * @param startedMillis start of the process, in milliseconds since the epoch; 0 when not published
 * @param sequence number of the registration, which a process counts up from its start
 * @param coldLeft remaining time until the process is warm
 */
public record PublishedBackend(
        String id,
        String service,
        String host,
        int port,
        String version,
        String domain,
        int slots,
        boolean leaving,
        long startedMillis,
        long sequence,
        Duration coldLeft) {
    /** Returns the name of this process, which differs from that of a restarted one. */
    public String processName() {
        return id + "/" + startedMillis;
    }

    /** Returns the address as {@code host:port}. */
    public String address() {
        return host + ":" + port;
    }
}
