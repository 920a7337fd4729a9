package org.bulrushvale.daemon.fleet;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.bulrushvale.decision.membership.Vm;
import org.bulrushvale.decision.membership.VmList;

/**
 * Holds the addresses at which peers listen and the addresses that may connect.
 *
 * <p>Invariant: addresses come from the VM list; those of the settings are used only while the list
 * is unknown or not confirmed. Thread safety: changed on the event loop, read by any thread.
 */
final class PeerAddresses {
    private final Map<String, InetSocketAddress> mConfigured = new HashMap<>();
    private final Map<String, String> mAliases = new ConcurrentHashMap<>();
    private volatile Map<String, InetSocketAddress> mAddresses = Map.of();
    private volatile Set<InetAddress> mAcceptedHosts = Set.of();

    /** Uses the endpoints of the settings, except {@code ownEndpoint}. */
    PeerAddresses(List<String> endpoints, String ownEndpoint) {
        for (String endpoint : endpoints) {
            int colon = endpoint.lastIndexOf(':');
            if (!endpoint.equals(ownEndpoint)) {
                int port = Integer.parseInt(endpoint.substring(colon + 1));
                parse(endpoint.substring(0, colon), port)
                        .ifPresent(address -> mConfigured.put(endpoint, address));
            }
        }
        update(VmList.empty(), false);
    }

    /**
     * Applies the present VM list.
     *
     * @param confirmed true when the list was confirmed recently
     */
    void update(VmList list, boolean confirmed) {
        Map<String, InetSocketAddress> addresses = new HashMap<>();
        for (Vm vm : list.vms()) {
            parse(vm.address(), vm.peerPort())
                    .ifPresent(address -> addresses.put(vm.name(), address));
        }
        Set<InetAddress> acceptedHosts = new HashSet<>();
        addresses.values().forEach(address -> acceptedHosts.add(address.getAddress()));
        if (addresses.isEmpty() || !confirmed) {
            mConfigured.values().forEach(address -> acceptedHosts.add(address.getAddress()));
            mConfigured.forEach(
                    (name, address) -> {
                        if (!addresses.containsValue(address)) {
                            addresses.put(name, address);
                        }
                    });
        }
        mAddresses = Map.copyOf(addresses);
        mAcceptedHosts = Set.copyOf(acceptedHosts);
    }

    /** Returns the names of all peers, including this process if the VM list contains it. */
    List<String> names() {
        return new ArrayList<>(mAddresses.keySet());
    }

    /** Records which VM answered at an endpoint of the settings. */
    void recordAlias(String vm, String endpoint) {
        if (!vm.equals(endpoint) && mConfigured.containsKey(endpoint)) {
            mAliases.put(vm, endpoint);
        }
    }

    int configuredCount() {
        return mConfigured.size();
    }

    Optional<InetSocketAddress> resolve(String name) {
        InetSocketAddress address = mAddresses.get(name);
        if (address == null) {
            address = mAddresses.get(mAliases.getOrDefault(name, ""));
        }
        return Optional.ofNullable(address);
    }

    boolean accepts(InetAddress address) {
        return mAcceptedHosts.contains(address);
    }

    private static Optional<InetSocketAddress> parse(String address, int port) {
        boolean literal = address.indexOf(':') >= 0 || address.matches("[0-9.]+");
        if (!literal || port < 1 || port > 65_535) {
            // A host name would need a blocking lookup; the platform lists only IP addresses.
            return Optional.empty();
        }
        try {
            return Optional.of(new InetSocketAddress(InetAddress.getByName(address), port));
        } catch (UnknownHostException e) {
            return Optional.empty();
        }
    }
}
