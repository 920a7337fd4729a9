package org.bulrushvale.daemon.forward;

import java.util.List;
import java.util.Locale;
import org.bulrushvale.adapters.metrics.EntryMetrics;
import org.bulrushvale.adapters.settings.ForwardSettings;
import org.bulrushvale.decision.forward.RepeatBudget;
import org.bulrushvale.decision.forward.Route;
import org.bulrushvale.decision.retry.DuplicateLimit;
import org.bulrushvale.decision.retry.DuplicatePolicy;
import org.bulrushvale.kernel.time.Clock;

/**
 * The duplicates of slow requests and stage calls of one process: their policy, logs and metrics.
 *
 * <p>Invariant: with the limit 0 nothing is recorded. Thread safety: used on the event loop.
 */
final class Duplicates {
    private static final String DUPLICATES = "bulrushvale.duplicates";

    private final DuplicatePolicy mPolicy;
    private final List<String> mRoutes;
    private final DecisionLog mLog;
    private final EntryMetrics mMetrics;

    Duplicates(
            Clock clock,
            ForwardSettings.Duplicates settings,
            RepeatBudget budget,
            ForwardServices.ForwardTelemetry telemetry) {
        mPolicy =
                new DuplicatePolicy(
                        clock, new DuplicateLimit(clock, settings.limitPercent()), budget);
        mRoutes = settings.classes();
        mLog = telemetry.log();
        mMetrics = telemetry.metrics();
    }

    DuplicatePolicy policy() {
        return mPolicy;
    }

    boolean isOn() {
        return mPolicy.isOn();
    }

    /** Returns true when requests of the route may be duplicated. */
    boolean covers(Route route) {
        return isOn()
                && route.mayRepeat()
                && route.maxAttempts() > 1
                && (mRoutes.isEmpty() || mRoutes.contains(route.name()));
    }

    /**
     * Returns true when the pieces of a stage service may be duplicated. Pieces do not know their
     * route, so a list of classes must name the service.
     */
    boolean coversStage(String service) {
        return isOn() && (mRoutes.isEmpty() || mRoutes.contains(service));
    }

    /** Records that a server refused work of a service as overloaded. */
    void onOverloaded(String service) {
        if (isOn()) {
            mPolicy.recordRefusal(service);
        }
    }

    /** Counts a slow attempt that is not duplicated now. */
    void withheld(DuplicatePolicy.Decision reason) {
        mMetrics.count(DUPLICATES + ".withheld", "reason", reason.name().toLowerCase(Locale.ROOT));
    }

    /** Writes a line about a duplicate that is sent, to be completed by {@code details}. */
    DecisionLog.Line sent(String kind) {
        mMetrics.count(DUPLICATES, "event", "sent");
        return mLog.line("duplicate").with("kind", kind);
    }

    /**
     * Records the end of a pair of attempts.
     *
     * @param wastedMillis time that the attempt which was not needed had run
     * @param wastedTokens prompt tokens of that attempt
     */
    DecisionLog.Line ended(String kind, Outcome outcome, long wastedMillis, long wastedTokens) {
        String name = outcome.name().toLowerCase(Locale.ROOT);
        mMetrics.count(DUPLICATES, "event", name);
        mMetrics.add("bulrushvale.duplicates.wasted", wastedMillis, "unit", "ms");
        mMetrics.add("bulrushvale.duplicates.wasted", wastedTokens, "unit", "tokens");
        return mLog.line("duplicate_end")
                .with("kind", kind)
                .with("outcome", name)
                .with("wasted_ms", wastedMillis)
                .with("wasted_tokens", wastedTokens);
    }

    /** How a duplicate ended. */
    enum Outcome {
        /** It answered first. */
        WON,
        /** The first attempt answered first. */
        LOST,
        /** It failed or was refused. */
        FAILED,
        /** The request ended without an answer while the duplicate ran. */
        ABANDONED
    }
}
