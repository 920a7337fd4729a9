package org.bulrushvale.decision.membership;

import java.time.Duration;
import java.util.List;

/**
 * Decides which processes watch the configuration service.
 *
 * <p>Invariant: with one VM list at most {@value #READERS_PER_DOMAIN} VMs per failure domain are
 * readers, so the load on the service does not grow with the fleet. Thread safety: stateless.
 */
public final class ReaderSelection {
    /** Readers per failure domain; one domain keeps a reader when two of its readers die. */
    public static final int READERS_PER_DOMAIN = 3;

    /** A process that is no reader reads the index itself after this time without confirmation. */
    public static final Duration FALLBACK_AGE = Duration.ofSeconds(2);

    private ReaderSelection() {}

    /** Returns the readers of a failure domain, winner first. */
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
     * Returns true when the VM watches the service. A process that knows no list reads it itself; a
     * VM that is not listed relies on peers and on {@link #needsFallbackRead}.
     */
    public static boolean isReader(VmList list, String self) {
        return list.size() == 0
                || list.vm(self)
                        .map(vm -> readers(list, vm.failureDomain()).contains(self))
                        .orElse(false);
    }

    /** Returns true when a process must read the index once because nothing confirmed its view. */
    public static boolean needsFallbackRead(Duration confirmationAge) {
        return confirmationAge.compareTo(FALLBACK_AGE) >= 0;
    }
}
