package org.bulrushvale.decision.retry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.ToDoubleBiFunction;
import org.HdrHistogram.Histogram;
import org.bulrushvale.decision.forward.BackendDirectory;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.decision.forward.PublishedBackend;
import org.bulrushvale.decision.forward.RepeatBudget;
import org.bulrushvale.decision.retry.DuplicatePolicy.Attempt;
import org.bulrushvale.decision.retry.DuplicatePolicy.Decision;
import org.bulrushvale.kernel.time.ManualClock;

/**
 * One entry and six servers with eight slots each, in virtual time. The entry sends each request to
 * the server with the fewest outstanding ones.
 */
final class DuplicateSimulation {
    static final long WARM_UP_NANOS = Duration.ofSeconds(60).toNanos();
    private static final int SERVERS = 6;
    private static final int SLOTS = 8;
    private static final long RETRY_CHECK_NANOS = Duration.ofMillis(50).toNanos();
    private static final long TOKENS = 1_000;

    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);
    private final BackendDirectory mDirectory = new BackendDirectory(mClock);
    private final RepeatBudget mBudget;
    private final DuplicatePolicy mPolicy;
    private final Random mRandom;
    private final Duration mTarget;
    private final ToDoubleBiFunction<Integer, Long> mSlowness;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::nanos).thenComparingLong(Event::order));
    private final Map<String, Deque<Run>> mWaiting = new HashMap<>();
    private final Map<String, Integer> mBusy = new HashMap<>();
    private final Histogram mMillis = new Histogram(3);
    private final List<Long> mRequestNanos = new ArrayList<>();
    private final List<Long> mDuplicateNanos = new ArrayList<>();
    private long mEventCount;
    private int mDuplicatesAfterWarmUp;

    /**
     * Creates a simulation.
     *
     * @param slowness factor of the service time of a server, by its index and the time
     */
    DuplicateSimulation(
            long seed,
            double limitPercent,
            Duration target,
            ToDoubleBiFunction<Integer, Long> slowness) {
        mRandom = new Random(seed);
        mTarget = target;
        mSlowness = slowness;
        mBudget = new RepeatBudget(mClock, 0.2, 50, Duration.ofSeconds(10), () -> 1);
        mPolicy = new DuplicatePolicy(mClock, new DuplicateLimit(mClock, limitPercent), mBudget);
        for (int i = 0; i < SERVERS; i++) {
            mDirectory.put(
                    new PublishedBackend(
                            "s" + i,
                            "pool",
                            "h",
                            80,
                            "v1",
                            "d" + i % 3,
                            SLOTS,
                            false,
                            1,
                            1,
                            Duration.ZERO));
        }
    }

    /**
     * Runs Poisson arrivals for a time after the warm-up, and all requests to their end.
     *
     * @param warmUpPerSecond rate during the warm-up
     * @param perSecond rate after it
     */
    DuplicateSimulation run(double warmUpPerSecond, double perSecond, Duration time) {
        long end = WARM_UP_NANOS + time.toNanos();
        for (double at = 0;
                at < end;
                at += gapNanos(at < WARM_UP_NANOS ? warmUpPerSecond : perSecond)) {
            // Drawn in advance, so that runs with the same seed have the same work.
            double[] millis = {drawMillis(), drawMillis()};
            schedule((long) at, () -> new Request(millis).arrive());
        }
        for (Event event = mEvents.poll(); event != null; event = mEvents.poll()) {
            mClock.advance(Duration.ofNanos(event.nanos() - mClock.monotonicNanos()));
            event.task().run();
        }
        return this;
    }

    private double gapNanos(double perSecond) {
        return -Math.log(1 - mRandom.nextDouble()) / perSecond * 1e9;
    }

    private double drawMillis() {
        return 100 * Math.exp(0.25 * mRandom.nextGaussian());
    }

    private void schedule(long nanos, Runnable task) {
        mEvents.add(new Event(nanos, mEventCount++, task));
    }

    double quantile(double percentile) {
        return mMillis.getValueAtPercentile(percentile) / 1e3;
    }

    int duplicates() {
        return mDuplicateNanos.size();
    }

    /** Returns the number of duplicates of requests that arrived after the warm-up. */
    int duplicatesAfterWarmUp() {
        return mDuplicatesAfterWarmUp;
    }

    /** Returns the largest share of duplicates in a window of 10 s that ends with a duplicate. */
    double largestShare() {
        double largest = 0;
        for (int i = 0; i < mDuplicateNanos.size(); i++) {
            long end = mDuplicateNanos.get(i);
            long start = end - Duration.ofSeconds(10).toNanos();
            double sent = countAfter(mDuplicateNanos.subList(0, i + 1), start);
            double requests = countAfter(mRequestNanos, start) - countAfter(mRequestNanos, end);
            largest = Math.max(largest, sent / requests);
        }
        return largest;
    }

    private static int countAfter(List<Long> sorted, long nanos) {
        int index = Collections.binarySearch(sorted, nanos + 1);
        return sorted.size() - (index < 0 ? -index - 1 : index);
    }

    private final class Request {
        private final double[] mServiceMillis;
        private final long mArrivedNanos = mClock.monotonicNanos();
        private final List<Run> mRuns = new ArrayList<>();
        private boolean mDone;

        Request(double[] serviceMillis) {
            mServiceMillis = serviceMillis;
        }

        void arrive() {
            mRequestNanos.add(mArrivedNanos);
            mBudget.recordRequest("pool");
            mPolicy.recordRequest("pool", TOKENS);
            Run run = send(mDirectory.eligibleServers("pool"));
            mPolicy.delay(run.mAttempt)
                    .ifPresent(
                            delay ->
                                    schedule(
                                            mArrivedNanos + delay.toNanos(),
                                            () -> {
                                                if (!mDone) {
                                                    mPolicy.recordSlow(run.mAttempt);
                                                    check(run);
                                                }
                                            }));
        }

        private Run send(List<Server> servers) {
            Server server =
                    servers.stream()
                            .min(
                                    Comparator.comparingInt(Server::outstanding)
                                            .thenComparing(s -> hash(s)))
                            .orElseThrow();
            Run run = new Run(this, server, mServiceMillis[mRuns.size()]);
            mRuns.add(run);
            run.start();
            return run;
        }

        private int hash(Server server) {
            return (server.published().id() + mArrivedNanos).hashCode();
        }

        private void check(Run first) {
            if (mDone) {
                return;
            }
            Duration left = mTarget.minus(mClock.elapsedSince(mArrivedNanos));
            List<Server> candidates =
                    mPolicy.candidates(
                            first.mAttempt,
                            first.mServer.published().domain(),
                            mDirectory.eligibleServers("pool"));
            Decision decision = mPolicy.decide(first.mAttempt, left, !candidates.isEmpty());
            if (decision == Decision.SEND) {
                mDuplicateNanos.add(mClock.monotonicNanos());
                mDuplicatesAfterWarmUp += mArrivedNanos >= WARM_UP_NANOS ? 1 : 0;
                send(candidates);
            } else {
                schedule(mClock.monotonicNanos() + RETRY_CHECK_NANOS, () -> check(first));
            }
        }

        private void onEnd() {
            mDone = true;
            mPolicy.recordAnswer(mRuns.get(0).mAttempt);
            mRuns.forEach(Run::stop);
            if (mArrivedNanos >= WARM_UP_NANOS) {
                mMillis.recordValue((mClock.monotonicNanos() - mArrivedNanos) / 1_000);
            }
        }
    }

    private final class Run {
        private final Request mRequest;
        private final Server mServer;
        private final Attempt mAttempt;
        private final double mServiceMillis;
        private boolean mRunning;
        private boolean mStopped;

        Run(Request request, Server server, double serviceMillis) {
            mRequest = request;
            mServer = server;
            mServiceMillis = serviceMillis;
            String id = server.published().id();
            mAttempt = new Attempt("pool", "class", TOKENS, id, mClock.monotonicNanos());
        }

        private String id() {
            return mServer.published().id();
        }

        void start() {
            mServer.recordStart(TOKENS);
            if (mBusy.getOrDefault(id(), 0) < SLOTS) {
                begin();
            } else {
                mWaiting.computeIfAbsent(id(), id -> new ArrayDeque<>()).add(this);
            }
        }

        private void begin() {
            mRunning = true;
            mBusy.merge(id(), 1, Integer::sum);
            int index = Integer.parseInt(id().substring(1));
            double factor = mSlowness.applyAsDouble(index, mClock.monotonicNanos());
            long nanos = (long) (mServiceMillis * factor * 1e6);
            schedule(
                    mClock.monotonicNanos() + nanos,
                    () -> {
                        if (!mStopped) {
                            mRequest.onEnd();
                        }
                    });
        }

        void stop() {
            mStopped = true;
            mServer.recordEnd(TOKENS);
            if (mRunning) {
                mBusy.merge(id(), -1, Integer::sum);
                Deque<Run> waiting = mWaiting.getOrDefault(id(), new ArrayDeque<>());
                waiting.removeIf(run -> run.mStopped);
                Run next = waiting.poll();
                if (next != null) {
                    next.begin();
                }
            }
        }
    }

    private record Event(long nanos, long order, Runnable task) {}
}
