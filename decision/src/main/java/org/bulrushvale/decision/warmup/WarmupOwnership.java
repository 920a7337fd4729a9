package org.bulrushvale.decision.warmup;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.bulrushvale.decision.membership.ConfirmedValue;
import org.bulrushvale.decision.membership.Rendezvous;
import org.bulrushvale.decision.membership.Vm;
import org.bulrushvale.decision.membership.VmList;
import org.jspecify.annotations.Nullable;

/**
 * Decides from the published VM list which entry warms up a backend server and which share each
 * entry has of a warm one.
 *
 * <p>Invariant: for one list the shares of a server sum to at most its slots. While the lists that
 * two entries read differ by at most {@link WarmupTiming#listLagMax}, they never both feed a cold
 * server. Reachability plays no part. Thread safety: single-writer, used by the event loop only.
 */
public final class WarmupOwnership {
    private final String mSelf;
    private WarmupTiming mTiming;
    private @Nullable ConfirmedValue<VmList> mView;
    private long mListSinceNanos;
    private long[] mLiveHashes = {};
    private long[] mListedHashes = {};
    private boolean mListed;
    private boolean mLive;
    private final Map<String, Standing> mStandings = new HashMap<>();

    private WarmupOwnership(String self, WarmupTiming timing) {
        mSelf = self;
        mTiming = timing;
    }

    /** Returns the ownership of the entry on VM {@code self}, which owns nothing yet. */
    public static WarmupOwnership create(String self, WarmupTiming timing) {
        return new WarmupOwnership(self, timing);
    }

    /** Sets the backend servers of the published configuration. */
    public void servers(Collection<String> names) {
        Set<String> kept = new HashSet<>(names);
        mStandings.keySet().retainAll(kept);
        for (String name : kept) {
            // The owner of a new server has been known to every entry since the list was read.
            mStandings.computeIfAbsent(name, n -> standing(Rendezvous.hash(n), mListSinceNanos));
        }
    }

    /** Sets the longest deadline in force; a process never goes back to a shorter one. */
    public void longestDeadline(Duration deadline) {
        if (deadline.compareTo(mTiming.longestDeadline()) > 0) {
            mTiming = mTiming.withLongestDeadline(deadline);
        }
    }

    /** Takes the present list with its confirmation time. */
    public void view(ConfirmedValue<VmList> view, long nowNanos) {
        ConfirmedValue<VmList> old = mView;
        mView = view;
        if (old != null && old.value().version() == view.value().version()) {
            return;
        }
        // In a version that was skipped another entry may have been the owner.
        boolean consecutive = old != null && view.value().version() == old.value().version() + 1;
        VmList list = view.value();
        mListSinceNanos = nowNanos;
        mListed = list.vm(mSelf).isPresent();
        mLive = list.vm(mSelf).map(vm -> !vm.leaving()).orElse(false);
        mLiveHashes = list.liveNames().stream().mapToLong(Rendezvous::hash).toArray();
        mListedHashes = list.vms().stream().map(Vm::name).mapToLong(Rendezvous::hash).toArray();
        mStandings.replaceAll(
                (name, was) -> {
                    boolean keeps = consecutive && was.owner();
                    return standing(was.hash(), keeps ? was.sinceNanos() : nowNanos);
                });
    }

    private Standing standing(long hash, long sinceNanos) {
        boolean owner = mLive && rank(hash, mLiveHashes) == 0;
        int rank = mListed ? rank(hash, mListedHashes) : Integer.MAX_VALUE;
        return new Standing(hash, owner, rank, sinceNanos);
    }

    private int rank(long serverHash, long[] candidates) {
        long own = Rendezvous.score(serverHash, Rendezvous.hash(mSelf));
        int rank = 0;
        for (long candidate : candidates) {
            if (Rendezvous.score(serverHash, candidate) > own) {
                rank++;
            }
        }
        return rank;
    }

    /** Returns true when the published list makes this entry the warm-up owner. */
    public boolean isOwner(String server) {
        Standing standing = mStandings.get(server);
        return standing != null && standing.owner();
    }

    /** Returns true when this entry may send to the server while it is cold. */
    public boolean mayFeedCold(String server, long nowNanos) {
        Standing standing = mStandings.get(server);
        ConfirmedValue<VmList> view = mView;
        return standing != null
                && view != null
                && standing.owner()
                && !view.isOlderThan(mTiming.viewAgeMax(), nowNanos)
                && nowNanos - standing.sinceNanos() >= mTiming.holdDown().toNanos();
    }

    /**
     * Returns this entry's share of a warm server. Leaving VMs keep their share until they are off
     * the list, because they still have stages of accepted requests to run.
     */
    public int share(String server, int slots) {
        Standing standing = mStandings.get(server);
        if (standing == null || !mListed) {
            return 0;
        }
        int listed = mListedHashes.length;
        return slots / listed + (standing.rank() < slots % listed ? 1 : 0);
    }

    /** Returns the limits in force. */
    public WarmupTiming timing() {
        return mTiming;
    }

    /**
     * This entry's position for one server.
     *
     * <p>Thread safety: immutable.
     *
     * @param hash hash of the server's name
     * @param owner true when this entry is the warm-up owner
     * @param rank number of listed VMs that rank higher
     * @param sinceNanos time from which the hold-down counts
     */
    private record Standing(long hash, boolean owner, int rank, long sinceNanos) {}
}
