package org.bulrushvale.adapters.forward;

import io.undertow.client.ClientConnection;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;

/**
 * Idle connections by address.
 *
 * <p>Invariant: a connection is used only well before the other side would close it as idle, so
 * that a request rarely meets a close. Thread safety: used on the I/O thread only.
 */
final class IdleConnections {
    // Idle connections count against the server's limit for all entries together.
    private static final int MAX_IDLE_PER_ADDRESS = 6;

    private final Map<String, Deque<Idle>> mIdle = new HashMap<>();

    @Nullable ClientConnection take(String address, long nowNanos) {
        Deque<Idle> idle = mIdle.get(address);
        while (idle != null && !idle.isEmpty()) {
            Idle latest = idle.removeLast();
            if (latest.connection().isOpen() && latest.usableUntilNanos() - nowNanos > 0) {
                return latest.connection();
            }
            IoUtils.safeClose(latest.connection());
        }
        return null;
    }

    void put(String address, ClientConnection connection, long usableUntilNanos) {
        Deque<Idle> idle = mIdle.computeIfAbsent(address, key -> new ArrayDeque<>());
        idle.addLast(new Idle(connection, usableUntilNanos));
        if (idle.size() > MAX_IDLE_PER_ADDRESS) {
            IoUtils.safeClose(idle.removeFirst().connection());
        }
    }

    void closeExpired(long nowNanos) {
        for (Deque<Idle> idle : mIdle.values()) {
            idle.removeIf(
                    entry -> {
                        boolean over =
                                entry.usableUntilNanos() - nowNanos <= 0
                                        || !entry.connection().isOpen();
                        if (over) {
                            IoUtils.safeClose(entry.connection());
                        }
                        return over;
                    });
        }
        mIdle.values().removeIf(Deque::isEmpty);
    }

    /**
     * One idle connection.
     *
     * <p>Thread safety: immutable.
     */
    private record Idle(ClientConnection connection, long usableUntilNanos) {}
}
