package org.bulrushvale.daemon;

import java.util.SplittableRandom;
import org.bulrushvale.adapters.backend.BackendClient;
import org.bulrushvale.adapters.metrics.EntryMetrics;
import org.bulrushvale.adapters.settings.EntrySettings;
import org.bulrushvale.decision.attainment.AttainmentTracker;
import org.bulrushvale.decision.request.DeadlineBudget;
import org.bulrushvale.decision.request.DropCounts;
import org.bulrushvale.decision.request.StageLatency;
import org.bulrushvale.decision.retry.HedgePolicy;
import org.bulrushvale.decision.retry.RetryBudget;
import org.bulrushvale.kernel.event.EventLoop;
import org.bulrushvale.kernel.time.Clock;

/**
 * The services that all requests in progress share.
 *
 * <p>Thread safety: owned by the event loop; {@code loop}, {@code clock}, {@code client} and {@code
 * metrics} may be used from any thread.
 */
record CoreServices(
        EntrySettings settings,
        EventLoop loop,
        Clock clock,
        BackendClient client,
        EntryMetrics metrics,
        ServerPicker picker,
        PoisonGuard poison,
        AttemptQueues attemptQueues,
        RetryBudget budget,
        StageLatency latency,
        DeadlineBudget deadlines,
        HedgePolicy hedges,
        AttainmentTracker attainment,
        DropCounts drops,
        SplittableRandom random) {}
