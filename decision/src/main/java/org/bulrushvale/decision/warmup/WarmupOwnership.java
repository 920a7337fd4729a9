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
 * Decides from the published VM list which entry owns the warm-up of a backend server and which
 * share of the slots each entry has when the server is warm.
 *
 * <p>Invariant: for one list the shares of a server sum to at most its slots. While the lists that
 * two entries read differ by at most {@link WarmupTiming#listLagMax}, the two never both send to a
 * cold server. The decision does not depend on which peers are reachable. Thread safety:
 * single-writer, used by the event loop only.
 */
public final class WarmupOwnership {
    private final String mSelf;
    private WarmupTiming mTiming;
    private @Nullable ConfirmedValue<VmList> mConfirmedList;
    private long mListReadNanos;
    private long[] mLiveVmHashes = {};
    private long[] mListedVmHashes = {};
    private boolean mListed;
    private boolean mLive;
    private final Map<String, Assignment> mAssignments = new HashMap<>();

    private WarmupOwnership(String self, WarmupTiming timing) {
        mSelf = self;
        mTiming = timing;
    }

    /** Returns the ownership for the entry on VM {@code self}, which owns no server yet. */
    public static WarmupOwnership create(String self, WarmupTiming timing) {
        return new WarmupOwnership(self, timing);
    }

    /** Sets the backend servers of the published configuration. */
    public void updateServers(Collection<String> names) {
        Set<String> kept = new HashSet<>(names);
        mAssignments.keySet().retainAll(kept);
        for (String name : kept) {
            // Every entry can compute the owner of a new server from the list, so the hold-down of
            // the server counts from the time at which the list was read.
            mAssignments.computeIfAbsent(name, n -> assign(Rendezvous.hash(n), mListReadNanos));
        }
    }

    /** Raises the longest deadline; a shorter one is ignored for the life of the process. */
    public void raiseLongestDeadline(Duration deadline) {
        if (deadline.compareTo(mTiming.longestDeadline()) > 0) {
            mTiming = mTiming.withLongestDeadline(deadline);
        }
    }

    /** Updates the VM list, which comes with the time of its last confirmation. */
    public void updateVmList(ConfirmedValue<VmList> confirmedList, long nowNanos) {
        ConfirmedValue<VmList> old = mConfirmedList;
        mConfirmedList = confirmedList;
        if (old != null && old.value().version() == confirmedList.value().version()) {
            return;
        }
        // Another entry may have been the owner in a version that was skipped.
        boolean consecutive =
                old != null && confirmedList.value().version() == old.value().version() + 1;
        VmList list = confirmedList.value();
        mListReadNanos = nowNanos;
        mListed = list.vm(mSelf).isPresent();
        mLive = list.vm(mSelf).map(vm -> !vm.leaving()).orElse(false);
        mLiveVmHashes = list.liveNames().stream().mapToLong(Rendezvous::hash).toArray();
        mListedVmHashes = list.vms().stream().map(Vm::name).mapToLong(Rendezvous::hash).toArray();
        mAssignments.replaceAll(
                (name, previous) -> {
                    boolean keeps = consecutive && previous.owner();
                    return assign(previous.hash(), keeps ? previous.sinceNanos() : nowNanos);
                });
    }

    private Assignment assign(long hash, long sinceNanos) {
        boolean owner = mLive && rank(hash, mLiveVmHashes) == 0;
        int rank = mListed ? rank(hash, mListedVmHashes) : Integer.MAX_VALUE;
        return new Assignment(hash, owner, rank, sinceNanos);
    }

    /** Returns the number of candidates with a higher rendezvous score than this entry. */
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
        Assignment assignment = mAssignments.get(server);
        return assignment != null && assignment.owner();
    }

    /** Returns true when this entry may send to the server while it is cold. */
    public boolean maySendToCold(String server, long nowNanos) {
        Assignment assignment = mAssignments.get(server);
        ConfirmedValue<VmList> confirmedList = mConfirmedList;
        return assignment != null
                && confirmedList != null
                && assignment.owner()
                && !confirmedList.isOlderThan(mTiming.viewAgeMax(), nowNanos)
                && nowNanos - assignment.sinceNanos() >= mTiming.holdDown().toNanos();
    }

    /**
     * Returns this entry's share of the slots of a warm server. Leaving VMs keep their share until
     * they are removed from the list, because they still run stages of accepted requests.
     */
    public int share(String server, int slots) {
        Assignment assignment = mAssignments.get(server);
        if (assignment == null || !mListed) {
            return 0;
        }
        int listed = mListedVmHashes.length;
        return slots / listed + (assignment.rank() < slots % listed ? 1 : 0);
    }

    /** Returns the time limits in force. */
    public WarmupTiming timing() {
        return mTiming;
    }

    /**
     * Ownership and rank of this entry for one server, by the published list.
     *
     * <p>Thread safety: immutable.
     *
     * @param hash hash of the server's name
     * @param owner true when this entry is the warm-up owner
     * @param rank number of listed VMs with a higher rendezvous score for the server
     * @param sinceNanos start of the hold-down, the time that a new owner waits before it sends to
     *     a cold server; see {@link WarmupTiming#holdDown}
     */
    private record Assignment(long hash, boolean owner, int rank, long sinceNanos) {}
}
