package org.bulrushvale.decision.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a workspace that gets more than its share while others wait. */
public class FairSharesTest {
    private ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);
    private SplittableRandom mRandom = new SplittableRandom(7);
    private FairShares mShares = new FairShares(mClock);

    @BeforeMethod
    public void setUp() {
        mClock = ManualClock.startingAt(Instant.EPOCH);
        mRandom = new SplittableRandom(7);
        mShares = new FairShares(mClock, workspace -> workspace.equals("double") ? 2 : 1);
    }

    /** Starts groups of 1 to 8 units of work by virtual time; returns the work by workspace. */
    private Map<String, Double> serve(int groups, List<String> workspaces) {
        Map<String, Double> work = new HashMap<>();
        for (int i = 0; i < groups; i++) {
            String next =
                    workspaces.stream()
                            .min(Comparator.comparingDouble(name -> mShares.virtualTime(0, name)))
                            .orElseThrow();
            double units = 1 + mRandom.nextInt(8);
            mShares.charge(0, next, units);
            work.merge(next, units, Double::sum);
        }
        return work;
    }

    @Test
    public void waiting_workspaces_get_work_by_shares() {
        List<String> workspaces = List.of("double", "a", "b");
        workspaces.forEach(name -> mShares.addWaiting(0, name));
        Map<String, Double> work = serve(1_000, workspaces);
        // then: the difference is at most a largest group each
        assertThat(work.get("a")).isCloseTo(work.get("b"), within(16.0));
        assertThat(work.get("double")).isCloseTo(2 * work.get("a"), within(32.0));
        assertThat(mShares.use().get("double").owed()).isEqualTo(0.5);
        assertThat(mShares.use().get("double").used()).isCloseTo(0.5, within(0.02));
    }

    @Test
    public void newcomers_and_idle_workspaces_begin_at_the_least_virtual_time() {
        mShares.addWaiting(0, "idle");
        serve(1, List.of("idle"));
        mShares.removeWaiting(0, "idle");
        mShares.addWaiting(0, "a");
        serve(1_000, List.of("a"));
        // when
        mShares.addWaiting(0, "idle");
        mShares.addWaiting(0, "new");
        Map<String, Double> work = serve(300, List.of("a", "idle", "new"));
        // then: neither a credit nor a debt
        assertThat(work.get("idle")).isCloseTo(work.get("a"), within(16.0));
        assertThat(work.get("new")).isCloseTo(work.get("a"), within(16.0));
    }

    @Test
    public void workspaces_without_waiting_or_recent_work_are_forgotten() {
        for (int i = 0; i < 5_000; i++) {
            mShares.addWaiting(i % 4, "w" + i);
            mShares.charge(i % 4, "w" + i, 1);
            mShares.removeWaiting(i % 4, "w" + i);
            mClock.advance(Duration.ofMillis(10));
        }
        // then: those of 10 s, and of a second until they are removed
        assertThat(mShares.accountCount()).isLessThanOrEqualTo(1_100);
    }
}
