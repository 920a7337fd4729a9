package org.bulrushvale.decision.forward;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import net.openhft.hashing.LongHashFunction;

/**
 * Chooses the software version at which a stream begins, so that it can be worked out again from
 * the published servers alone when no entry is left that knows it.
 *
 * <p>A rendezvous hash of the stream ranks the servers, and the version of the first one is chosen.
 * Each version thereby begins a share of the streams that corresponds to its number of servers, and
 * a server that comes or goes changes the choice for few streams. A version with a single server is
 * left out while another one has more: its streams could go on nowhere else.
 *
 * <p>Thread safety: stateless.
 */
public final class VersionChoice {
    /** Number of servers from which a version begins streams whatever other versions have. */
    public static final int MIN_SERVERS = 2;

    private VersionChoice() {}

    /**
     * Returns the version at which a stream begins; empty without servers.
     *
     * @param stream key of the stream, see {@link StreamOrigins#keyOf}
     * @param servers the published servers that may receive work
     */
    public static Optional<String> choose(long stream, Collection<PublishedBackend> servers) {
        Map<String, Integer> counts = new HashMap<>();
        servers.forEach(server -> counts.merge(server.version(), 1, Integer::sum));
        if (counts.size() == 1) {
            return counts.keySet().stream().findAny();
        }
        boolean hasSafeVersion = counts.values().stream().anyMatch(n -> n >= MIN_SERVERS);
        PublishedBackend first = null;
        long firstRank = 0;
        for (PublishedBackend server : servers) {
            if (hasSafeVersion && counts.getOrDefault(server.version(), 0) < MIN_SERVERS) {
                continue;
            }
            long rank = rank(stream, server.processName());
            if (first == null || rank > firstRank) {
                first = server;
                firstRank = rank;
            }
        }
        return Optional.ofNullable(first).map(PublishedBackend::version);
    }

    /** Returns the rank of a server process for a stream; the greatest one is chosen. */
    static long rank(long stream, String processName) {
        return LongHashFunction.xx(stream).hashChars(processName);
    }
}
