package org.bulrushvale.systemtests.harness;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.bulrushvale.systemtests.harness.Caller.Ask;

/**
 * Callers behind a load balancer: the balancer stops using an entry whose readiness probe fails;
 * every caller sends its next request when the last one is answered. A keyed request gets its key
 * from one entry and is sent through any.
 *
 * <p>Invariant: every request has a distinct input and is sent once. Thread safety: safe for use by
 * any thread.
 */
public final class ContinuousLoad implements AutoCloseable {
    private static final long PROBE_NANOS = Duration.ofMillis(30).toNanos();
    private static final long PACE_NANOS = Duration.ofMillis(5).toNanos();

    /**
     * One request and its answer.
     *
     * <p>Thread safety: immutable.
     *
     * @param ask the request
     * @param vm entry that it was sent to
     * @param answer what came back
     */
    public record Sent(Ask ask, String vm, Answer answer) {}

    private final Caller mCaller = new Caller();
    private final List<EntryProcess> mEntries;
    private final List<Ask> mMix;
    private final Map<String, EntryProcess> mReady = new ConcurrentHashMap<>();
    private final Queue<Sent> mSent = new ConcurrentLinkedQueue<>();
    private final Map<String, AtomicLong> mWhole = new ConcurrentHashMap<>();
    private final List<Thread> mThreads = new ArrayList<>();
    private final AtomicLong mNumber = new AtomicLong();
    private volatile boolean mEnded;

    private ContinuousLoad(FleetProcesses fleet, List<Ask> mix) {
        mEntries = fleet.entries();
        mMix = List.copyOf(mix);
    }

    /** Starts callers that send the given requests with changing inputs. */
    public static ContinuousLoad start(
            FleetProcesses fleet, long seed, int callers, List<Ask> mix) {
        ContinuousLoad load = new ContinuousLoad(fleet, mix);
        fleet.entries().forEach(entry -> load.mWhole.put(entry.vm(), new AtomicLong()));
        load.mEntries.forEach(load::probe);
        load.run("balancer", load::probeAll);
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < callers; i++) {
            SplittableRandom own = random.split();
            load.run("caller-" + i, () -> load.callAll(own));
        }
        return load;
    }

    /** Returns the number of whole answers that came through an entry. */
    public long whole(EntryProcess entry) {
        return mWhole.get(entry.vm()).get();
    }

    /** Waits until further requests were answered whole through an entry. */
    public void awaitWhole(EntryProcess entry, int more) throws Exception {
        long before = whole(entry);
        Await.until(
                more + " whole answers through " + entry.vm() + "; so far " + summary(),
                FleetProcesses.START_LIMIT,
                () -> whole(entry) >= before + more);
    }

    /** Stops sending, waits for the last answers and returns everything that was sent. */
    public List<Sent> finish() throws InterruptedException {
        mEnded = true;
        for (Thread thread : mThreads) {
            thread.join();
        }
        return sent();
    }

    /** Returns what was answered so far. */
    public List<Sent> sent() {
        return List.copyOf(mSent);
    }

    /** Returns the number of answers by class, kind, code and verdict. */
    public Map<String, Integer> summary() {
        Map<String, Integer> counts = new TreeMap<>();
        for (Sent sent : mSent) {
            Answer answer = sent.answer();
            String line =
                    String.join(
                            " ",
                            sent.ask().workClass(),
                            answer.kind().name(),
                            answer.code(),
                            answer.verdict());
            counts.merge(line, 1, Integer::sum);
        }
        return counts;
    }

    private void run(String name, Runnable body) {
        Thread thread = new Thread(body, name);
        thread.setDaemon(true);
        thread.start();
        mThreads.add(thread);
    }

    private void probeAll() {
        while (!mEnded) {
            mEntries.forEach(this::probe);
            LockSupport.parkNanos(PROBE_NANOS);
        }
    }

    private void probe(EntryProcess entry) {
        if (entry.isReady()) {
            mReady.put(entry.vm(), entry);
        } else {
            mReady.remove(entry.vm());
        }
    }

    private Optional<EntryProcess> pick(SplittableRandom random) {
        List<EntryProcess> ready = List.copyOf(mReady.values());
        return ready.isEmpty()
                ? Optional.empty()
                : Optional.of(ready.get(random.nextInt(ready.size())));
    }

    private void callAll(SplittableRandom random) {
        while (!mEnded) {
            Ask kind = mMix.get(random.nextInt(mMix.size()));
            pick(random).ifPresent(entry -> call(kind, entry, random));
            LockSupport.parkNanos(PACE_NANOS);
        }
    }

    private void call(Ask kind, EntryProcess first, SplittableRandom random) {
        String input = kind.input() + " " + mNumber.incrementAndGet();
        if (kind.key().isEmpty()) {
            send(new Ask(kind.workClass(), input, "", kind.stream()), first);
            return;
        }
        Answer issued = mCaller.requestKey(first.uri(), kind.workClass());
        if (!issued.isWhole()) {
            mSent.add(new Sent(Ask.of("keys", input), first.vm(), issued));
            return;
        }
        String key = issued.body().path("key").asText();
        pick(random)
                .ifPresent(
                        entry -> send(new Ask(kind.workClass(), input, key, kind.stream()), entry));
    }

    private void send(Ask ask, EntryProcess entry) {
        Answer answer = mCaller.send(entry.uri(), ask);
        mSent.add(new Sent(ask, entry.vm(), answer));
        if (answer.isWhole()) {
            mWhole.get(entry.vm()).incrementAndGet();
        }
    }

    @Override
    public void close() {
        mEnded = true;
    }
}
