package org.bulrushvale.daemon.fleet;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.bulrushvale.decision.config.ConfigStore;
import org.bulrushvale.decision.keys.KeySpaces;
import org.bulrushvale.decision.membership.PeerTable;
import org.bulrushvale.decision.membership.Vm;
import org.bulrushvale.kernel.time.Clock;

/**
 * Builds the parts of the operator reports that concern the fleet.
 *
 * <p>Thread safety: called on the event loop.
 */
final class FleetReports {
    private FleetReports() {}

    static void status(ObjectNode json, FleetViews views, KeySpaces spaces, Clock clock) {
        ConfigStore config = views.config();
        config.confirmationAge().ifPresent(age -> json.put("confirmation_age_ms", age.toMillis()));
        json.put("service_age_ms", views.serviceAge().toMillis());
        json.put("vm_list_version", views.vmListStore().list().version());
        long now = clock.monotonicNanos();
        views.vmListStore()
                .confirmedList()
                .ifPresent(view -> json.put("vm_list_age_ms", view.age(now).toMillis()));
        json.put("isolated", views.isIsolated());
        json.put("older_offers", config.olderOfferCount());
        ArrayNode refused = json.putArray("refused_revisions");
        for (ConfigStore.RefusedOffer refusal : config.refusals()) {
            refused.addObject()
                    .put("revision", refusal.revision())
                    .put("reason", refusal.reason().name());
        }
        ArrayNode held = json.putArray("held_key_spaces");
        spaces.heldSpaceIds().forEach(space -> held.add(GossipConverter.spaceToText(space)));
    }

    static void peers(ArrayNode list, FleetViews views, String ownName, Clock clock) {
        long now = clock.monotonicNanos();
        for (Vm vm : views.vmListStore().list().vms()) {
            if (vm.name().equals(ownName)) {
                continue;
            }
            ObjectNode item = list.addObject();
            item.put("name", vm.name());
            item.put("address", vm.address());
            item.put("peer_port", vm.peerPort());
            item.put("failure_domain", vm.failureDomain());
            item.put("leaving", vm.leaving());
            views.peers().peer(vm.name()).ifPresent(peer -> addPeerState(item, peer, now));
        }
        for (PeerTable.Peer peer : views.peers().peers()) {
            if (views.vmListStore().list().vm(peer.vm()).isEmpty()) {
                addPeerState(list.addObject().put("name", peer.vm()), peer, now);
            }
        }
    }

    private static void addPeerState(ObjectNode item, PeerTable.Peer peer, long now) {
        item.put("incarnation", peer.report().incarnation());
        item.put("age_ms", (now - peer.heardAtNanos()) / 1_000_000);
        item.put("revision", peer.report().configRevision());
        item.put("draining", peer.report().draining());
    }
}
