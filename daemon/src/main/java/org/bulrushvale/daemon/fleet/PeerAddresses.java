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
 * Where peers listen and which addresses may connect.
 *
 * <p>Invariant: addresses come from the VM list; those named in the settings count only while the
 * list is unknown or not confirmed. Thread safety: changed on the event loop, read by any thread.
 */
final class PeerAddresses {
    private final Map<String, InetSocketAddress> mNamed = new HashMap<>();
    private final Map<String, String> mAliases = new ConcurrentHashMap<>();
    private volatile Map<String, InetSocketAddress> mTargets = Map.of();
    private volatile Set<InetAddress> mAccepted = Set.of();

    /** Takes the endpoints of the settings; {@code self} is left out. */
    PeerAddresses(List<String> endpoints, String self) {
        for (String endpoint : endpoints) {
            int colon = endpoint.lastIndexOf(':');
            if (!endpoint.equals(self)) {
                int port = Integer.parseInt(endpoint.substring(colon + 1));
                parse(endpoint.substring(0, colon), port)
                        .ifPresent(address -> mNamed.put(endpoint, address));
            }
        }
        update(VmList.empty(), false);
    }

    /** Takes the present list; {@code confirmed} tells whether it was confirmed recently. */
    void update(VmList list, boolean confirmed) {
        Map<String, InetSocketAddress> targets = new HashMap<>();
        for (Vm vm : list.vms()) {
            parse(vm.address(), vm.peerPort())
                    .ifPresent(address -> targets.put(vm.name(), address));
        }
        Set<InetAddress> accepted = new HashSet<>();
        targets.values().forEach(address -> accepted.add(address.getAddress()));
        if (targets.isEmpty() || !confirmed) {
            mNamed.values().forEach(address -> accepted.add(address.getAddress()));
            mNamed.forEach(
                    (name, address) -> {
                        if (!targets.containsValue(address)) {
                            targets.put(name, address);
                        }
                    });
        }
        mTargets = Map.copyOf(targets);
        mAccepted = Set.copyOf(accepted);
    }

    /** Returns the names to send to, this process included when it is listed. */
    List<String> names() {
        return new ArrayList<>(mTargets.keySet());
    }

    /** Records which VM answered at a named endpoint. */
    void alias(String vm, String endpoint) {
        if (!vm.equals(endpoint) && mNamed.containsKey(endpoint)) {
            mAliases.put(vm, endpoint);
        }
    }

    int namedCount() {
        return mNamed.size();
    }

    Optional<InetSocketAddress> resolve(String name) {
        InetSocketAddress address = mTargets.get(name);
        if (address == null) {
            address = mTargets.get(mAliases.getOrDefault(name, ""));
        }
        return Optional.ofNullable(address);
    }

    boolean accepts(InetAddress address) {
        return mAccepted.contains(address);
    }

    private static Optional<InetSocketAddress> parse(String address, int port) {
        boolean literal = address.indexOf(':') >= 0 || address.matches("[0-9.]+");
        if (!literal || port < 1 || port > 65_535) {
            // A name would be resolved, which blocks; the platform lists IP addresses only.
            return Optional.empty();
        }
        try {
            return Optional.of(new InetSocketAddress(InetAddress.getByName(address), port));
        } catch (UnknownHostException e) {
            return Optional.empty();
        }
    }
}
