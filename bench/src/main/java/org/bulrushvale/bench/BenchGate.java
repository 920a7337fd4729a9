package org.bulrushvale.bench;

import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/**
 * Runs the benchmarks of the control decisions and compares their mean times with upper bounds.
 *
 * <p>The bounds follow from the targets of the design: an entry in a fleet of 330 entries that
 * serves 7,900 requests per second handles 7,900 / 330 = 24 requests per second with up to 6 stages
 * each, and may spend 1.1% of a core, 11 ms per second, on control.
 *
 * <p>Invariant: exits with 1 if a benchmark exceeds its bound, or if a benchmark with a bound did
 * not run. Thread safety: used by the main thread only.
 */
public final class BenchGate {
    /** 24 requests x 6 stages are 144 choices per second; a tenth of 11 ms allows 7.6 us each. */
    private static final double ROUTING_BOUND_US = 7.6;

    /** Every request can carry a key, 24 per second; a tenth of 11 ms allows 45 us each. */
    private static final double KEY_ADMISSION_BOUND_US = 45.0;

    /** 144 attempts per second; a hundredth of 11 ms allows 0.76 us each. */
    private static final double RETRY_BUDGET_BOUND_US = 0.76;

    /** 4 messages and 4 answers of gossip a second; a tenth of 11 ms allows 137 us each. */
    private static final double GOSSIP_BOUND_US = 137.0;

    /** Ten a second; a tenth of 11 ms allows 110 us each. */
    private static final double READERS_BOUND_US = 110.0;

    /** A configuration change must be in force within 4 s; applying it may take a tenth of that. */
    private static final double CONFIG_APPLY_BOUND_US = 400_000.0;

    private static final Map<String, Double> BOUNDS_US =
            Map.of(
                    "RoutingBenchmark.chooseServer", ROUTING_BOUND_US,
                    "KeyAdmissionBenchmark.admitOneKey", KEY_ADMISSION_BOUND_US,
                    "RetryBudgetBenchmark.creditAndTake", RETRY_BUDGET_BOUND_US,
                    "ConfigApplyBenchmark.applyRevision", CONFIG_APPLY_BOUND_US,
                    "MembershipBenchmark.readers", READERS_BOUND_US,
                    "MembershipBenchmark.encodeGossip", GOSSIP_BOUND_US);

    private BenchGate() {}

    /** Runs all benchmarks; exits with 0 if every bound held, otherwise with 1. */
    public static void main(String[] args) throws RunnerException {
        Collection<RunResult> results =
                new Runner(
                                new OptionsBuilder()
                                        .include("org\\.bulrushvale\\.bench\\..*")
                                        .forks(1)
                                        .warmupIterations(2)
                                        .warmupTime(TimeValue.seconds(1))
                                        .measurementIterations(3)
                                        .measurementTime(TimeValue.seconds(1))
                                        .build())
                        .run();
        boolean allWithinBounds = true;
        for (Map.Entry<String, Double> bound : BOUNDS_US.entrySet()) {
            allWithinBounds &= isWithinBound(bound.getKey(), bound.getValue(), results);
        }
        System.out.println(
                allWithinBounds
                        ? "all bounds held"
                        : "a bound was exceeded, or a benchmark with a bound did not run");
        System.exit(allWithinBounds ? 0 : 1);
    }

    private static boolean isWithinBound(
            String name, double boundUs, Collection<RunResult> results) {
        List<RunResult> matchingResults =
                results.stream()
                        .filter(result -> result.getParams().getBenchmark().endsWith(name))
                        .toList();
        boolean withinBound = !matchingResults.isEmpty();
        for (RunResult result : matchingResults) {
            double score = result.getPrimaryResult().getScore();
            withinBound &= score <= boundUs;
            System.out.printf(
                    Locale.ROOT,
                    "%s %s: %.3f us, bound %.3f us%n",
                    name,
                    result.getParams().getParamsKeys().stream()
                            .map(key -> key + "=" + result.getParams().getParam(key))
                            .toList(),
                    score,
                    boundUs);
        }
        return withinBound;
    }
}
