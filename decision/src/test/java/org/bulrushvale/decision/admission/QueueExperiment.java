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
 * Replays one seeded trace of arrivals through a queue and one pool of servers in virtual time.
 *
 * <p>Invariant: arrivals and service times depend on the seed alone, not on the queue. Thread
 * safety: not safe; used by one test.
 */
final class QueueExperiment {
    static final int SLOTS = 16;
    static final List<WorkClass> CLASSES =
            List.of(
                    new WorkClass("seat", 0.99, Duration.ofMillis(800), 5, "p", true),
                    new WorkClass("mail", 0.95, Duration.ofMillis(2_000), 2, "p", true),
                    new WorkClass("report", 0.90, Duration.ofMillis(4_000), 1, "p", true));

    private static final double MEDIAN_MS = 100;
    private static final double SIGMA = 0.5;
    private static final Duration LENGTH = Duration.ofSeconds(120);

    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);
    private final SplittableRandom mRandom;
    private final Map<String, int[]> mCounts = new TreeMap<>();
    private final PriorityQueue<Long> mBusyUntil = new PriorityQueue<>();
    private final Map<Integer, Long> mServiceNanos = new HashMap<>();
    private final RequestQueue<Integer> mQueue;
    private final double mLoad;

    QueueExperiment(
            long seed,
            double load,
            BiFunction<Clock, Predicate<String>, RequestQueue<Integer>> queue) {
        mRandom = new SplittableRandom(seed);
        mLoad = load;
        CLASSES.forEach(workClass -> mCounts.put(workClass.name(), new int[2]));
        mQueue = queue.apply(mClock, this::belowTarget);
    }

    static RequestQueue<Integer> policy(Clock clock, Predicate<String> belowTarget) {
        return new AdmissionQueue<>(clock, AdmissionQueueTest.CAPACITY, belowTarget, () -> SLOTS);
    }

    private boolean belowTarget(String name) {
        WorkClass workClass =
                CLASSES.stream().filter(c -> c.name().equals(name)).findFirst().orElseThrow();
        int[] counts = mCounts.get(name);
        return counts[0] < workClass.target() * counts[1];
    }

    /** Returns attainment per class and, under "worth", the worth-weighted attainment. */
    Map<String, Double> run() {
        int id = 0;
        while (mClock.monotonicNanos() < LENGTH.toNanos()) {
            boolean burst = mClock.monotonicNanos() / 1_000_000_000L % 20 < 5;
            double perSecond = SLOTS * mLoad * (burst ? 2 : 1) / (MEDIAN_MS * 1.133 / 1_000);
            double gap = -Math.log(1 - mRandom.nextDouble()) / perSecond;
            serveUntil(mClock.monotonicNanos() + (long) (gap * 1e9));
            mServiceNanos.put(id, (long) (MEDIAN_MS * 1e6 * Math.exp(SIGMA * gaussian())));
            double kind = mRandom.nextDouble();
            WorkClass workClass = CLASSES.get(kind < 0.4 ? 0 : kind < 0.7 ? 1 : 2);
            mQueue.offer(
                            new QueuedRequest<>(
                                    id++,
                                    workClass.name(),
                                    workClass.worth(),
                                    "w" + mRandom.nextInt(5),
                                    1,
                                    mClock.monotonicNanos() + workClass.deadline().toNanos(),
                                    Duration.ofMillis((long) MEDIAN_MS)))
                    .forEach(this::refused);
            dispatch();
        }
        serveUntil(LENGTH.plusSeconds(30).toNanos());
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

    private double gaussian() {
        double radius = Math.sqrt(-2 * Math.log(1 - mRandom.nextDouble()));
        return radius * Math.cos(2 * Math.PI * mRandom.nextDouble());
    }

    private void serveUntil(long nanos) {
        Long next = mBusyUntil.peek();
        while (next != null && next <= nanos) {
            mBusyUntil.remove();
            mClock.advance(Duration.ofNanos(next - mClock.monotonicNanos()));
            dispatch();
            next = mBusyUntil.peek();
        }
        mClock.advance(Duration.ofNanos(nanos - mClock.monotonicNanos()));
    }

    private void dispatch() {
        while (mBusyUntil.size() < SLOTS) {
            QueuedRequest<Integer> next = mQueue.poll(this::refused).orElse(null);
            if (next == null) {
                return;
            }
            long end = mClock.monotonicNanos() + mServiceNanos.remove(next.payload());
            mBusyUntil.add(end);
            count(next, end <= next.deadlineNanos());
        }
    }

    private void refused(RefusedRequest<Integer> refusal) {
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
