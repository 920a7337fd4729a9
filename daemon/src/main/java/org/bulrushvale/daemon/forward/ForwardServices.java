package org.bulrushvale.daemon.forward;

import org.bulrushvale.adapters.forward.ForwardProtocol;
import org.bulrushvale.adapters.forward.UpstreamClient;
import org.bulrushvale.adapters.metrics.EntryMetrics;
import org.bulrushvale.decision.forward.ColdServerRateLimit;
import org.bulrushvale.decision.forward.RepeatBudget;
import org.bulrushvale.decision.forward.ServerChoice;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.time.Clock;
import org.bulrushvale.kernel.verdict.BulrushvaleException;

/**
 * What requests and stages share within one process.
 *
 * <p>Thread safety: the parts have their own rules; decisions are used on the event loop.
 */
record ForwardServices(
        EventLoop loop,
        Clock clock,
        UpstreamClient calls,
        ForwardProtocol protocol,
        Published published,
        ServerChoice choice,
        ColdServerRateLimit cold,
        RepeatBudget budget,
        ForwardReports reports) {
    /** Returns the failure domain in which a stage result lies; empty when it is not known. */
    String domainOf(String handle) {
        try {
            return published.directory().domainOfAddress(protocol.serverOf(handle).name());
        } catch (BulrushvaleException e) {
            return "";
        }
    }

    DecisionLog log() {
        return reports.log();
    }

    EntryMetrics metrics() {
        return reports.metrics();
    }

    /**
     * Log and metrics.
     *
     * <p>Thread safety: safe for use by any thread.
     */
    record ForwardReports(DecisionLog log, EntryMetrics metrics) {}
}
