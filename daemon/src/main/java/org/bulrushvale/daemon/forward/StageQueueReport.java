package org.bulrushvale.daemon.forward;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.bulrushvale.adapters.metrics.EntryMetrics;
import org.bulrushvale.decision.admission.FairShares;
import org.bulrushvale.decision.forward.StageAdmission;
import org.bulrushvale.decision.forward.StageAdmission.Forecast;
import org.bulrushvale.decision.forward.StageQueue;

/**
 * Log lines and metrics of the queue of one stage service.
 *
 * <p>Thread safety: used on the event loop; the gauge is read by any thread.
 */
final class StageQueueReport {
    private static final String SERVICE = "service";
    private static final String RANK = "rank";

    // Worse ranks share a label value.
    private static final int LAST_RANK = 4;

    private final ForwardServices mServices;
    private final String mService;
    private final Optional<WorkspaceReport> mWorkspaces;
    private volatile int mWaiting;

    /**
     * Creates a report.
     *
     * @param shares accounts of the workspaces; without them no metrics by workspace
     */
    StageQueueReport(ForwardServices services, String service, Optional<FairShares> shares) {
        mServices = services;
        mService = service;
        mWorkspaces =
                shares.map(
                        given -> new WorkspaceReport(services.clock(), metrics(), service, given));
        metrics().gauge("bulrushvale.stage.queue.pieces", () -> mWaiting, SERVICE, service);
    }

    private EntryMetrics metrics() {
        return mServices.metrics();
    }

    void setWaiting(int pieces) {
        mWaiting = pieces;
        mWorkspaces.ifPresent(WorkspaceReport::update);
    }

    /** Reports a group that was admitted; groups that start at once have no line. */
    void queued(QueuedPiece first, Forecast forecast) {
        String rank = rankOf(first);
        metrics()
                .time(
                        "bulrushvale.stage.forecast",
                        forecast.delay(),
                        SERVICE,
                        mService,
                        RANK,
                        rank);
        if (!forecast.delay().isZero()) {
            line("stage_queued", first, forecast)
                    .with("in_time", String.valueOf(forecast.inTime()))
                    .write();
        }
    }

    void refused(StageAdmission.Refusal<QueuedPiece> refusal) {
        QueuedPiece first = refusal.pieces().get(0);
        metrics().count("bulrushvale.stage.refused", SERVICE, mService, RANK, rankOf(first));
        line("stage_refused", first, refusal.forecast())
                .with("waited_ms", waited(first).toMillis())
                .with("return_ms", refusal.forecast().returnMillis().orElse(-1))
                .write();
        refusal.forecast()
                .returnMillis()
                .ifPresent(
                        millis ->
                                metrics()
                                        .time(
                                                "bulrushvale.return.time",
                                                Duration.ofMillis(millis),
                                                SERVICE,
                                                mService,
                                                RANK,
                                                rankOf(first)));
    }

    /** Reports the waits of the groups of a call and those that were promoted. */
    void started(StageQueue.Call<QueuedPiece> call) {
        Set<String> groups = new HashSet<>();
        for (QueuedPiece piece : call.pieces()) {
            // A duplicate starts long after its piece, without having waited.
            if (piece.isDuplicate() || !groups.add(piece.group())) {
                continue;
            }
            metrics()
                    .time(
                            "bulrushvale.stage.wait",
                            waited(piece),
                            SERVICE,
                            mService,
                            RANK,
                            rankOf(piece));
            mWorkspaces.ifPresent(
                    report -> report.waited(piece.workspace(), rankOf(piece), waited(piece)));
            if (call.promotedGroups().contains(piece.group())) {
                mServices
                        .log()
                        .line("stage_promoted")
                        .with("request", piece.order().requestId())
                        .with("service", mService)
                        .with("waited_ms", waited(piece).toMillis())
                        .write();
            }
        }
    }

    private DecisionLog.Line line(String event, QueuedPiece first, Forecast forecast) {
        return mServices
                .log()
                .line(event)
                .with("request", first.order().requestId())
                .with("service", mService)
                .with("stage", first.order().stage())
                .with("rank", first.rank())
                .with("workspace", first.workspace())
                .with("forecast_ms", forecast.delay().toMillis())
                .with("waiting_groups", forecast.waitingGroups())
                .with("figures_age_ms", forecast.figuresAge().toMillis());
    }

    private Duration waited(QueuedPiece piece) {
        return mServices.clock().elapsedSince(piece.createdNanos());
    }

    private static String rankOf(QueuedPiece piece) {
        return Integer.toString(Math.max(0, Math.min(LAST_RANK, piece.rank())));
    }
}
