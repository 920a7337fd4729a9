package org.bulrushvale.decision.membership;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * What this process has heard from each peer.
 *
 * <p>Invariant: reported versions of one incarnation never decrease; a message of an incarnation
 * that another one replaced changes nothing. Thread safety: single-writer, used by the event loop
 * only.
 */
public final class PeerTable {
    private final Map<String, Peer> mPeers = new HashMap<>();

    /**
     * Records a message from a peer; returns false when it came from a replaced incarnation.
     *
     * @param heardAtNanos time of receipt on the local monotonic clock
     */
    public boolean recordReport(String vm, PeerReport report, long heardAtNanos) {
        Peer old = mPeers.get(vm);
        if (old == null) {
            mPeers.put(vm, new Peer(vm, report, heardAtNanos, null));
            return true;
        }
        if (report.incarnation().equals(old.replacedIncarnation())) {
            return false;
        }
        if (!report.incarnation().equals(old.report().incarnation())) {
            mPeers.put(vm, new Peer(vm, report, heardAtNanos, old.report().incarnation()));
            return true;
        }
        PeerReport merged =
                new PeerReport(
                        report.incarnation(),
                        Math.max(report.configRevision(), old.report().configRevision()),
                        Math.max(report.vmListVersion(), old.report().vmListVersion()),
                        report.draining() || old.report().draining());
        long heardAt = Math.max(heardAtNanos, old.heardAtNanos());
        mPeers.put(vm, new Peer(vm, merged, heardAt, old.replacedIncarnation()));
        return true;
    }

    /** Forgets peers that are not on the list. */
    public void retainListed(VmList list) {
        mPeers.keySet().removeIf(name -> list.vm(name).isEmpty());
    }

    /** Returns what was heard from a VM. */
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
     * @param replacedIncarnation incarnation before the present one
     */
    public record Peer(
            String vm, PeerReport report, long heardAtNanos, @Nullable String replacedIncarnation) {
        /** Returns true when the last message is at most {@code limit} old. */
        public boolean isHeardWithin(Duration limit, long nowNanos) {
            return nowNanos - heardAtNanos <= limit.toNanos();
        }
    }

    /**
     * What a peer says about itself in gossip.
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
