package org.bulrushvale.decision.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.kernel.time.ManualClock;

/**
 * Entries that send requests to servers of different speeds, on virtual time.
 *
 * <p>Thread safety: used by one test at a time.
 */
final class PlacementSimulation {
    private static final String SERVICE = "pool";
    private static final long CACHE_MILLIS = 8_000;
    private static final long SHARE_MILLIS = 1_000;

    // The first seconds, in which nothing is known, are not counted.
    private static final long WARM_UP_MILLIS = 4_000;

    private final Load mLoad;
    private final SplittableRandom mRandom;
    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Event::millis).thenComparingLong(Event::order));
    private final List<Machine> mMachines = new ArrayList<>();
    private final List<Entry> mEntries = new ArrayList<>();
    private final List<Double> mFirstEventMillis = new ArrayList<>();
    private long mOrder;

    private record Event(double millis, long order, Runnable task) {}

    /**
     * What the servers and callers do.
     *
     * @param speeds time of work of each server relative to the usual
     * @param slowFactor how much longer work takes while a server is slow
     * @param slowShare share of the time in which a server is slow, for 600 ms at a time
     * @param workMillis time to the first event without reading the prompt
     * @param holdMillis time for which a slot stays occupied after that
     * @param hotShare share of the requests that have the same prompt part
     * @param states whether answers state load and pace, or a wrong load
     */
    record Load(
            int entries,
            double[] speeds,
            int slots,
            double slowFactor,
            double slowShare,
            double requestsPerSecond,
            double workMillis,
            double holdMillis,
            int promptTokens,
            int prompts,
            double hotShare,
            States states,
            long targetMillis) {}

    /** What servers state in their answers. */
    enum States {
        NOTHING,
        LOAD_AND_PACE,
        WRONG_LOAD
    }

    /** What callers get. */
    record Result(double p50, double p99, double shareInTime, double busiestToMean, int reads) {}

    PlacementSimulation(Load load, boolean expectedCompletion, long seed) {
        mLoad = load;
        mRandom = new SplittableRandom(seed);
        for (int i = 0; i < load.speeds().length; i++) {
            mMachines.add(new Machine("s" + i, load.speeds()[i], mRandom.split()));
        }
        for (int i = 0; i < load.entries(); i++) {
            mEntries.add(new Entry(expectedCompletion));
        }
    }

    private double now() {
        return mClock.monotonicNanos() / 1e6;
    }

    private void after(double millis, Runnable task) {
        mEvents.add(new Event(now() + millis, mOrder++, task));
    }

    Result run(Duration time) {
        double at = 0;
        while (at < time.toMillis()) {
            at -= Math.log(1 - mRandom.nextDouble()) * 1_000 / mLoad.requestsPerSecond();
            Entry entry = mEntries.get(mRandom.nextInt(mEntries.size()));
            mEvents.add(new Event(at, mOrder++, entry::send));
        }
        for (Entry entry : mEntries) {
            for (long t = mRandom.nextInt(1_000); t < time.toMillis(); t += SHARE_MILLIS) {
                mEvents.add(new Event(t, mOrder++, entry::shareSpeeds));
            }
        }
        while (!mEvents.isEmpty()) {
            Event event = mEvents.poll();
            long nanos = (long) (event.millis() * 1e6) - mClock.monotonicNanos();
            mClock.advance(Duration.ofNanos(Math.max(0, nanos)));
            event.task().run();
        }
        List<Double> sorted = mFirstEventMillis.stream().sorted().toList();
        int[] served = mMachines.stream().mapToInt(machine -> machine.mServed).toArray();
        double mean = java.util.Arrays.stream(served).average().orElse(1);
        return new Result(
                sorted.get(sorted.size() / 2),
                sorted.get(sorted.size() * 99 / 100),
                (double) sorted.stream().filter(ms -> ms <= mLoad.targetMillis()).count()
                        / sorted.size(),
                java.util.Arrays.stream(served).max().orElse(0) / mean,
                mMachines.stream().mapToInt(machine -> machine.mReads).sum());
    }

    /** One server; work that finds no free slot waits in order. */
    private final class Machine {
        private final String mId;
        private final double mSpeed;
        private final List<Double> mSlowFrom = new ArrayList<>();
        private final Map<String, Double> mCachedAt = new HashMap<>();
        private final Deque<Runnable> mWaiting = new ArrayDeque<>();
        private int mRunning;
        private int mServed;
        private int mReads;

        Machine(String id, double speed, SplittableRandom random) {
            mId = id;
            mSpeed = speed;
            double from = 0;
            while (mLoad.slowShare() > 0 && from < 60_000) {
                from += random.nextDouble() * 1_200 / mLoad.slowShare();
                mSlowFrom.add(from);
            }
        }

        double pace() {
            double now = now();
            boolean slow = mSlowFrom.stream().anyMatch(from -> now >= from && now < from + 600);
            return slow ? mLoad.slowFactor() : 1;
        }

        void serve(String prompt, Runnable onFirstEvent, Runnable onEnd) {
            Runnable work =
                    () -> {
                        mRunning++;
                        Double cachedAt = mCachedAt.put(prompt, now());
                        boolean cached = cachedAt != null && now() - cachedAt < CACHE_MILLIS;
                        mReads += cached || prompt.isEmpty() ? 0 : 1;
                        // 20,000 tokens take a second to read.
                        double read = cached ? 0 : mLoad.promptTokens() / 20.0;
                        double busy = 1 + 0.5 * mRunning / mLoad.slots();
                        double first = (mLoad.workMillis() + read) * mSpeed * pace() * busy;
                        after(first, onFirstEvent);
                        after(
                                first + mLoad.holdMillis() * mSpeed,
                                () -> {
                                    mRunning--;
                                    onEnd.run();
                                    if (!mWaiting.isEmpty()) {
                                        mWaiting.poll().run();
                                    }
                                });
                    };
            mServed++;
            if (mRunning < mLoad.slots()) {
                work.run();
            } else {
                mWaiting.add(work);
            }
        }

        ServerLoad state() {
            boolean right = mLoad.states() == States.LOAD_AND_PACE;
            return new ServerLoad(
                    OptionalInt.of(right ? mRunning : mRandom.nextInt(3 * mLoad.slots())),
                    OptionalInt.of(right ? mWaiting.size() : 0),
                    OptionalInt.of(mLoad.slots()),
                    right ? OptionalInt.of((int) (100 * pace())) : OptionalInt.empty());
        }
    }

    /** One entry with its own view of the servers. */
    private final class Entry implements ColdServerRateLimit.FleetView {
        private final BackendDirectory mDirectory = new BackendDirectory(mClock);
        private final ServerSpeed mSpeed = new ServerSpeed(mClock);
        private final ServerChoice mChoice;

        Entry(boolean expectedCompletion) {
            SendLimits limits =
                    new SendLimits(
                            mClock,
                            new ColdServerRateLimit(mClock, this),
                            new StatedRateLimits(mClock, this));
            mChoice =
                    expectedCompletion
                            ? new ExpectedCompletion(mClock, limits, mSpeed, this::entryCount)
                            : new AffinityChoice(mClock, limits);
            mMachines.forEach(m -> mDirectory.put(TestServers.warm(m.mId, SERVICE, "a")));
        }

        @Override
        public int entryCount() {
            return mLoad.entries();
        }

        @Override
        public int rank(String server) {
            return 0;
        }

        void shareSpeeds() {
            Entry other = mEntries.get(mRandom.nextInt(mEntries.size()));
            other.mSpeed.merge(mSpeed.records(ServerSpeed.MAX_RECORDS_PER_NOTICE));
        }

        void send() {
            boolean hot = mRandom.nextDouble() < mLoad.hotShare();
            String prompt =
                    mLoad.prompts() == 0
                            ? ""
                            : hot ? "hot" : "p" + mRandom.nextInt(mLoad.prompts());
            int tokens = mLoad.promptTokens();
            ServerChoice.Request request =
                    new ServerChoice.Request(
                            SERVICE, prompt, tokens, mLoad.slots(), "", mRandom.nextLong());
            Server server =
                    mChoice.choose(mDirectory.eligibleServers(SERVICE), Set.of(), 0, request);
            ServerChoice.Estimate estimate = mChoice.lastEstimate();
            mChoice.recordSent(server, request);
            server.recordStart(tokens);
            long sentNanos = mClock.monotonicNanos();
            double sent = now();
            Machine machine = mMachines.get(Integer.parseInt(server.published().id().substring(1)));
            machine.serve(
                    prompt,
                    () -> {
                        if (sent >= WARM_UP_MILLIS) {
                            mFirstEventMillis.add(now() - sent);
                        }
                        mSpeed.recordFirstEvent(
                                SERVICE,
                                server.published().processName(),
                                tokens,
                                estimate.cached(),
                                mClock.monotonicNanos() - sentNanos);
                        if (mLoad.states() != States.NOTHING) {
                            server.facts()
                                    .recordLoad(
                                            machine.state(),
                                            ServerFacts.Source.ANSWER,
                                            mClock.monotonicNanos());
                        }
                    },
                    () -> server.recordEnd(tokens));
        }
    }
}
