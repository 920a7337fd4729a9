package org.bulrushvale.decision.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Predicate;
import org.bulrushvale.decision.config.WorkClass;
import org.bulrushvale.kernel.time.Clock;
import org.bulrushvale.kernel.time.ManualClock;

/**
 * Simulates a queue in front of one pool of servers in virtual time, with seeded random arrivals.
 *
 * <p>Invariant: arrivals and service times depend only on the seed and the load, not on the queue.
 * Thread safety: not safe; used by one test.
 */
final class QueueSimulation {
    static final int SLOTS = 16;
    static final List<WorkClass> CLASSES =
            List.of(
                    new WorkClass("seat", 0.99, Duration.ofMillis(800), 5, "p", true),
                    new WorkClass("mail", 0.95, Duration.ofMillis(2_000), 2, "p", true),
                    new WorkClass("report", 0.90, Duration.ofMillis(4_000), 1, "p", true));

    /** Parameters of the log-normal distribution of service times. */
    private static final double MEDIAN_SERVICE_MS = 100;

    private static final double SERVICE_SIGMA = 0.5;

    /** Mean of that distribution divided by its median: exp(sigma^2 / 2). */
    private static final double MEAN_TO_MEDIAN = 1.133;

    /** Load is doubled in the first seconds of each cycle. */
    private static final long CYCLE_SECONDS = 20;

    private static final long BURST_SECONDS = 5;
    private static final Duration ARRIVAL_TIME = Duration.ofSeconds(120);

    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);
    private final SplittableRandom mRandom;

    /** For each class, the number of requests that finished in time, and of all requests. */
    private final Map<String, int[]> mCounts = new TreeMap<>();

    private final PriorityQueue<Long> mServiceEnds = new PriorityQueue<>();
    private final Map<Integer, Long> mServiceNanos = new HashMap<>();
    private final RequestQueue<Integer> mQueue;
    private final double mLoad;

    QueueSimulation(
            long seed,
            double load,
            BiFunction<Clock, Predicate<String>, RequestQueue<Integer>> queue) {
        mRandom = new SplittableRandom(seed);
        mLoad = load;
        CLASSES.forEach(workClass -> mCounts.put(workClass.name(), new int[2]));
        mQueue = queue.apply(mClock, this::belowTarget);
    }

    static RequestQueue<Integer> admissionQueue(Clock clock, Predicate<String> belowTarget) {
        return new AdmissionQueue<>(clock, AdmissionQueueTest.CAPACITY, belowTarget, () -> SLOTS);
    }

    private boolean belowTarget(String name) {
        WorkClass workClass =
                CLASSES.stream().filter(c -> c.name().equals(name)).findFirst().orElseThrow();
        int[] counts = mCounts.get(name);
        return counts[0] < workClass.target() * counts[1];
    }

    /** Returns the attainment of each class and, under "worth", the worth-weighted attainment. */
    Map<String, Double> run() {
        int id = 0;
        while (mClock.monotonicNanos() < ARRIVAL_TIME.toNanos()) {
            boolean burst =
                    mClock.monotonicNanos() / 1_000_000_000L % CYCLE_SECONDS < BURST_SECONDS;
            double arrivalsPerSecond =
                    SLOTS * mLoad * (burst ? 2 : 1) / (MEDIAN_SERVICE_MS * MEAN_TO_MEDIAN / 1_000);
            double gap = -Math.log(1 - mRandom.nextDouble()) / arrivalsPerSecond;
            serveUntil(mClock.monotonicNanos() + (long) (gap * 1e9));
            mServiceNanos.put(
                    id,
                    (long) (MEDIAN_SERVICE_MS * 1e6 * Math.exp(SERVICE_SIGMA * nextGaussian())));
            double classDraw = mRandom.nextDouble();
            WorkClass workClass = CLASSES.get(classDraw < 0.4 ? 0 : classDraw < 0.7 ? 1 : 2);
            mQueue.offer(
                            new QueuedRequest<>(
                                    id++,
                                    workClass.name(),
                                    workClass.worth(),
                                    "w" + mRandom.nextInt(5),
                                    1,
                                    mClock.monotonicNanos() + workClass.deadline().toNanos(),
                                    Duration.ofMillis((long) MEDIAN_SERVICE_MS)))
                    .forEach(this::onRefused);
            dispatch();
        }
        serveUntil(ARRIVAL_TIME.plusSeconds(30).toNanos());
        Map<String, Double> attainment = new TreeMap<>();
        double gained = 0;
        double offered = 0;
        for (WorkClass workClass : CLASSES) {
            int[] counts = mCounts.get(workClass.name());
            attainment.put(workClass.name(), (double) counts[0] / counts[1]);
            gained += counts[0] * workClass.worth();
            offered += counts[1] * workClass.worth();
        }
        attainment.put("worth", gained / offered);
        return attainment;
    }

    private double nextGaussian() {
        double radius = Math.sqrt(-2 * Math.log(1 - mRandom.nextDouble()));
        return radius * Math.cos(2 * Math.PI * mRandom.nextDouble());
    }

    private void serveUntil(long nanos) {
        Long next = mServiceEnds.peek();
        while (next != null && next <= nanos) {
            mServiceEnds.remove();
            mClock.advance(Duration.ofNanos(next - mClock.monotonicNanos()));
            dispatch();
            next = mServiceEnds.peek();
        }
        mClock.advance(Duration.ofNanos(nanos - mClock.monotonicNanos()));
    }

    private void dispatch() {
        while (mServiceEnds.size() < SLOTS) {
            QueuedRequest<Integer> next = mQueue.poll(this::onRefused).orElse(null);
            if (next == null) {
                return;
            }
            long end = mClock.monotonicNanos() + mServiceNanos.remove(next.payload());
            mServiceEnds.add(end);
            count(next, end <= next.deadlineNanos());
        }
    }

    private void onRefused(RefusedRequest<Integer> refusal) {
        mServiceNanos.remove(refusal.request().payload());
        count(refusal.request(), false);
    }

    private void count(QueuedRequest<Integer> request, boolean inTime) {
        int[] counts = mCounts.get(request.workClass());
        counts[0] += inTime ? 1 : 0;
        counts[1]++;
    }

    static String format(Map<String, Double> attainment) {
        StringBuilder text = new StringBuilder();
        attainment.forEach(
                (name, value) -> text.append(String.format(Locale.ROOT, "%s %.4f  ", name, value)));
        return text.toString().trim();
    }
}
