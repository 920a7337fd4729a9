package org.bulrushvale.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.bulrushvale.adapters.forward.CallerRequestMetadata;
import org.bulrushvale.adapters.metrics.EntryMetrics;
import org.bulrushvale.adapters.settings.ForwardSettings;
import org.bulrushvale.decision.forward.BackendDirectory;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.decision.forward.ColdServerRateLimit;
import org.bulrushvale.decision.forward.ExpectedCompletion;
import org.bulrushvale.decision.forward.MemberTable;
import org.bulrushvale.decision.forward.PublishedBackend;
import org.bulrushvale.decision.forward.SendLimits;
import org.bulrushvale.decision.forward.ServerSpeed;
import org.bulrushvale.decision.forward.ServiceSpec;
import org.bulrushvale.decision.forward.StatedRateLimits;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a slow server that looks fast, because a duplicate of its request was sent. */
public class ServerPlacementTest {
    private static final String SERVICE = "pool";
    private static final Duration USUAL = Duration.ofMillis(20);
    private static final Duration DELAY = Duration.ofMillis(80);

    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);

    @DataProvider
    public Object[][] orders() {
        // whether the duplicate is answered first
        return new Object[][] {{true}, {false}};
    }

    @Test(dataProvider = "orders")
    public void each_of_two_attempts_is_measured_from_its_own_send(boolean duplicateFirst) {
        try (DecisionLog log =
                new DecisionLog(mClock, new PrintStream(new ByteArrayOutputStream()), "vm", 1)) {
            // given
            BackendDirectory directory = new BackendDirectory(mClock);
            Server slow = put(directory, "slow");
            Server fast = put(directory, "fast");
            ServerSpeed speed = new ServerSpeed(mClock);
            for (int i = 0; i < 32; i++) {
                speed.recordFirstEvent(SERVICE, "another", 0, true, USUAL.toNanos());
            }
            ServerPlacement placement = placement(speed, log);
            // when
            for (int i = 0; i < 4; i++) {
                ServerPlacement.SentAttempt first = send(placement, slow);
                mClock.advance(DELAY);
                ServerPlacement.SentAttempt duplicate = send(placement, fast);
                mClock.advance(USUAL);
                (duplicateFirst ? duplicate : first).onFirstEvent();
                (duplicateFirst ? first : duplicate).onFirstEvent();
                // Further events and resumed streams are not measured.
                mClock.advance(DELAY);
                first.onFirstEvent();
                placement.onResumed(fast).onFirstEvent();
            }
            // then
            assertThat(speed.ratio(name(slow))).isCloseTo(5.0, within(0.1));
            assertThat(speed.ratio(name(fast))).isCloseTo(1.0, within(0.1));
        }
    }

    private static String name(Server server) {
        return server.published().processName();
    }

    private static Server put(BackendDirectory directory, String id) {
        directory.put(
                new PublishedBackend(
                        id, SERVICE, "h", 80, "v1", "a", 8, false, 1, 1, Duration.ZERO));
        return directory.eligibleServers(SERVICE).stream()
                .filter(server -> server.published().id().equals(id))
                .findAny()
                .orElseThrow();
    }

    private static ServerPlacement.SentAttempt send(ServerPlacement placement, Server server) {
        Server chosen = placement.chooseAmong(List.of(server), List.of(), "");
        assertThat(chosen).isSameAs(server);
        return placement.onSent(server);
    }

    /** Returns the placement of a request in which only the services that it uses exist. */
    @SuppressWarnings("NullAway")
    private ServerPlacement placement(ServerSpeed speed, DecisionLog log) {
        MemberTable members = null;
        ColdServerRateLimit coldLimit = new ColdServerRateLimit(mClock, members);
        SendLimits limits =
                new SendLimits(mClock, coldLimit, new StatedRateLimits(mClock, members));
        ForwardServices services =
                new ForwardServices(
                        null,
                        mClock,
                        null,
                        null,
                        null,
                        new ExpectedCompletion(mClock, limits, speed, () -> 1),
                        speed,
                        null,
                        coldLimit,
                        null,
                        null,
                        null,
                        null,
                        null,
                        null,
                        null,
                        null,
                        null,
                        new ForwardSettings.Features(
                                0,
                                null,
                                new ForwardSettings.Placement(
                                        ForwardSettings.PlacementPolicy.EXPECTED_COMPLETION, 0),
                                null,
                                null,
                                null),
                        new ForwardServices.ForwardTelemetry(log, new EntryMetrics()));
        return new ServerPlacement(
                services,
                new CallerRequestMetadata(
                        "r", Duration.ofSeconds(9), "", List.of(), 0, 0, List.of(), "", -1, ""),
                new ServiceSpec(SERVICE, 0, 0, Optional.empty(), Optional.empty()));
    }
}
