package org.bulrushvale.decision.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against requests to servers that must not receive them, and against requests with the same
 * prefix that spread over several servers and miss the cached prefix.
 */
public class ServerChoiceTest {
    private ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);
    private BackendDirectory mDirectory = new BackendDirectory(mClock);
    private ColdServerRateLimit mColdLimit = new ColdServerRateLimit(mClock, new SingleEntry());
    private StatedRateLimits mStatedLimits = new StatedRateLimits(mClock, new SingleEntry());
    private ServerChoice mChoice = newChoice();

    @BeforeMethod
    public void startEmpty() {
        mClock = ManualClock.startingAt(Instant.EPOCH);
        mDirectory = new BackendDirectory(mClock);
        mColdLimit = new ColdServerRateLimit(mClock, new SingleEntry());
        mStatedLimits = new StatedRateLimits(mClock, new SingleEntry());
        mChoice = newChoice();
    }

    private ServerChoice newChoice() {
        return new AffinityChoice(mClock, new SendLimits(mClock, mColdLimit, mStatedLimits));
    }

    private static final class SingleEntry implements ColdServerRateLimit.FleetView {
        @Override
        public int entryCount() {
            return 1;
        }

        @Override
        public int rank(String server) {
            return 0;
        }
    }

    private Server choose(Set<String> tried, String affinity, long tieBreak) {
        List<Server> eligible = mDirectory.eligibleServers("pool");
        return mChoice.choose(
                eligible, tried, 2, new ServerChoice.Request("pool", affinity, 0, 0, "", tieBreak));
    }

    @Test
    public void leaving_removed_and_evacuated_servers_get_no_requests() {
        // given
        mDirectory.put(TestServers.leaving("leaving", "pool"));
        mDirectory.put(TestServers.warm("removed", "pool", "a"));
        mDirectory.put(TestServers.warm("evacuated", "pool", "b"));
        mDirectory.put(TestServers.warm("other", "another", "a"));
        // when
        mDirectory.remove("removed");
        mDirectory.setEvacuatedDomains(Set.of("b"));
        // then
        assertThat(choose(Set.of(), "", 1)).isNull();
        mDirectory.setEvacuatedDomains(Set.of());
        assertThat(choose(Set.of(), "", 1).published().id()).isEqualTo("evacuated");
    }

    @Test
    public void requests_with_the_same_prefix_go_to_one_server() {
        for (int i = 0; i < 6; i++) {
            mDirectory.put(TestServers.warm("s" + i, "pool", "a"));
        }
        Set<String> chosen = new HashSet<>();
        for (long request = 0; request < 50; request++) {
            chosen.add(choose(Set.of(), "prefix", request).published().id());
        }
        assertThat(chosen).hasSize(1);
    }

    @Test
    public void a_suspect_server_is_used_only_when_there_is_no_other() {
        // given
        mDirectory.put(TestServers.warm("s", "pool", "a"));
        mDirectory.put(TestServers.warm("t", "pool", "a"));
        Server first = choose(Set.of(), "prefix", 1);
        // when
        first.recordFailure(mClock.monotonicNanos());
        // then
        Server second = choose(Set.of(), "prefix", 1);
        assertThat(second).isNotSameAs(first);
        assertThat(choose(Set.of(second.published().id()), "prefix", 1)).isSameAs(first);
    }

    @Test
    public void a_cold_server_gets_no_more_requests_than_its_rate() {
        // given
        mDirectory.put(TestServers.cold("cold", "pool", Duration.ofSeconds(30)));
        // when
        for (int i = 0; i < 2; i++) {
            mColdLimit.recordSent(choose(Set.of(), "", i));
        }
        // then
        assertThat(choose(Set.of(), "", 3)).isNull();
        mClock.advance(Duration.ofSeconds(1));
        assertThat(choose(Set.of(), "", 3)).isNotNull();
    }

    private Server server() {
        return mDirectory.eligibleServers("pool").get(0);
    }

    @Test
    public void a_process_restarted_under_the_same_id_has_no_failure_history() {
        // given
        PublishedBackend before = TestServers.warm("s", "pool", "a");
        mDirectory.put(before);
        server().recordFailure(mClock.monotonicNanos());
        // when
        mDirectory.put(
                new PublishedBackend(
                        "s", "pool", before.host(), 80, "v1", "a", 8, false, 2, 1, Duration.ZERO));
        // then
        assertThat(server().isSuspect(mClock.monotonicNanos())).isFalse();
    }
}
