package org.bulrushvale.decision.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Servers that start nothing behind a group until they have memory for it.
 *
 * <p>Without this, groups that need little memory use whatever becomes free, and a group that needs
 * much never starts. Invariant: a server is held for at most one group, and a group holds at most
 * one server. Thread safety: not safe; used by the event loop.
 */
final class ServerHolds {
    private final Map<String, Hold> mByServer = new HashMap<>();
    private final Map<String, String> mServerByGroup = new HashMap<>();

    /** Returns the free memory from which on a server can start anything. */
    long neededBytes(String server, long smallestBytes) {
        Hold hold = mByServer.get(server);
        return hold == null ? smallestBytes : hold.bytes();
    }

    /**
     * Holds the server for the group, if neither is taken; returns true when it holds it then.
     *
     * @param memoryBytes memory of the server; a group that needs more starts in parts once all of
     *     it is free
     */
    boolean hold(String server, WaitingGroup group, long memoryBytes) {
        String held = mServerByGroup.get(group.name());
        if (held == null && !mByServer.containsKey(server)) {
            mByServer.put(server, new Hold(group.name(), Math.min(group.bytes(), memoryBytes)));
            mServerByGroup.put(group.name(), server);
            return true;
        }
        return server.equals(held);
    }

    /** Ends the holds of groups that no longer wait and of servers that are not usable. */
    void retain(Predicate<String> waits, Set<String> usableServers) {
        mByServer
                .entrySet()
                .removeIf(
                        entry ->
                                !usableServers.contains(entry.getKey())
                                        || !waits.test(entry.getValue().group()));
        mServerByGroup.values().removeIf(server -> !mByServer.containsKey(server));
    }

    /**
     * The group that a server is held for.
     *
     * <p>Thread safety: immutable.
     */
    private record Hold(String group, long bytes) {}
}
