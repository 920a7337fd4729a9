package org.bulrushvale.adapters.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.Tag;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;

/**
 * Metrics of one entry daemon.
 *
 * <p>Invariant: label values come from the published configuration or from fixed sets, so that
 * callers cannot create additional time series. Thread safety: all methods may be called from any
 * thread.
 */
public final class EntryMetrics {
    private final PrometheusMeterRegistry mRegistry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    /** Records the end and the duration of a request of a known class. */
    public void requestEnded(String workClass, String code, String verdict, Duration elapsed) {
        Timer.builder("bulrushvale.requests")
                .tag("class", workClass)
                .tag("code", code)
                .tag("verdict", verdict)
                .register(mRegistry)
                .record(elapsed);
    }

    /** Counts a response of the caller listener by its HTTP status. */
    public void answered(int status) {
        count("bulrushvale.caller.answers", "status", Integer.toString(status));
    }

    /** Counts an event under labels, given as names and values, which come from fixed sets. */
    public void count(String name, String... labels) {
        add(name, 1, labels);
    }

    /**
     * Adds an amount to a counter under labels, given as names and values, which come from fixed
     * sets.
     */
    public void add(String name, double amount, String... labels) {
        Counter.builder(name).tags(labels).register(mRegistry).increment(amount);
    }

    /** Records a value under labels, given as names and values, which come from fixed sets. */
    public void record(String name, double value, String... labels) {
        DistributionSummary.builder(name).tags(labels).register(mRegistry).record(value);
    }

    /** Records a duration under labels, given as names and values, which come from fixed sets. */
    public void time(String name, Duration duration, String... labels) {
        Timer.builder(name).tags(labels).register(mRegistry).record(duration);
    }

    /** Registers a gauge under labels, given as names and values, which come from fixed sets. */
    public void gauge(String name, Supplier<Number> value, String... labels) {
        Gauge.builder(name, value).tags(labels).register(mRegistry);
    }

    /** Removes all metrics that have the labels, given as names and values. */
    public void remove(String... labels) {
        List<Tag> tags = Tags.of(labels).stream().toList();
        for (Meter meter : mRegistry.getMeters()) {
            if (meter.getId().getTags().containsAll(tags)) {
                mRegistry.remove(meter);
            }
        }
    }

    /** Returns all metrics in Prometheus text format. */
    public String scrape() {
        return mRegistry.scrape();
    }
}
