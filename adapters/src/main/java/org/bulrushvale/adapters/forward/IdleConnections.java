package org.bulrushvale.adapters.forward;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.bulrushvale.adapters.backend.LimitedConnection;
import org.jspecify.annotations.Nullable;

/**
 * Idle connections to upstream servers, by address.
 *
 * <p>Invariant: a connection is used only well before the server would close it as idle, so that a
 * request is rarely sent on a connection that is being closed. Thread safety: used on the I/O
 * thread only.
 */
final class IdleConnections {
    // A server's connection limit also counts the idle connections of all entries.
    private static final int MAX_IDLE_PER_ADDRESS = 6;

    private final Map<String, Deque<IdleConnection>> mIdleByAddress = new HashMap<>();

    @Nullable LimitedConnection take(String address, long nowNanos) {
        Deque<IdleConnection> idle = mIdleByAddress.get(address);
        while (idle != null && !idle.isEmpty()) {
            IdleConnection mostRecent = idle.removeLast();
            if (mostRecent.connection().isOpen() && mostRecent.usableUntilNanos() - nowNanos > 0) {
                return mostRecent.connection();
            }
            mostRecent.connection().close();
        }
        return null;
    }

    void put(String address, LimitedConnection connection, long usableUntilNanos) {
        Deque<IdleConnection> idle =
                mIdleByAddress.computeIfAbsent(address, key -> new ArrayDeque<>());
        idle.addLast(new IdleConnection(connection, usableUntilNanos));
        if (idle.size() > MAX_IDLE_PER_ADDRESS) {
            idle.removeFirst().connection().close();
        }
    }

    void closeAll(String address) {
        Deque<IdleConnection> idle = mIdleByAddress.remove(address);
        if (idle != null) {
            idle.forEach(candidate -> candidate.connection().close());
        }
    }

    void closeExpired(long nowNanos) {
        for (Deque<IdleConnection> idle : mIdleByAddress.values()) {
            idle.removeIf(
                    candidate -> {
                        boolean expired =
                                candidate.usableUntilNanos() - nowNanos <= 0
                                        || !candidate.connection().isOpen();
                        if (expired) {
                            candidate.connection().close();
                        }
                        return expired;
                    });
        }
        mIdleByAddress.values().removeIf(Deque::isEmpty);
    }

    /**
     * One idle connection.
     *
     * <p>Thread safety: immutable.
     */
    private record IdleConnection(LimitedConnection connection, long usableUntilNanos) {}
}
