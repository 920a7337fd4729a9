package org.bulrushvale.decision.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.openhft.hashing.LongHashFunction;
import org.bulrushvale.decision.membership.SharedRecords;
import org.bulrushvale.kernel.time.Clock;

/**
 * The processes of backend servers that stated in an answer that they leave.
 *
 * <p>Invariants: a process stays leaving for {@link #LIFETIME}, whatever the store reports; a
 * record that has lapsed is kept for the same time again, so that late copies of it cannot renew
 * it. Thread safety: not safe; used by the event loop.
 */
public final class LeavingServers implements SharedRecords<LeavingServer> {
    /** Records that entries exchange in one message: about 3 KB at 40 bytes per record. */
    public static final int MAX_RECORDS_PER_NOTICE = 64;

    /** Exceeds by far the few seconds within which a leaving process ends. */
    static final Duration LIFETIME = Duration.ofMinutes(5);

    // Without a published start, a restarted process has the same name. It must be used again soon.
    private static final Duration UNKNOWN_START_LIFETIME = Duration.ofSeconds(30);
    private static final String UNKNOWN_START = "/0";
    private static final int MAX_RECORDS = 4_096;
    private static final int MAX_PROCESS_NAME_LENGTH = 192;

    private final Clock mClock;
    private final Map<String, Long> mStatedNanos = new HashMap<>();

    /** Creates an empty table. */
    public LeavingServers(Clock clock) {
        mClock = clock;
    }

    /** Returns true when the process must not receive new work. */
    public boolean isLeaving(String process) {
        Long stated = mStatedNanos.get(process);
        return stated != null && isActive(process, stated, mClock.monotonicNanos());
    }

    /** Returns the number of processes that leave. */
    public int count() {
        return records(MAX_RECORDS).size();
    }

    /**
     * Records that a process stated that it leaves.
     *
     * @return the record if it is new, for the other entries
     */
    public List<LeavingServer> record(String process) {
        long now = mClock.monotonicNanos();
        if (isLeaving(process) || !put(process, now)) {
            return List.of();
        }
        return List.of(new LeavingServer(process, 0));
    }

    private boolean put(String process, long statedNanos) {
        removeLapsed();
        if (mStatedNanos.size() >= MAX_RECORDS) {
            return false;
        }
        mStatedNanos.put(process, statedNanos);
        return true;
    }

    @Override
    public Merged<LeavingServer> merge(Collection<LeavingServer> records) {
        long now = mClock.monotonicNanos();
        List<LeavingServer> changed = new ArrayList<>();
        for (LeavingServer record : records) {
            boolean acceptable =
                    record.ageMillis() >= 0
                            && record.ageMillis() < lifetime(record.process()).toMillis()
                            && record.process().length() <= MAX_PROCESS_NAME_LENGTH
                            && !mStatedNanos.containsKey(record.process());
            if (acceptable
                    && put(
                            record.process(),
                            now - Duration.ofMillis(record.ageMillis()).toNanos())) {
                changed.add(record);
            }
        }
        return new Merged<>(changed, List.of());
    }

    @Override
    public boolean isEmpty() {
        return mStatedNanos.isEmpty();
    }

    @Override
    public long digest() {
        removeLapsed();
        long now = mClock.monotonicNanos();
        long sum = 0;
        for (Map.Entry<String, Long> entry : mStatedNanos.entrySet()) {
            if (isActive(entry.getKey(), entry.getValue(), now)) {
                sum += LongHashFunction.xx().hashChars(entry.getKey());
            }
        }
        return sum;
    }

    @Override
    public List<LeavingServer> records(int limit) {
        long now = mClock.monotonicNanos();
        return mStatedNanos.entrySet().stream()
                .filter(entry -> isActive(entry.getKey(), entry.getValue(), now))
                .sorted(Map.Entry.comparingByValue((a, b) -> Long.signum(b - a)))
                .limit(limit)
                .map(entry -> new LeavingServer(entry.getKey(), ageMillis(entry.getValue(), now)))
                .toList();
    }

    private static long ageMillis(long statedNanos, long now) {
        return Duration.ofNanos(Math.max(0, now - statedNanos)).toMillis();
    }

    private static Duration lifetime(String process) {
        return process.endsWith(UNKNOWN_START) ? UNKNOWN_START_LIFETIME : LIFETIME;
    }

    private static boolean isActive(String process, long statedNanos, long now) {
        return now - statedNanos < lifetime(process).toNanos();
    }

    private void removeLapsed() {
        long now = mClock.monotonicNanos();
        mStatedNanos
                .entrySet()
                .removeIf(
                        entry -> now - entry.getValue() >= 2 * lifetime(entry.getKey()).toNanos());
    }
}
