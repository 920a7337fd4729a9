package org.bulrushvale.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalDouble;
import org.bulrushvale.adapters.forward.BackendResponseMetadata;
import org.bulrushvale.adapters.metrics.EntryMetrics;
import org.bulrushvale.decision.forward.BackendDirectory;
import org.bulrushvale.decision.forward.PublishedBackend;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against requests to a server that wants none, and against a server that is lost for long
 * because of a value that means no pause.
 */
public class ServerReportsTest {
    private static final String SERVICE = "pool";

    @DataProvider
    public Object[][] pauses() {
        // status, stated seconds, pause that counts in ms, effect in the log; empty for no line
        return new Object[][] {
            {503, 2.0, 2_000, "paused"},
            {503, 0.25, 250, "paused"},
            {503, 0.0, 0, "none"},
            {503, -5.0, 0, "none"},
            {503, Double.NaN, 0, "ignored"},
            {503, 1e12, 3_600_000, "limited"},
            {503, Double.POSITIVE_INFINITY, 3_600_000, "limited"},
            {429, 2.0, 0, ""},
            {200, 2.0, 0, ""},
        };
    }

    @Test(dataProvider = "pauses")
    public void a_pause_counts_only_in_a_503_and_within_bounds(
            int status, double seconds, int pauseMillis, String effect) {
        ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
        BackendDirectory directory = new BackendDirectory(clock);
        directory.put(
                new PublishedBackend(
                        "s", SERVICE, "h", 80, "v1", "a", 8, false, 1, 1, Duration.ZERO));
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        try (DecisionLog lines = new DecisionLog(clock, new PrintStream(log), "vm", 100)) {
            ServerReports reports =
                    new ServerReports(
                            clock,
                            directory,
                            new ForwardServices.ForwardTelemetry(lines, new EntryMetrics()));
            // when
            reports.onAnswer(directory.eligibleServers(SERVICE).get(0), status, stating(seconds));
        }
        // then
        if (pauseMillis > 0) {
            clock.advance(Duration.ofMillis(pauseMillis - 1));
            assertThat(directory.eligibleServers(SERVICE)).isEmpty();
            clock.advance(Duration.ofMillis(1));
        }
        assertThat(directory.eligibleServers(SERVICE)).hasSize(1);
        String written = log.toString(StandardCharsets.UTF_8);
        if (effect.isEmpty()) {
            assertThat(written).isEmpty();
        } else {
            assertThat(written).contains("\"effect\":\"" + effect + "\"");
        }
    }

    private static BackendResponseMetadata stating(double pauseSeconds) {
        return new BackendResponseMetadata(
                "r",
                true,
                true,
                OptionalDouble.empty(),
                Optional.empty(),
                false,
                OptionalDouble.of(pauseSeconds));
    }
}
