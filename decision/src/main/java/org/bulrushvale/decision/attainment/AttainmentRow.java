package org.bulrushvale.decision.attainment;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Attainment, cost and latency of one class and workspace group.
 *
 * <p>Invariant: {@code gainedWorth <= offeredWorth}. Thread safety: the maps are not changed after
 * creation; the histogram must be used by one thread only.
 *
 * @param workClass name of the class
 * @param group name of the workspace group
 * @param target target of the class when the snapshot was taken
 * @param counts requests by outcome
 * @param offeredWorth worth of all requests that count towards the target
 * @param gainedWorth worth of the requests that met their target
 * @param latency latency of the requests that met their target
 * @param stages backend time by stage
 * @param windows recent requests that count towards the target, by window
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record AttainmentRow(
        @JsonProperty("class") String workClass,
        String group,
        double target,
        Map<AttainmentOutcome, Long> counts,
        @JsonProperty("offered_worth") double offeredWorth,
        @JsonProperty("gained_worth") double gainedWorth,
        LatencyHistogram latency,
        Map<String, StageCost> stages,
        Map<BurnWindow, WindowCount> windows) {

    /**
     * Returns the sum of two rows. While a change of the target has not reached all entries, the
     * sum has the stricter target.
     */
    AttainmentRow plus(AttainmentRow other) {
        Map<AttainmentOutcome, Long> sumCounts = new EnumMap<>(AttainmentOutcome.class);
        sumCounts.putAll(counts);
        other.counts.forEach((outcome, count) -> sumCounts.merge(outcome, count, Long::sum));
        Map<String, StageCost> sumStages = new TreeMap<>(stages);
        other.stages.forEach((stage, cost) -> sumStages.merge(stage, cost, StageCost::plus));
        Map<BurnWindow, WindowCount> sumWindows = new EnumMap<>(BurnWindow.class);
        sumWindows.putAll(windows);
        other.windows.forEach(
                (window, count) -> sumWindows.merge(window, count, WindowCount::plus));
        LatencyHistogram sumLatency = new LatencyHistogram();
        sumLatency.addAll(latency);
        sumLatency.addAll(other.latency);
        return new AttainmentRow(
                workClass,
                group,
                Math.max(target, other.target),
                sumCounts,
                offeredWorth + other.offeredWorth,
                gainedWorth + other.gainedWorth,
                sumLatency,
                sumStages,
                sumWindows);
    }

    /** Returns the requests that count towards the target since the start of the process. */
    public WindowCount total() {
        long total = 0;
        long missed = 0;
        for (Map.Entry<AttainmentOutcome, Long> entry : counts.entrySet()) {
            total += entry.getKey().countsTowardsTarget() ? entry.getValue() : 0;
            missed += entry.getKey().missesTarget() ? entry.getValue() : 0;
        }
        return new WindowCount(total, missed);
    }

    /** Returns the fraction of requests that met their target, or 1 when there are none. */
    public double attainment() {
        WindowCount count = total();
        return count.total() == 0 ? 1 : 1 - (double) count.missed() / count.total();
    }

    /** Returns the unused fraction of the error budget; negative when the budget is exceeded. */
    public double budgetLeft() {
        return 1 - total().burnRate(target);
    }
}
