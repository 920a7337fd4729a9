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
 * Runs the benchmarks of the decisions and compares them with bounds.
 *
 * <p>The bounds follow from the design's targets, not from measured figures: a node at the target
 * size serves 7,900 / 330 = 24 requests a second with up to 6 stages and may spend 1.1% of a core,
 * 11 ms a second, on control.
 *
 * <p>Invariant: exits with 1 when a bound is passed or a bounded benchmark did not run. Thread
 * safety: used by the main thread only.
 */
public final class BenchGate {
    /** 24 requests x 6 stages choose 144 times a second; a tenth of 11 ms allows 7.6 us each. */
    private static final double ROUTING_BOUND_US = 7.6;

    /** Every request could carry a key: 24 a second; a tenth of 11 ms allows 45 us each. */
    private static final double KEY_BOUND_US = 45.0;

    /** 144 attempts a second; a hundredth of 11 ms allows 0.76 us each. */
    private static final double RETRY_BOUND_US = 0.76;

    /** A change must be in force within 4 s; applying it may take a tenth of that. */
    private static final double APPLY_BOUND_US = 400_000.0;

    private static final Map<String, Double> BOUNDS_US =
            Map.of(
                    "RoutingBenchmark.chooseServer", ROUTING_BOUND_US,
                    "KeyAdmissionBenchmark.admitOneKey", KEY_BOUND_US,
                    "RetryBudgetBenchmark.creditAndTake", RETRY_BOUND_US,
                    "ConfigApplyBenchmark.applyRevision", APPLY_BOUND_US);

    private BenchGate() {}

    /** Runs all benchmarks; the exit code tells whether every bound held. */
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
        boolean held = true;
        for (Map.Entry<String, Double> bound : BOUNDS_US.entrySet()) {
            held &= holds(bound.getKey(), bound.getValue(), results);
        }
        System.out.println(held ? "all bounds held" : "a bound was passed");
        System.exit(held ? 0 : 1);
    }

    private static boolean holds(String name, double boundUs, Collection<RunResult> results) {
        List<RunResult> matching =
                results.stream()
                        .filter(result -> result.getParams().getBenchmark().endsWith(name))
                        .toList();
        boolean held = !matching.isEmpty();
        for (RunResult result : matching) {
            double score = result.getPrimaryResult().getScore();
            held &= score <= boundUs;
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
        return held;
    }
}
