package org.bulrushvale.daemon.forward;

import java.util.HashMap;
import java.util.Map;
import org.bulrushvale.decision.forward.ForwardConfig;
import org.bulrushvale.decision.forward.MemberTable;

/**
 * Logs and counts the changes of the collectors of the published stage services.
 *
 * <p>Thread safety: used on the event loop.
 */
final class CollectorReport {
    private final ForwardServices mServices;
    private final Map<String, String> mCollectors = new HashMap<>();

    CollectorReport(ForwardServices services) {
        mServices = services;
    }

    /** Determines the collectors anew, so that member lists report them. */
    void update() {
        MemberTable members = mServices.members();
        ForwardConfig config = mServices.publishedState().config();
        if (config == null || members.isJoining()) {
            return;
        }
        for (String service : config.stageServices()) {
            String collector = members.collector(service);
            String previous = mCollectors.put(service, collector);
            if (!collector.equals(previous)) {
                mServices.metrics().count("bulrushvale.collector_changes");
                mServices
                        .log()
                        .line("collector")
                        .with("service", service)
                        .with("collector", collector)
                        .with("previous", previous == null ? "" : previous)
                        .with("capacity", members.capacity(collector))
                        .with("largest_capacity", members.largestCapacity())
                        .with("members", members.live().size())
                        .write();
            }
        }
    }
}
