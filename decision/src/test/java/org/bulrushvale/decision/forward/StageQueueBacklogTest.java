package org.bulrushvale.decision.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bulrushvale.decision.admission.FairShares;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.decision.forward.ServiceSpec.PieceLimits;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a collector whose processor time for each event grows with its backlog, so that it
 * falls behind for good after an overload.
 */
public class StageQueueBacklogTest {
    private static final String SERVICE = "rerankers";
    private static final int PIECES_PER_JOB = 10;
    private static final int BATCH = 90;
    private static final int WORKSPACES = 50;
    private static final PieceLimits LIMITS =
            new PieceLimits(
                    1, BATCH, Duration.ofMillis(200), Duration.ofMillis(2), Long.MAX_VALUE / 2);

    // Jobs and answers that reach a collector of the grown fleets within a second.
    private static final int EVENTS = 500;

    // Calls that 18 servers end within a second, at 200 ms and 2 ms for each of 90 pieces.
    private static final int CALLS = 47;

    // A tenth of a core.
    private static final Duration EVENTS_LIMIT = Duration.ofMillis(100);

    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);

    private record TestPiece(String name, String group, long latestStartNanos)
            implements StageQueue.Piece {
        @Override
        public int rank() {
            return 1;
        }

        @Override
        public String workspace() {
            return "w" + latestStartNanos / 1_000_000 % WORKSPACES;
        }

        @Override
        public long giveUpNanos() {
            return latestStartNanos + Duration.ofSeconds(60).toNanos();
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

    @DataProvider
    public Object[][] backlogs() {
        return new Object[][] {{10}, {400}, {1_600}};
    }

    @Test(dataProvider = "backlogs")
    public void a_job_that_meets_busy_servers_costs_little_whatever_waits(int waitingJobs) {
        // given: every server is busy
        StageQueue<TestPiece> queue = new StageQueue<>(mClock, Duration.ofSeconds(5).toNanos());
        List<Server> servers = servers(18);
        addJobs(queue, 0, 18 * BATCH / PIECES_PER_JOB + waitingJobs);
        assertThat(queue.nextCalls(servers, LIMITS)).hasSize(18);
        // when
        Duration needed =
                fastestOf(
                        3,
                        () -> {
                            for (int i = 0; i < EVENTS; i++) {
                                queue.nextCalls(servers, LIMITS);
                            }
                        });
        // then
        assertThat(needed).isLessThan(EVENTS_LIMIT);
    }

    @Test(dataProvider = "backlogs")
    public void a_job_that_meets_servers_without_memory_costs_little_whatever_waits(
            int waitingJobs) {
        // given: servers have free slots, but their memory is full of results
        StageQueue<TestPiece> queue = new StageQueue<>(mClock, Duration.ofSeconds(5).toNanos());
        List<Server> servers = servers(18);
        PieceLimits littleMemory =
                new PieceLimits(1, BATCH, Duration.ofMillis(200), Duration.ofMillis(2), BATCH);
        addJobs(queue, 0, 18 * BATCH / PIECES_PER_JOB + waitingJobs);
        queue.nextCalls(servers, littleMemory)
                .forEach(call -> queue.recordCallEnd(call.server().published().id()));
        // when
        Duration needed =
                fastestOf(
                        3,
                        () -> {
                            for (int i = 0; i < EVENTS; i++) {
                                queue.nextCalls(servers, littleMemory);
                            }
                        });
        // then
        assertThat(queue.waitingCount()).isEqualTo(waitingJobs * PIECES_PER_JOB);
        assertThat(needed).isLessThan(EVENTS_LIMIT);
    }

    @Test(dataProvider = "backlogs")
    public void releasing_a_result_costs_little_whatever_is_reserved(int jobs) {
        // given: results of many calls occupy memory
        StageQueue<TestPiece> queue = new StageQueue<>(mClock, Duration.ofSeconds(5).toNanos());
        List<Server> servers = servers(18);
        List<TestPiece> made = new ArrayList<>();
        addJobs(queue, 0, jobs);
        while (queue.waitingCount() > 0) {
            for (StageQueue.Call<TestPiece> call : queue.nextCalls(servers, LIMITS)) {
                made.addAll(call.pieces());
                queue.recordCallEnd(call.server().published().id());
            }
        }
        // when
        Duration needed =
                fastestOf(
                        3,
                        () -> {
                            for (int i = 0; i < EVENTS; i++) {
                                queue.releaseResult(made.get(i % made.size()).name());
                            }
                        });
        // then
        assertThat(needed).isLessThan(EVENTS_LIMIT.dividedBy(10));
    }

    @DataProvider
    public Object[][] admissions() {
        return new Object[][] {
            {10, false}, {400, false}, {1_600, false}, {10, true}, {400, true}, {1_600, true}
        };
    }

    @Test(dataProvider = "admissions", groups = "known-red")
    public void admitting_a_job_costs_little_whatever_waits(int waitingJobs, boolean fairShares) {
        // given: every server is busy, and all jobs can still be in time
        Optional<FairShares> shares =
                fairShares ? Optional.of(new FairShares(mClock)) : Optional.empty();
        StageQueue<TestPiece> queue =
                new StageQueue<>(
                        mClock, Duration.ofSeconds(5).toNanos(), StageOrder.RANK_FIRST, shares);
        StageAdmission<TestPiece> admission = new StageAdmission<>(mClock, queue, true);
        List<Server> servers = servers(18);
        addJobs(queue, 0, 18 * BATCH / PIECES_PER_JOB + waitingJobs);
        queue.nextCalls(servers, LIMITS);
        // when: jobs are refused on arrival, and the waiting ones are checked every 50 ms
        Duration needed =
                fastestOf(
                        3,
                        () -> {
                            for (int i = 0; i < EVENTS; i++) {
                                TestPiece late =
                                        new TestPiece("new", "new", -Duration.ofDays(1).toNanos());
                                admission.offer(List.of(late), servers, LIMITS);
                                admission.refuseHopeless(servers, LIMITS);
                                queue.nextCalls(servers, LIMITS);
                                mClock.advance(Duration.ofSeconds(1).dividedBy(EVENTS));
                            }
                        });
        // then
        assertThat(queue.waitingCount()).isEqualTo(waitingJobs * PIECES_PER_JOB);
        assertThat(needed).isLessThan(EVENTS_LIMIT);
    }

    @DataProvider
    public Object[][] shares() {
        return new Object[][] {{Optional.empty()}, {Optional.of(new FairShares(mClock))}};
    }

    @Test(dataProvider = "shares", groups = "known-red")
    public void starting_calls_costs_little_with_some_hundred_waiting_jobs(
            Optional<FairShares> shares) {
        // given: every server is busy
        StageQueue<TestPiece> queue =
                new StageQueue<>(
                        mClock, Duration.ofSeconds(5).toNanos(), StageOrder.RANK_FIRST, shares);
        List<Server> servers = servers(18);
        addJobs(queue, 0, 400 + (18 + CALLS) * BATCH / PIECES_PER_JOB);
        queue.nextCalls(servers, LIMITS);
        // when: the calls of a second end one by one
        long begin = System.nanoTime();
        for (int i = 0; i < CALLS; i++) {
            queue.recordCallEnd(servers.get(i % servers.size()).published().id());
            assertThat(queue.nextCalls(servers, LIMITS)).hasSize(1);
        }
        Duration needed = Duration.ofNanos(System.nanoTime() - begin);
        // then
        assertThat(queue.waitingCount()).isEqualTo(400 * PIECES_PER_JOB);
        assertThat(needed).isLessThan(EVENTS_LIMIT);
    }

    private List<Server> servers(int count) {
        BackendDirectory directory = new BackendDirectory(mClock);
        for (int i = 0; i < count; i++) {
            directory.put(TestServers.warm("s" + i, SERVICE, "a"));
        }
        return directory.eligibleServers(SERVICE);
    }

    private void addJobs(StageQueue<TestPiece> queue, int first, int count) {
        for (int job = first; job < first + count; job++) {
            String group = "request-" + job + "/2";
            for (int piece = 0; piece < PIECES_PER_JOB; piece++) {
                queue.add(new TestPiece(group + "/" + piece, group, 1_000_000L * (job % 997)));
            }
        }
    }

    private static Duration fastestOf(int runs, Runnable task) {
        Duration fastest = Duration.ofDays(1);
        for (int i = 0; i < runs; i++) {
            long begin = System.nanoTime();
            task.run();
            Duration needed = Duration.ofNanos(System.nanoTime() - begin);
            fastest = needed.compareTo(fastest) < 0 ? needed : fastest;
        }
        return fastest;
    }
}
