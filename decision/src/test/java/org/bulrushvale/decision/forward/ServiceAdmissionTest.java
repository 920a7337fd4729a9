package org.bulrushvale.decision.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.Test;

/** Guards against stage work for requests that no model server of their service will accept. */
public class ServiceAdmissionTest {
    private static final String SERVICE = "model";
    private static final double COLD_PER_SECOND = 2;
    private static final Duration PATIENCE = Duration.ofSeconds(4);
    private static final int ENTRIES = 78;

    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);
    private final BackendDirectory mDirectory = new BackendDirectory(mClock);
    private final ColdServerRateLimit mColdLimit =
            new ColdServerRateLimit(
                    mClock,
                    new ColdServerRateLimit.FleetView() {
                        @Override
                        public int entryCount() {
                            return ENTRIES;
                        }

                        @Override
                        public int rank(String server) {
                            return Integer.parseInt(server.substring("i-".length()));
                        }
                    });
    private final ServiceAdmission mAdmission = new ServiceAdmission(mClock, mColdLimit);

    private boolean tryAdmit() {
        return mAdmission.tryAdmit(
                SERVICE, mDirectory.eligibleServers(SERVICE), COLD_PER_SECOND, PATIENCE);
    }

    @Test
    public void while_all_servers_are_cold_only_requests_that_can_be_sent_are_admitted() {
        // given: 20 requests a second at one entry, whose stages take half a second
        for (int i = 0; i < 42; i++) {
            mDirectory.put(TestServers.cold("i-" + i, SERVICE, Duration.ofMinutes(1)));
        }
        Deque<Long> admitted = new ArrayDeque<>();
        int sent = 0;
        int wasted = 0;
        int refused = 0;
        // when
        for (int step = 0; step < 400; step++) {
            mClock.advance(Duration.ofMillis(50));
            long now = mClock.monotonicNanos();
            if (tryAdmit()) {
                admitted.add(now);
            } else {
                refused++;
            }
            if (!admitted.isEmpty() && now - admitted.peek() > PATIENCE.toNanos()) {
                wasted++;
                admitted.remove();
                mAdmission.end(SERVICE);
            } else if (!admitted.isEmpty() && now - admitted.peek() > 500_000_000L && send()) {
                sent++;
                admitted.remove();
                mAdmission.end(SERVICE);
            }
        }
        // then: what may be sent is sent, and less than a tenth of the stage work is unused
        assertThat(refused).isPositive();
        assertThat(sent).isPositive();
        assertThat(wasted * 10).isLessThanOrEqualTo(sent);
    }

    private boolean send() {
        for (BackendDirectory.Server server : mDirectory.eligibleServers(SERVICE)) {
            if (mColdLimit.allows(server, COLD_PER_SECOND)) {
                mColdLimit.recordSent(server);
                return true;
            }
        }
        return false;
    }

    @Test
    public void a_request_without_a_server_within_its_limit_is_not_admitted() {
        assertThat(tryAdmit()).isFalse();
        // given: the only server is avoided, first for longer than the request can wait
        mDirectory.put(TestServers.warm("i-1", SERVICE, "a"));
        BackendDirectory.Server server = mDirectory.eligibleServers(SERVICE).get(0);
        server.avoidFor(mClock.monotonicNanos(), PATIENCE.multipliedBy(2).toNanos());
        assertThat(tryAdmit()).isFalse();
        // when
        mClock.advance(PATIENCE.plusMillis(1));
        // then
        assertThat(tryAdmit()).isTrue();
    }
}
