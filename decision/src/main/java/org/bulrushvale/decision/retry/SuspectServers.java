package org.bulrushvale.decision.retry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Divides the servers of each pool among the entries for suspect content, so that suspects of two
 * entries do not run on the same server: a crash of that server would confirm both as poison,
 * although only one of them is.
 *
 * <p>Invariants: entries that know the same entries and servers own disjoint sets of servers; when
 * a pool has at least as many servers as there are entries, every entry owns one. An entry that
 * owns no server, or whose servers could not be used for {@link #MAX_WAIT}, may use all of them.
 * Thread safety: not safe; owned by the event loop.
 */
public final class SuspectServers {
    /** Longest time for which suspect content waits while none of the own servers can be used. */
    public static final Duration MAX_WAIT = Duration.ofSeconds(1);

    private final String mSelf;
    private final Map<String, Long> mUnusableSinceNanos = new HashMap<>();
    private List<String> mEntries;

    /** Creates the division for the entry {@code self}, which knows no other entries yet. */
    public SuspectServers(String self) {
        mSelf = self;
        mEntries = List.of(self);
    }

    /** Replaces the names of the entries; this entry need not be among them. */
    public void updateEntries(Collection<String> names) {
        Set<String> all = new HashSet<>(names);
        all.add(mSelf);
        mEntries = all.stream().sorted().toList();
    }

    /**
     * Returns the servers of a pool on which this entry may run suspect content now.
     *
     * @param isUsable returns true when a server can take a request
     * @param nowNanos monotonic time in nanoseconds
     */
    public Set<String> permitted(
            String pool, Collection<String> servers, Predicate<String> isUsable, long nowNanos) {
        Set<String> owned = owned(servers);
        if (owned.isEmpty()) {
            return Set.copyOf(servers);
        }
        if (owned.stream().anyMatch(isUsable)) {
            mUnusableSinceNanos.remove(pool);
            return owned;
        }
        long sinceNanos = mUnusableSinceNanos.computeIfAbsent(pool, name -> nowNanos);
        return nowNanos - sinceNanos >= MAX_WAIT.toNanos() ? Set.copyOf(servers) : owned;
    }

    private Set<String> owned(Collection<String> servers) {
        List<String> sorted = new ArrayList<>(servers);
        sorted.sort(null);
        int self = mEntries.indexOf(mSelf);
        Set<String> owned = new HashSet<>();
        for (int i = self; i < sorted.size(); i += mEntries.size()) {
            owned.add(sorted.get(i));
        }
        return owned;
    }
}
