package org.bulrushvale.daemon.forward;

import org.bulrushvale.adapters.forward.ForwardProtocol;
import org.bulrushvale.adapters.forward.UpstreamClient;
import org.bulrushvale.adapters.metrics.EntryMetrics;
import org.bulrushvale.adapters.settings.ForwardSettings;
import org.bulrushvale.decision.admission.ReturnSchedule;
import org.bulrushvale.decision.forward.ColdServerRateLimit;
import org.bulrushvale.decision.forward.MemberTable;
import org.bulrushvale.decision.forward.RepeatBudget;
import org.bulrushvale.decision.forward.ServerChoice;
import org.bulrushvale.decision.forward.ServerSpeed;
import org.bulrushvale.decision.forward.ServiceAdmission;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.time.Clock;
import org.bulrushvale.kernel.verdict.BulrushvaleException;

/**
 * The services that the requests and stages of one process share.
 *
 * <p>Thread safety: each component documents its own; the state that decisions depend on is used on
 * the event loop.
 */
record ForwardServices(
        EventLoop loop,
        Clock clock,
        UpstreamClient upstreamClient,
        ForwardProtocol protocol,
        PublishedState publishedState,
        ServerChoice serverChoice,
        ServerSpeed serverSpeed,
        LoadProbes loadProbes,
        ColdServerRateLimit coldLimit,
        ServiceAdmission serviceAdmission,
        ReturnSchedule returnSchedule,
        RepeatBudget repeatBudget,
        Duplicates duplicates,
        CrashGuard crashGuard,
        StreamOriginExchange streamOrigins,
        StatedLimits statedLimits,
        ServerReports serverReports,
        MemberTable members,
        ForwardSettings.Features features,
        ForwardTelemetry telemetry) {
    /** Returns the failure domain that holds a stage result; empty when it is unknown. */
    String domainOf(String handle) {
        try {
            return publishedState.directory().domainOfAddress(protocol.serverOf(handle).name());
        } catch (BulrushvaleException e) {
            return "";
        }
    }

    /** Returns true when this entry makes the stage calls of all entries to a service. */
    boolean isCollector(String service) {
        return members.collector(service).equals(members.self());
    }

    /** Returns the features that apply with the servers that have been published. */
    ForwardSettings.Features activeFeatures() {
        return features.minServers() == 0
                ? features
                : features.forServers(publishedState.directory().largestCount());
    }

    DecisionLog log() {
        return telemetry.log();
    }

    EntryMetrics metrics() {
        return telemetry.metrics();
    }

    /**
     * Decision log and metrics.
     *
     * <p>Thread safety: safe for use by any thread.
     */
    record ForwardTelemetry(DecisionLog log, EntryMetrics metrics) {}
}
