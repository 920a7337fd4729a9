package org.bulrushvale.decision.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.OptionalInt;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.decision.forward.ServiceSpec.PieceLimits;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against stage calls to servers that are slow now while others would finish earlier. */
public class StageServerOrderTest {
    private static final String SERVICE = "rerankers";
    private static final PieceLimits LIMITS =
            new PieceLimits(2, 4, Duration.ofMillis(200), Duration.ofMillis(10), 1_000);

    private ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);
    private BackendDirectory mDirectory = new BackendDirectory(mClock);
    private StageQueue<TestPiece> mQueue = new StageQueue<>(mClock, 5_000_000_000L);
    private int mPieces;

    @BeforeMethod
    public void startWithTwoServers() {
        mClock = ManualClock.startingAt(Instant.EPOCH);
        mDirectory = new BackendDirectory(mClock);
        mQueue = new StageQueue<>(mClock, 5_000_000_000L);
        mDirectory.put(TestServers.warm("s", SERVICE, "a"));
        mDirectory.put(TestServers.warm("t", SERVICE, "a"));
    }

    private record TestPiece(String group, long latestStartNanos) implements StageQueue.Piece {
        @Override
        public String name() {
            return group;
        }

        @Override
        public int rank() {
            return 0;
        }

        @Override
        public long giveUpNanos() {
            return latestStartNanos;
        }

        @Override
        public long resultBytes() {
            return 1;
        }

        @Override
        public String preferredDomain() {
            return "";
        }

        @Override
        public boolean isAbandoned() {
            return false;
        }

        @Override
        public boolean avoids(String server) {
            return false;
        }
    }

    private Server server(String id) {
        return mDirectory.serverAtAddress(id + ".test:80").orElseThrow();
    }

    /** Adds one piece and returns the servers of the calls that are formed. */
    private List<String> call() {
        long giveUp = mClock.monotonicNanos() + Duration.ofSeconds(2).toNanos();
        mQueue.add(new TestPiece("p" + mPieces++, giveUp));
        return mQueue.nextCalls(mDirectory.eligibleServers(SERVICE), LIMITS).stream()
                .map(call -> call.server().published().id())
                .toList();
    }

    private void statePace(String id, int percent) {
        OptionalInt none = OptionalInt.empty();
        server(id)
                .facts()
                .recordLoad(
                        new ServerLoad(none, none, none, OptionalInt.of(percent)),
                        ServerFacts.Source.ANSWER,
                        mClock.monotonicNanos());
    }

    private ServerFacts.Work startWork(String id) {
        return server(id)
                .facts()
                .recordWorkStart(LIMITS.callTime(1).toNanos(), mClock.monotonicNanos());
    }

    @Test
    public void a_call_goes_to_the_server_that_finishes_first() {
        // given
        statePace("s", 130);
        statePace("t", 70);
        assertThat(call()).containsExactly("t");
        // when the faster one has work in progress that lasts longer than the difference
        startWork("t");
        // then
        assertThat(call()).containsExactly("s");
    }

    @Test
    public void a_pace_counts_as_usual_when_it_is_too_old() {
        // given
        String first = call().get(0);
        String second = first.equals("s") ? "t" : "s";
        statePace(first, 199);
        assertThat(call()).containsExactly(second);
        // when
        mClock.advance(ServerFacts.PACE_LIFETIME.plusMillis(1));
        // then
        assertThat(call()).containsExactly(first);
    }

    @Test
    public void a_server_that_slowed_down_during_its_work_gets_no_call_unless_others_are_full() {
        // given a server with work that should have ended, and another one that is slower
        ServerFacts.Work work = startWork("s");
        statePace("s", 10);
        mClock.advance(LIMITS.callTime(1).multipliedBy(2).plusMillis(1));
        statePace("s", 10);
        server("t").recordSlowdown(1.8, mClock.monotonicNanos());
        // then
        assertThat(call()).containsExactly("t");
        assertThat(call()).containsExactly("t");
        // when the other server has no free slot
        assertThat(call()).containsExactly("s");
        // when it has answered
        mQueue.recordCallEnd("s");
        mQueue.recordCallEnd("t");
        server("s").facts().recordWorkEnd(work);
        // then
        assertThat(call()).containsExactly("s");
    }
}
