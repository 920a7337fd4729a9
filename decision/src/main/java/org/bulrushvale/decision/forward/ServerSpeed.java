package org.bulrushvale.decision.forward;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.openhft.hashing.LongHashFunction;
import org.bulrushvale.kernel.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * How fast backend servers answer, learned from the first events of answers to this entry and from
 * what other entries learned.
 *
 * <p>A time is compared with the median of the service for requests of about the same size, so that
 * neither the size of the request nor the speed of the service counts. A server's speed is the
 * median of its last comparisons.
 *
 * <p>Invariants: a speed is between {@link #MIN_PERCENT} and {@link #MAX_PERCENT}; of what this
 * entry and others observed, the last counts. Thread safety: not safe; used by the event loop.
 */
public final class ServerSpeed {
    /** Records that entries exchange in one message: less than 0.5 KB at 15 bytes per record. */
    public static final int MAX_RECORDS_PER_NOTICE = 32;

    static final int MIN_PERCENT = 20;
    static final int MAX_PERCENT = 1_000;

    // The entries of a domain together send a server a request every few seconds.
    private static final Duration LIFETIME = Duration.ofSeconds(10);

    // The speed of the faster servers of an uneven service; slower ones are found out by trying.
    private static final double UNTRIED_RATIO = 0.7;
    private static final int SERVER_SAMPLES = 9;
    private static final int SERVICE_SAMPLES = 32;

    // Fewer comparisons show the request rather than the server.
    private static final int MIN_SERVER_SAMPLES = 3;
    private static final int MIN_SERVICE_SAMPLES = 4;

    // Before any answer: the usual time of a model server to a first event.
    private static final long UNKNOWN_TYPICAL_NANOS = 200_000_000L;

    // Before any answer: a prompt of 20,000 tokens read within a target of one second.
    private static final double UNKNOWN_NANOS_PER_TOKEN = 50_000;

    // With fewer tokens the time is not that of reading the prompt.
    private static final int MIN_READING_TOKENS = 1_000;
    private static final int MAX_RECORDS = 4_096;
    private static final double PERCENT = 100.0;

    private final Clock mClock;
    private final Map<String, Map<Integer, MovingMedian>> mServiceTimes = new HashMap<>();
    private final Map<String, MovingMedian> mReadingTimes = new HashMap<>();
    private final Map<Long, Own> mOwn = new HashMap<>();
    private final Map<Long, Learned> mLearned = new HashMap<>();

    /** Creates a table without observations. */
    public ServerSpeed(Clock clock) {
        mClock = clock;
    }

    /**
     * Records the time between a request and the first event of its answer.
     *
     * @param promptTokens tokens in the prompt; 0 for plain requests
     * @param cached true when the server probably had the prompt in its cache
     */
    public void recordFirstEvent(
            String service, String process, long promptTokens, boolean cached, long nanos) {
        MovingMedian times = serviceTimes(service, promptTokens);
        times.add(nanos);
        if (!cached && promptTokens >= MIN_READING_TOKENS) {
            mReadingTimes
                    .computeIfAbsent(service, name -> new MovingMedian(SERVICE_SAMPLES))
                    .add((double) nanos / promptTokens);
        }
        if (times.size() < MIN_SERVICE_SAMPLES) {
            return;
        }
        if (mOwn.size() >= MAX_RECORDS) {
            removeExpired();
        }
        long now = mClock.monotonicNanos();
        Own own =
                mOwn.compute(
                        hash(process),
                        (key, known) ->
                                known == null || isExpired(known.mAtNanos, now)
                                        ? new Own()
                                        : known);
        own.mRatios.add(bounded(nanos / times.value()));
        own.mAtNanos = now;
    }

    private MovingMedian serviceTimes(String service, long promptTokens) {
        int sizeClass = Long.SIZE - Long.numberOfLeadingZeros(Math.max(0, promptTokens));
        return mServiceTimes
                .computeIfAbsent(service, name -> new HashMap<>())
                .computeIfAbsent(sizeClass, key -> new MovingMedian(SERVICE_SAMPLES));
    }

    private static long hash(String process) {
        return LongHashFunction.xx().hashChars(process);
    }

    private static double bounded(double ratio) {
        return Math.max(MIN_PERCENT / PERCENT, Math.min(MAX_PERCENT / PERCENT, ratio));
    }

    /**
     * Returns the time to a first event relative to the service. It approaches that of a fast
     * server with the age of the last observation, and is such when nothing is known, so that every
     * server is tried again.
     */
    public double ratio(String process) {
        long now = mClock.monotonicNanos();
        Own own = mOwn.get(hash(process));
        Learned known = mLearned.get(hash(process));
        if (own != null && own.isUsable(now)) {
            known = newer(new Learned(own.mRatios.value(), own.mAtNanos), known);
        }
        if (known == null || isExpired(known.atNanos(), now)) {
            return UNTRIED_RATIO;
        }
        double age = (double) (now - known.atNanos()) / LIFETIME.toNanos();
        return known.ratio() + (UNTRIED_RATIO - known.ratio()) * Math.max(0, age);
    }

    private static Learned newer(Learned first, @Nullable Learned second) {
        return second != null && second.atNanos() - first.atNanos() > 0 ? second : first;
    }

    /** Returns the usual time of the service to a first event for a prompt of this size. */
    public long typicalNanos(String service, long promptTokens) {
        double median = serviceTimes(service, promptTokens).value();
        return Double.isNaN(median) ? UNKNOWN_TYPICAL_NANOS : (long) median;
    }

    /**
     * Returns an upper estimate of the time to read a token of a prompt: the whole time to the
     * first event counts as reading, because the reading speed is not published.
     */
    public double nanosPerToken(String service) {
        MovingMedian median = mReadingTimes.get(service);
        return median == null || median.size() < MIN_SERVICE_SAMPLES
                ? UNKNOWN_NANOS_PER_TOKEN
                : median.value();
    }

    /** Returns at most {@code limit} speeds for other entries, the last observed ones first. */
    public List<ObservedSpeed> records(int limit) {
        long now = mClock.monotonicNanos();
        Map<Long, Learned> all = new HashMap<>(mLearned);
        mOwn.forEach(
                (process, own) -> {
                    if (own.isUsable(now)) {
                        Learned observed = new Learned(own.mRatios.value(), own.mAtNanos);
                        all.put(process, newer(observed, all.get(process)));
                    }
                });
        return all.entrySet().stream()
                .filter(entry -> !isExpired(entry.getValue().atNanos(), now))
                .sorted(Comparator.comparingLong(entry -> now - entry.getValue().atNanos()))
                .limit(limit)
                .map(
                        entry ->
                                new ObservedSpeed(
                                        entry.getKey(),
                                        (int) Math.round(entry.getValue().ratio() * PERCENT),
                                        Duration.ofNanos(now - entry.getValue().atNanos())
                                                .toMillis()))
                .toList();
    }

    /** Merges what another entry knows; of two speeds the one observed last counts. */
    public void merge(Collection<ObservedSpeed> records) {
        long now = mClock.monotonicNanos();
        removeExpired();
        for (ObservedSpeed record : records) {
            boolean acceptable =
                    record.ageMillis() >= 0
                            && record.ageMillis() < LIFETIME.toMillis()
                            && record.percent() >= MIN_PERCENT
                            && record.percent() <= MAX_PERCENT
                            && mLearned.size() < MAX_RECORDS;
            if (acceptable) {
                long at = now - Duration.ofMillis(record.ageMillis()).toNanos();
                mLearned.merge(
                        record.process(),
                        new Learned(record.percent() / PERCENT, at),
                        (known, heard) -> newer(known, heard));
            }
        }
    }

    private void removeExpired() {
        long now = mClock.monotonicNanos();
        mOwn.values().removeIf(own -> isExpired(own.mAtNanos, now));
        mLearned.values().removeIf(learned -> isExpired(learned.atNanos(), now));
    }

    private static boolean isExpired(long atNanos, long now) {
        return now - atNanos >= LIFETIME.toNanos();
    }

    /**
     * What this entry observed of one process.
     *
     * <p>Thread safety: not safe.
     */
    private static final class Own {
        private final MovingMedian mRatios = new MovingMedian(SERVER_SAMPLES);
        private long mAtNanos;

        private boolean isUsable(long now) {
            return mRatios.size() >= MIN_SERVER_SAMPLES && !isExpired(mAtNanos, now);
        }
    }

    /**
     * What another entry observed of one process.
     *
     * <p>Thread safety: immutable.
     */
    private record Learned(double ratio, long atNanos) {}
}
