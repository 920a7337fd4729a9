package org.bulrushvale.decision.membership;

import java.time.Duration;

/**
 * Decides whether a process is isolated from the fleet and must refuse new work.
 *
 * <p>Invariant: a process is not isolated when the configuration service has answered within the
 * limit, or when more than half of the listed VMs, its own included, were heard from within the
 * limit. Peers that are not listed do not count. Thread safety: stateless.
 */
public final class IsolationRule {
    /** Time without contact after which a process counts as isolated. */
    public static final Duration LIMIT = Duration.ofSeconds(4);

    private IsolationRule() {}

    /**
     * Returns true when the process on VM {@code self} is isolated.
     *
     * @param serviceAge time since the configuration service last answered
     */
    public static boolean isIsolated(
            Duration serviceAge, VmList list, String self, PeerTable peers, long nowNanos) {
        if (serviceAge.compareTo(LIMIT) <= 0) {
            return false;
        }
        int ownVm = list.vm(self).isPresent() ? 1 : 0;
        int reachable = ownVm + peers.countHeardWithin(list, self, LIMIT, nowNanos);
        return 2 * reachable <= list.size();
    }
}
