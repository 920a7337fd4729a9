package org.bulrushvale.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.bulrushvale.decision.config.ConfigStore;
import org.bulrushvale.decision.config.ConfigWriter;
import org.bulrushvale.decision.config.PublishedConfig;
import org.bulrushvale.decision.membership.PeerTable;
import org.bulrushvale.decision.membership.Vm;
import org.bulrushvale.decision.membership.VmList;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against work that is routed with a view from before a pause of the process. */
public class FleetViewsTest {
    private static final Duration PAUSE = Duration.ofSeconds(30);
    private static final Duration TICK = Duration.ofMillis(100);

    private ManualClock mClock;
    private ConfigStore mConfig;
    private FleetViews mViews;

    @BeforeMethod
    public void start() {
        mClock = ManualClock.startingAt(Instant.EPOCH);
        mConfig = ConfigStore.empty(mClock);
        mViews = new FleetViews("a", 0, mClock, mConfig);
        PublishedConfig config = PublishedConfig.builder(1).build();
        assertThat(mConfig.offer(1, "d", ConfigWriter.write(config)))
                .isEqualTo(ConfigStore.OfferResult.ACCEPTED);
        mViews.vmListStore().offer(VmList.of(1, List.of(vm("a"), vm("b"), vm("c"))), Duration.ZERO);
        mViews.tick();
        assertThat(mViews.mayRoute()).isTrue();
    }

    @Test
    public void a_request_that_comes_before_the_first_tick_waits_for_a_confirmation() {
        // when
        mClock.advance(PAUSE);
        // then
        assertThat(mViews.mayRoute()).isFalse();
        assertThat(mViews.isIsolated()).isFalse();
        // when the service confirms within the limit
        mClock.advance(TICK);
        assertThat(mViews.tick()).isTrue();
        mViews.serviceAnswered(mClock.monotonicNanos());
        mConfig.confirm(1, Duration.ZERO);
        // then
        assertThat(mViews.mayRoute()).isTrue();
        assertThat(mViews.isIsolated()).isFalse();
    }

    @Test
    public void without_any_contact_the_entry_is_isolated_after_the_limit() {
        mClock.advance(PAUSE);
        mViews.tick();
        advanceInTicks(Duration.ofMillis(1_200));
        assertThat(mViews.isIsolated()).isTrue();
        assertThat(mViews.mayRoute()).isFalse();
    }

    @Test
    public void contact_with_a_majority_allows_routing_with_the_last_view_without_the_service() {
        // given
        mClock.advance(PAUSE);
        mViews.tick();
        // when one of the two peers answers, but cannot confirm the view either
        PeerTable.PeerReport report = new PeerTable.PeerReport("1", 1, 1, false);
        mViews.peers().recordReport("b", report, mClock.monotonicNanos());
        advanceInTicks(Duration.ofMillis(1_200));
        // then
        assertThat(mViews.isIsolated()).isFalse();
        assertThat(mViews.mayRoute()).isTrue();
    }

    private void advanceInTicks(Duration time) {
        for (long i = 0; i < time.toMillis() / TICK.toMillis(); i++) {
            mClock.advance(TICK);
            mViews.tick();
        }
    }

    private static Vm vm(String name) {
        return new Vm(name, "127.0.0.1", 1, "d", "r", false);
    }
}
