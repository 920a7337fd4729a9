package org.bulrushvale.decision.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the platform's list of VMs.
 *
 * <p>Invariant: names are unique. Thread safety: immutable.
 */
public final class VmList {
    private static final VmList EMPTY = of(-1, List.of());

    private final long mVersion;
    private final List<Vm> mVms;
    private final List<String> mLiveNames;
    private final Map<String, Vm> mByName;

    private VmList(long version, List<Vm> vms) {
        mVersion = version;
        mVms = List.copyOf(vms);
        Map<String, Vm> byName = new LinkedHashMap<>();
        for (Vm vm : mVms) {
            if (byName.put(vm.name(), vm) != null) {
                throw new IllegalArgumentException("VM listed twice: " + vm.name());
            }
        }
        mByName = Map.copyOf(byName);
        mLiveNames = mVms.stream().filter(vm -> !vm.leaving()).map(Vm::name).toList();
    }

    /** Returns a list; throws {@link IllegalArgumentException} when a name occurs twice. */
    public static VmList of(long version, List<Vm> vms) {
        return new VmList(version, vms);
    }

    /** Returns the list to use before one was read: version -1, without VMs. */
    public static VmList empty() {
        return EMPTY;
    }

    /** Returns the version; a list with a higher version replaces one with a lower version. */
    public long version() {
        return mVersion;
    }

    /** Returns all VMs, leaving ones included. */
    public List<Vm> vms() {
        return mVms;
    }

    /** Returns the names of the VMs that are not leaving. */
    public List<String> liveNames() {
        return mLiveNames;
    }

    /** Returns the VM of the given name. */
    public Optional<Vm> vm(String name) {
        return Optional.ofNullable(mByName.get(name));
    }

    /** Returns true when a VM with the given address is listed. */
    public boolean hasAddress(String address) {
        return mVms.stream().anyMatch(vm -> vm.address().equals(address));
    }

    /** Returns the number of VMs, leaving ones included. */
    public int size() {
        return mVms.size();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof VmList list && mVersion == list.mVersion && mVms.equals(list.mVms);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(mVersion) * 31 + mVms.hashCode();
    }
}
