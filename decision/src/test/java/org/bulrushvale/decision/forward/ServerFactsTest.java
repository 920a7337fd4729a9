package org.bulrushvale.decision.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.OptionalInt;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against work for processes that leave or want a pause, and against decisions by figures
 * that are too old.
 */
public class ServerFactsTest {
    private static final String POOL = "pool";

    private ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);
    private BackendDirectory mDirectory = new BackendDirectory(mClock);

    @BeforeMethod
    public void startEmpty() {
        mClock = ManualClock.startingAt(Instant.EPOCH);
        mDirectory = new BackendDirectory(mClock);
    }

    private Server put(String id) {
        mDirectory.put(TestServers.warm(id, POOL, "a"));
        return mDirectory.serverAtAddress(id + ".test:80").orElseThrow();
    }

    private List<String> eligible() {
        return mDirectory.eligibleServers(POOL).stream().map(s -> s.published().id()).toList();
    }

    private void advance(int millis) {
        mClock.advance(Duration.ofMillis(millis));
    }

    @Test
    public void a_leaving_process_stays_leaving_whatever_the_store_reports() {
        // given
        Server server = put("s");
        mDirectory.leavingServers().record(server.published().processName());
        // when the store reports it as ready, loses it, and reports it again
        put("s");
        mDirectory.remove("s");
        put("s");
        // then
        assertThat(eligible()).isEmpty();
        // when another process starts under the same id and address
        mDirectory.put(
                new PublishedBackend(
                        "s", POOL, "s.test", 80, "v1", "a", 8, false, 2, 1, Duration.ZERO));
        // then
        assertThat(eligible()).containsExactly("s");
    }

    @Test
    public void the_longest_of_several_pauses_holds_also_when_the_server_is_put_again() {
        // given
        Server server = put("s");
        server.facts().recordPause(1, mClock.monotonicNanos());
        server.facts().recordPause(0.1, mClock.monotonicNanos());
        // when
        mDirectory.remove("s");
        put("s");
        server.recordSuccess();
        // then
        advance(999);
        assertThat(eligible()).isEmpty();
        assertThat(mDirectory.earliestPauseEnd(POOL)).isPresent();
        advance(1);
        assertThat(eligible()).containsExactly("s");
    }

    @Test
    public void an_end_of_pauses_is_known_only_while_all_usable_servers_are_paused() {
        // given
        Server first = put("s");
        Server second = put("t");
        assertThat(mDirectory.earliestPauseEnd("other")).isEmpty();
        first.facts().recordPause(3, mClock.monotonicNanos());
        assertThat(mDirectory.earliestPauseEnd(POOL)).isEmpty();
        // when
        second.facts().recordPause(1, mClock.monotonicNanos());
        // then
        long now = mClock.monotonicNanos();
        assertThat(mDirectory.earliestPauseEnd(POOL))
                .hasValue(now + Duration.ofSeconds(1).toNanos());
        // when the one whose pause ends first leaves
        mDirectory.leavingServers().record(second.published().processName());
        // then
        assertThat(mDirectory.earliestPauseEnd(POOL))
                .hasValue(now + Duration.ofSeconds(3).toNanos());
    }

    @Test
    public void load_and_pace_count_as_unknown_after_their_lifetimes() {
        // given
        ServerFacts facts = put("s").facts();
        ServerLoad load =
                new ServerLoad(
                        OptionalInt.of(4),
                        OptionalInt.of(2),
                        OptionalInt.of(6),
                        OptionalInt.of(250));
        facts.recordLoad(load, ServerFacts.Source.ANSWER, mClock.monotonicNanos());
        // then
        advance(300);
        assertThat(facts.load(mClock.monotonicNanos())).hasValue(6);
        assertThat(facts.pace(mClock.monotonicNanos())).hasValue(2.5);
        advance(1);
        assertThat(facts.pace(mClock.monotonicNanos())).isEmpty();
        assertThat(facts.load(mClock.monotonicNanos())).hasValue(6);
        advance(200);
        assertThat(facts.load(mClock.monotonicNanos())).isEmpty();
        assertThat(facts.loadSource(mClock.monotonicNanos())).isEqualTo(ServerFacts.Source.NONE);
    }

    @Test
    public void a_bad_figure_leaves_the_others_in_force() {
        // given
        ServerFacts facts = put("s").facts();
        OptionalInt none = OptionalInt.empty();
        facts.recordLoad(
                new ServerLoad(OptionalInt.of(4), none, none, OptionalInt.of(200)),
                ServerFacts.Source.ANSWER,
                mClock.monotonicNanos());
        // when
        facts.recordLoad(
                new ServerLoad(OptionalInt.of(1), none, none, none),
                ServerFacts.Source.ANSWER,
                mClock.monotonicNanos());
        // then
        assertThat(facts.load(mClock.monotonicNanos())).hasValue(1);
        assertThat(facts.pace(mClock.monotonicNanos())).hasValue(2.0);
    }

    @Test
    public void requests_wait_for_a_common_end_in_steps_or_are_refused_with_a_return_time() {
        long end = Duration.ofMillis(100).toNanos();
        assertThat(PauseWait.of(end, 0, 99, 900, 3)).isEqualTo(new PauseWait(false, 161));
        assertThat(PauseWait.of(end, 0, 99, 300, 3)).isEqualTo(new PauseWait(false, 100));
        assertThat(PauseWait.of(end, 0, 500, 900, 3)).isEqualTo(new PauseWait(true, 161));
        assertThat(PauseWait.of(end, 0, 110, 900, 3)).isEqualTo(new PauseWait(true, 110));
        long distinct =
                java.util.stream.LongStream.range(0, 100)
                        .map(hash -> PauseWait.of(end, 0, 500, 900, hash).millis())
                        .distinct()
                        .count();
        assertThat(distinct).isEqualTo(10);
    }
}
