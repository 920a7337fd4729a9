package org.bulrushvale.decision.membership;

import java.time.Duration;
import java.util.List;

/**
 * Decides which processes are readers, that is, watch the configuration service. The others learn
 * of changes from their peers.
 *
 * <p>Invariant: under one VM list at most {@value #READERS_PER_DOMAIN} VMs per failure domain are
 * readers, so the load on the service does not grow with the number of VMs. Thread safety:
 * stateless.
 */
public final class ReaderSelection {
    /** Readers per failure domain; a domain still has a reader when two of its readers fail. */
    public static final int READERS_PER_DOMAIN = 3;

    /**
     * Time without a confirmation of its view after which a process that is not a reader reads the
     * index from the configuration service once instead of relying on its peers.
     */
    public static final Duration FALLBACK_AGE = Duration.ofSeconds(2);

    private ReaderSelection() {}

    /** Returns the names of the VMs that are readers in a failure domain, highest rank first. */
    public static List<String> readers(VmList list, String failureDomain) {
        List<String> live =
                list.vms().stream()
                        .filter(vm -> !vm.leaving() && vm.failureDomain().equals(failureDomain))
                        .map(Vm::name)
                        .toList();
        List<String> ranked = Rendezvous.ranked("config-reader/" + failureDomain, live);
        return ranked.subList(0, Math.min(READERS_PER_DOMAIN, ranked.size()));
    }

    /**
     * Returns true when the process on VM {@code self} is a reader. A process that knows no list
     * yet is a reader; one whose VM is not listed relies on peers and on {@link
     * #needsFallbackRead}.
     */
    public static boolean isReader(VmList list, String self) {
        return list.size() == 0
                || list.vm(self)
                        .map(vm -> readers(list, vm.failureDomain()).contains(self))
                        .orElse(false);
    }

    /**
     * Returns true when a process must read the index once because its view was not confirmed
     * recently.
     */
    public static boolean needsFallbackRead(Duration confirmationAge) {
        return confirmationAge.compareTo(FALLBACK_AGE) >= 0;
    }
}
