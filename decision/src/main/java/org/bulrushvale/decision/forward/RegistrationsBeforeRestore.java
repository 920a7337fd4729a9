package org.bulrushvale.decision.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The last registrations of backend servers that were known before the store was restored from a
 * copy. A copy shows servers as they were some seconds earlier, and its registrations are written
 * again one by one; a server that was known to leave, or to have left, must not be used meanwhile.
 *
 * <p>Invariant: a registration that is not newer than the one known before the restore is withheld
 * until {@link #end}. Thread safety: not safe; used by the event loop.
 */
public final class RegistrationsBeforeRestore {
    private static final int MAX_REMOVED = 1_024;

    private final Map<String, PublishedBackend> mRemoved = new LinkedHashMap<>();
    private final Map<String, Known> mKnown = new HashMap<>();
    private final Map<String, PublishedBackend> mWithheld = new HashMap<>();

    /** Records the last registration of a server that is no longer published. */
    public void recordRemoved(PublishedBackend server) {
        mWithheld.remove(server.id());
        mRemoved.remove(server.id());
        mRemoved.put(server.id(), server);
        if (mRemoved.size() > MAX_REMOVED) {
            mRemoved.remove(mRemoved.keySet().iterator().next());
        }
    }

    /** Records that a server is published no longer, whether its registration was used or not. */
    public void recordGone(String id) {
        mWithheld.remove(id);
    }

    /** Records a restore of the store, with the servers that were published before it. */
    public void recordRestore(Collection<PublishedBackend> present) {
        mRemoved.values().forEach(server -> mKnown.put(server.id(), new Known(server, true)));
        mRemoved.clear();
        present.forEach(server -> mKnown.put(server.id(), new Known(server, false)));
    }

    /**
     * Returns true when a registration is not newer than what was known before the restore; it is
     * then withheld.
     */
    public boolean withhold(PublishedBackend server) {
        Known known = mKnown.get(server.id());
        if (known == null || !known.supersedes(server)) {
            mWithheld.remove(server.id());
            mRemoved.remove(server.id());
            return false;
        }
        mWithheld.put(server.id(), server);
        return true;
    }

    /**
     * Ends the time in which registrations are withheld, and returns those that are still
     * published.
     */
    public List<PublishedBackend> end() {
        List<PublishedBackend> withheld = new ArrayList<>(mWithheld.values());
        mWithheld.clear();
        mKnown.clear();
        return withheld;
    }

    /**
     * What was known of a server.
     *
     * <p>Thread safety: immutable.
     *
     * @param removed true when the server was no longer published
     */
    private record Known(PublishedBackend server, boolean removed) {
        boolean supersedes(PublishedBackend other) {
            boolean isNamed = server.startedMillis() != 0 && other.startedMillis() != 0;
            if (isNamed && other.startedMillis() != server.startedMillis()) {
                return other.startedMillis() < server.startedMillis();
            }
            if (other.sequence() != server.sequence()) {
                return other.sequence() < server.sequence();
            }
            return removed || server.leaving() && !other.leaving();
        }
    }
}
