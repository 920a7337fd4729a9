package org.bulrushvale.decision.membership;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The latest state that each peer has reported to this process.
 *
 * <p>Invariant: the reported versions of one incarnation never decrease; a message from the
 * incarnation that the present one replaced changes nothing. Thread safety: single-writer, used by
 * the event loop only.
 */
public final class PeerTable {
    private final Map<String, Peer> mPeers = new HashMap<>();

    /**
     * Records a message from a peer; returns false when it came from a replaced incarnation.
     *
     * @param heardAtNanos time of receipt on the local monotonic clock
     */
    public boolean recordReport(String vm, PeerReport report, long heardAtNanos) {
        Peer known = mPeers.get(vm);
        if (known == null) {
            mPeers.put(vm, new Peer(vm, report, heardAtNanos, null));
            return true;
        }
        if (report.incarnation().equals(known.replacedIncarnation())) {
            return false;
        }
        if (!report.incarnation().equals(known.report().incarnation())) {
            mPeers.put(vm, new Peer(vm, report, heardAtNanos, known.report().incarnation()));
            return true;
        }
        PeerReport merged =
                new PeerReport(
                        report.incarnation(),
                        Math.max(report.configRevision(), known.report().configRevision()),
                        Math.max(report.vmListVersion(), known.report().vmListVersion()),
                        report.draining() || known.report().draining());
        long heardAt = Math.max(heardAtNanos, known.heardAtNanos());
        mPeers.put(vm, new Peer(vm, merged, heardAt, known.replacedIncarnation()));
        return true;
    }

    /** Removes the peers that are not on the list. */
    public void retainListed(VmList list) {
        mPeers.keySet().removeIf(name -> list.vm(name).isEmpty());
    }

    /** Returns the state of the peer on a VM, empty when nothing was heard from it. */
    public Optional<Peer> peer(String vm) {
        return Optional.ofNullable(mPeers.get(vm));
    }

    /** Returns all peers that were heard from. */
    public Collection<Peer> peers() {
        return mPeers.values();
    }

    /** Returns how many listed VMs other than {@code self} were heard from within the limit. */
    public int countHeardWithin(VmList list, String self, Duration limit, long nowNanos) {
        int count = 0;
        for (Vm vm : list.vms()) {
            Peer peer = mPeers.get(vm.name());
            if (peer != null && !vm.name().equals(self) && peer.isHeardWithin(limit, nowNanos)) {
                count++;
            }
        }
        return count;
    }

    /**
     * State of one peer.
     *
     * <p>Thread safety: immutable.
     *
     * @param vm name of the VM
     * @param report what it reported
     * @param heardAtNanos time of the last message on the local monotonic clock
     * @param replacedIncarnation incarnation before the present one, null when none is known
     */
    public record Peer(
            String vm, PeerReport report, long heardAtNanos, @Nullable String replacedIncarnation) {
        /** Returns true when the last message is at most {@code limit} old. */
        public boolean isHeardWithin(Duration limit, long nowNanos) {
            return nowNanos - heardAtNanos <= limit.toNanos();
        }
    }

    /**
     * What a peer reports about itself in gossip.
     *
     * <p>Thread safety: immutable.
     *
     * @param incarnation unique per process start
     * @param configRevision accepted revision, -1 when there is none
     * @param vmListVersion version of its VM list, -1 when there is none
     * @param draining true when it takes no new work
     */
    public record PeerReport(
            String incarnation, long configRevision, long vmListVersion, boolean draining) {}
}
