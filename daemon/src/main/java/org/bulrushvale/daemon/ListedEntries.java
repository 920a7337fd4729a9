package org.bulrushvale.daemon;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.bulrushvale.decision.forward.ColdServerRateLimit;
import org.bulrushvale.decision.membership.Rendezvous;

/**
 * The entries that share fleet-wide limits, as the platform lists them.
 *
 * <p>Thread safety: owned by the event loop.
 */
final class ListedEntries implements ColdServerRateLimit.FleetView {
    private final String mSelf;
    private Set<String> mNames;

    ListedEntries(String self) {
        mSelf = self;
        mNames = Set.of(self);
    }

    /** Replaces the names of the live entries; this entry need not be among them. */
    void update(Collection<String> names) {
        Set<String> all = new HashSet<>(names);
        all.add(mSelf);
        mNames = all;
    }

    @Override
    public int entryCount() {
        return mNames.size();
    }

    @Override
    public int rank(String server) {
        return Rendezvous.ranked(server, mNames).indexOf(mSelf);
    }
}
