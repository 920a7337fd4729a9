package org.bulrushvale.decision.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.bulrushvale.decision.admission.FairShares;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.decision.forward.ServiceSpec.PieceLimits;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against overloaded stage servers, groups of pieces (jobs in the test names) that are split
 * without need, and late pieces that run before pieces that can still meet their target.
 */
public class StageQueueTest {
    private static final String SERVICE = "rerankers";
    private static final long RESULT_LIFETIME_NANOS = 5_000_000_000L;
    private static final PieceLimits LIMITS =
            new PieceLimits(1, 4, Duration.ofMillis(200), Duration.ofMillis(10), 1_000);

    private ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);
    private BackendDirectory mDirectory = new BackendDirectory(mClock);
    private StageQueue<TestPiece> mQueue = new StageQueue<>(mClock, RESULT_LIFETIME_NANOS);

    @BeforeMethod
    public void startEmpty() {
        mClock = ManualClock.startingAt(Instant.EPOCH);
        mDirectory = new BackendDirectory(mClock);
        mQueue = new StageQueue<>(mClock, RESULT_LIFETIME_NANOS);
    }

    private record TestPiece(
            String group, int index, int rank, long latestStartNanos, long bytes, String domain)
            implements StageQueue.Piece {
        @Override
        public String name() {
            return group + "/" + index;
        }

        @Override
        public long giveUpNanos() {
            return latestStartNanos + Duration.ofSeconds(2).toNanos();
        }

        @Override
        public long resultBytes() {
            return bytes;
        }

        @Override
        public String preferredDomain() {
            return domain;
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

    private void addServer(String id, String domain) {
        mDirectory.put(TestServers.warm(id, SERVICE, domain));
    }

    private void addGroup(String group, int pieces, int rank, Duration startBy, String domain) {
        long at = mClock.monotonicNanos() + startBy.toNanos();
        for (int i = 0; i < pieces; i++) {
            mQueue.add(new TestPiece(group, i, rank, at, 100, domain));
        }
    }

    private List<StageQueue.Call<TestPiece>> nextCalls() {
        return mQueue.nextCalls(mDirectory.eligibleServers(SERVICE), LIMITS);
    }

    private static Set<String> groups(StageQueue.Call<TestPiece> call) {
        return call.pieces().stream().map(TestPiece::group).collect(Collectors.toSet());
    }

    @Test
    public void late_jobs_come_after_jobs_in_time_and_in_order_of_rank() {
        // given
        addServer("s", "a");
        addGroup("late-low", 2, 2, Duration.ofMillis(-50), "");
        addGroup("late-high", 2, 0, Duration.ofMillis(-10), "");
        addGroup("in-time", 2, 2, Duration.ofMillis(300), "");
        // when
        List<StageQueue.Call<TestPiece>> calls = nextCalls();
        // then
        assertThat(calls).hasSize(1);
        assertThat(groups(calls.get(0))).containsExactlyInAnyOrder("in-time", "late-high");
    }

    @Test
    public void a_piece_without_a_result_does_not_wait_for_memory() {
        // given: more memory is reserved than the server has
        addServer("s", "a");
        addGroup("large", 4, 1, Duration.ofMillis(300), "");
        nextCalls();
        mQueue.recordCallEnd("s");
        PieceLimits smaller =
                new PieceLimits(1, 4, Duration.ofMillis(200), Duration.ofMillis(10), 300);
        // when
        mQueue.add(new TestPiece("none", 0, 1, mClock.monotonicNanos() + 300_000_000L, 0, ""));
        // then
        assertThat(mQueue.nextCalls(mDirectory.eligibleServers(SERVICE), smaller)).hasSize(1);
    }

    @Test
    public void a_job_is_not_split_to_fill_a_batch() {
        // given
        addServer("s", "a");
        addGroup("first", 3, 0, Duration.ofMillis(100), "");
        addGroup("second", 2, 0, Duration.ofMillis(200), "");
        addGroup("third", 1, 0, Duration.ofMillis(300), "");
        // then
        assertThat(groups(nextCalls().get(0))).containsExactlyInAnyOrder("first", "third");
    }

    @Test
    public void a_job_larger_than_a_batch_is_split() {
        // given
        addServer("s", "a");
        addServer("t", "a");
        addGroup("large", 7, 0, Duration.ofMillis(100), "");
        // then
        assertThat(nextCalls().stream().mapToInt(call -> call.pieces().size()).sum()).isEqualTo(7);
    }

    @Test
    public void pieces_wait_briefly_for_the_domain_of_their_inputs() {
        // given: the server of the domain is busy
        addServer("near", "a");
        addGroup("other", 1, 0, Duration.ofMillis(100), "a");
        assertThat(nextCalls()).hasSize(1);
        addServer("far", "b");
        addGroup("mine", 1, 0, Duration.ofMillis(400), "a");
        // then
        assertThat(nextCalls()).isEmpty();
        mClock.advance(Duration.ofMillis(300));
        assertThat(nextCalls().get(0).server().published().id()).isEqualTo("far");
    }

    @Test
    public void memory_held_by_others_counts_until_their_results_expire() {
        // given: a server whose memory is full although this queue has reserved none of it
        addServer("s", "a");
        mQueue.recordMemoryFull("s", LIMITS);
        addGroup("job", 1, 0, Duration.ofSeconds(9), "");
        addGroup("two", 2, 0, Duration.ofSeconds(9), "");
        // then: a piece fits when a tenth of the memory is free
        mClock.advance(Duration.ofMillis(80));
        assertThat(nextCalls()).isEmpty();
        mClock.advance(Duration.ofMillis(30));
        assertThat(groups(nextCalls().get(0))).containsExactly("job");
        mQueue.recordCallEnd("s");
        mClock.advance(Duration.ofMillis(300));
        assertThat(groups(nextCalls().get(0))).containsExactly("two");
    }

    // Memory limits the calls of a stage before time does, so unused memory lowers the throughput.
    @Test
    public void all_published_memory_of_a_server_is_used() {
        // given
        addServer("s", "a");
        int pieces = (int) (LIMITS.resultMemoryBytes() / 100);
        for (int i = 0; i < pieces + 1; i++) {
            addGroup("job-" + i, 1, 0, Duration.ofSeconds(9), "");
        }
        // when: no result is released
        int taken = 0;
        for (int call = 0; call < pieces; call++) {
            taken += nextCalls().stream().mapToInt(c -> c.pieces().size()).sum();
            mQueue.recordCallEnd("s");
        }
        // then
        assertThat(taken).isEqualTo(pieces);
    }

    @Test
    public void a_slow_server_is_used_only_when_the_others_cannot_take_all_pieces() {
        // given
        addServer("fast", "a");
        addServer("slow", "a");
        for (Server server : mDirectory.eligibleServers(SERVICE)) {
            if (server.published().id().equals("slow")) {
                server.recordSlowdown(8, mClock.monotonicNanos());
            }
        }
        addGroup("small", 2, 0, Duration.ofSeconds(1), "");
        // then
        List<StageQueue.Call<TestPiece>> calls = nextCalls();
        assertThat(calls).hasSize(1);
        assertThat(calls.get(0).server().published().id()).isEqualTo("fast");
        addGroup("a", 4, 0, Duration.ofSeconds(1), "");
        addGroup("b", 4, 0, Duration.ofSeconds(1), "");
        assertThat(nextCalls().get(0).server().published().id()).isEqualTo("slow");
    }

    @DataProvider
    public Object[][] orders() {
        return new Object[][] {
            {StageOrder.TARGET_FIRST}, {StageOrder.DEADLINE_FIRST}, {StageOrder.RANK_FIRST}
        };
    }

    @Test(dataProvider = "orders")
    public void random_schedules_never_overload_a_server_or_start_a_piece_twice(StageOrder order) {
        SplittableRandom random = new SplittableRandom(17);
        mQueue = new StageQueue<>(mClock, RESULT_LIFETIME_NANOS, order);
        addServer("s", "a");
        addServer("t", "b");
        Map<String, Integer> running = new HashMap<>();
        Map<String, Long> memory = new HashMap<>();
        List<StageQueue.Call<TestPiece>> open = new ArrayList<>();
        Set<String> startedPieces = new HashSet<>();
        for (int step = 0; step < 3_000; step++) {
            // when
            mClock.advance(Duration.ofMillis(random.nextInt(40)));
            if (random.nextInt(3) == 0) {
                String domain = random.nextBoolean() ? "a" : "";
                Duration startBy = Duration.ofMillis(random.nextInt(800));
                addGroup("j" + step, 1 + random.nextInt(6), random.nextInt(3), startBy, domain);
            }
            for (StageQueue.Call<TestPiece> call : nextCalls()) {
                String id = call.server().published().id();
                running.merge(id, 1, Integer::sum);
                open.add(call);
                for (TestPiece piece : call.pieces()) {
                    assertThat(startedPieces.add(piece.name())).as("piece started twice").isTrue();
                    memory.merge(id, piece.resultBytes(), Long::sum);
                }
                assertThat(call.pieces().size()).isLessThanOrEqualTo(LIMITS.maxBatch());
                assertThat(running.get(id)).isLessThanOrEqualTo(LIMITS.slots());
                assertThat(memory.get(id)).isLessThanOrEqualTo(LIMITS.resultMemoryBytes());
            }
            mQueue.removeExpired();
            if (!open.isEmpty() && random.nextInt(3) == 0) {
                StageQueue.Call<TestPiece> call = open.remove(random.nextInt(open.size()));
                String id = call.server().published().id();
                mQueue.recordCallEnd(id);
                running.merge(id, -1, Integer::sum);
                for (TestPiece piece : call.pieces()) {
                    mQueue.releaseResult(piece.name());
                    memory.merge(id, -piece.resultBytes(), Long::sum);
                }
            }
        }
        // then
        assertThat(startedPieces.size()).isGreaterThan(500);
    }

    @Test
    public void rank_comes_before_time_and_late_jobs_come_last() {
        // given
        mQueue = new StageQueue<>(mClock, RESULT_LIFETIME_NANOS, StageOrder.RANK_FIRST);
        addServer("s", "a");
        addGroup("late", 2, 0, Duration.ofMillis(-10), "");
        addGroup("soon", 2, 2, Duration.ofMillis(100), "");
        addGroup("urgent", 2, 0, Duration.ofMillis(900), "");
        // when, then
        assertThat(groups(nextCalls().get(0))).containsExactlyInAnyOrder("urgent", "soon");
    }

    // A rank must not make work late that all could have met in time.
    @Test
    public void an_order_by_deadline_uses_rank_only_beside_much_late_work() {
        // given
        mQueue =
                new StageQueue<>(
                        mClock,
                        RESULT_LIFETIME_NANOS,
                        StageOrder.DEADLINE_FIRST,
                        Optional.of(new FairShares(mClock)));
        addServer("s", "a");
        addGroup("urgent", 4, 0, Duration.ofMillis(900), "");
        addGroup("soon", 4, 2, Duration.ofMillis(100), "");
        // when, then
        assertThat(groups(nextCalls().get(0))).containsExactly("soon");
        mQueue.recordCallEnd("s");
        // given: more late pieces than one call of the server takes
        addGroup("late", 4, 2, Duration.ofMillis(-10), "");
        addGroup("late too", 1, 2, Duration.ofMillis(-10), "");
        addGroup("next", 4, 2, Duration.ofMillis(100), "");
        // when, then
        assertThat(groups(nextCalls().get(0))).containsExactly("urgent");
    }

    // Promotions must neither starve late jobs nor make the jobs in time late.
    @Test
    public void late_jobs_that_would_miss_their_last_start_get_at_most_a_fifth() {
        // given: more jobs in time than the server can start
        mQueue = new StageQueue<>(mClock, RESULT_LIFETIME_NANOS, StageOrder.RANK_FIRST);
        addServer("s", "a");
        int started = 0;
        int promoted = 0;
        // when
        for (int step = 0; step < 500; step++) {
            addGroup("in-time-" + step, 4, 0, Duration.ofSeconds(1), "");
            addGroup("late-" + step, 1 + step % 4, 1, Duration.ofMillis(-1), "");
            for (StageQueue.Call<TestPiece> call : nextCalls()) {
                started += call.pieces().size();
                for (TestPiece piece : call.pieces()) {
                    promoted += call.promotedGroups().contains(piece.group()) ? 1 : 0;
                    mQueue.releaseResult(piece.name());
                }
                mQueue.recordCallEnd("s");
            }
            mClock.advance(Duration.ofMillis(20));
            mQueue.removeExpired();
        }
        // then
        assertThat(promoted * 5).isBetween(started / 2, started);
    }

    @Test
    public void a_job_that_needs_much_memory_starts_although_small_jobs_keep_arriving() {
        // given: results that fill the memory, and then one release for each small job
        mQueue = new StageQueue<>(mClock, RESULT_LIFETIME_NANOS, StageOrder.RANK_FIRST);
        addServer("s", "a");
        List<TestPiece> held = new ArrayList<>();
        boolean largeStarted = false;
        for (int step = 0; step < 40 && !largeStarted; step++) {
            if (step == 10) {
                addGroup("large", 4, 1, Duration.ofSeconds(9), "");
            }
            // when
            addGroup("small-" + step, 1, 1, Duration.ofSeconds(10), "");
            for (StageQueue.Call<TestPiece> call : nextCalls()) {
                largeStarted |= groups(call).contains("large");
                held.addAll(call.pieces());
                mQueue.recordCallEnd("s");
            }
            if (step >= 10) {
                mQueue.releaseResult(held.remove(0).name());
            }
        }
        // then
        assertThat(largeStarted).isTrue();
    }

    @Test
    public void a_group_larger_than_the_memory_of_a_server_starts_once_the_memory_is_free() {
        // given a server that is held for the group while another result occupies memory
        mQueue = new StageQueue<>(mClock, RESULT_LIFETIME_NANOS, StageOrder.RANK_FIRST);
        addServer("s1", "a");
        long startBy = mClock.monotonicNanos() + Duration.ofSeconds(1).toNanos();
        mQueue.add(new TestPiece("small", 0, 0, startBy, 400, ""));
        for (int piece = 0; piece < 3; piece++) {
            mQueue.add(new TestPiece("large", piece, 1, startBy, 400, ""));
        }
        assertThat(nextCalls()).hasSize(1);
        // when
        mQueue.recordCallEnd("s1");
        mQueue.releaseResult("small/0");
        List<StageQueue.Call<TestPiece>> calls = nextCalls();
        // then
        assertThat(calls).hasSize(1);
        assertThat(calls.get(0).pieces()).hasSize(2);
    }
}
