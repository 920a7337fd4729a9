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
import org.bulrushvale.systemtests.harness.CallerClient.TestRequest;

/**
 * Callers behind a load balancer. The balancer stops using an entry whose readiness probe fails,
 * and each caller sends its next request when the last one is answered. A request with a key gets
 * the key from one entry and may be sent through another.
 *
 * <p>Invariant: every request has a distinct input and is sent once. Thread safety: safe for use by
 * any thread.
 */
public final class ContinuousLoad implements AutoCloseable {
    private static final long PROBE_INTERVAL_NANOS = Duration.ofMillis(30).toNanos();
    private static final long REQUEST_PAUSE_NANOS = Duration.ofMillis(5).toNanos();

    /**
     * A request that was sent and its result.
     *
     * <p>Thread safety: immutable.
     *
     * @param request the request
     * @param vm VM of the entry that it was sent to
     * @param result its result
     */
    public record SentRequest(TestRequest request, String vm, RequestResult result) {}

    private final CallerClient mClient = new CallerClient();
    private final List<EntryProcess> mEntries;
    private final List<TestRequest> mRequestMix;
    private final Map<String, EntryProcess> mReadyEntries = new ConcurrentHashMap<>();
    private final Queue<SentRequest> mSentRequests = new ConcurrentLinkedQueue<>();
    private final Map<String, AtomicLong> mWholeCounts = new ConcurrentHashMap<>();
    private final List<Thread> mThreads = new ArrayList<>();
    private final AtomicLong mLastInputNumber = new AtomicLong();
    private volatile boolean mFinished;

    private ContinuousLoad(FleetProcesses fleet, List<TestRequest> requestMix) {
        mEntries = fleet.entries();
        mRequestMix = List.copyOf(requestMix);
    }

    /**
     * Starts callers that send the given requests in random order, each time with another input. A
     * request whose key is not empty gets a new key each time.
     */
    public static ContinuousLoad start(
            FleetProcesses fleet, long seed, int callers, List<TestRequest> requestMix) {
        ContinuousLoad load = new ContinuousLoad(fleet, requestMix);
        fleet.entries().forEach(entry -> load.mWholeCounts.put(entry.vm(), new AtomicLong()));
        load.mEntries.forEach(load::probe);
        load.startThread("balancer", load::probeUntilFinished);
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < callers; i++) {
            SplittableRandom callerRandom = random.split();
            load.startThread("caller-" + i, () -> load.sendUntilFinished(callerRandom));
        }
        return load;
    }

    /** Returns the number of complete answers that came through an entry. */
    public long wholeCount(EntryProcess entry) {
        return mWholeCounts.get(entry.vm()).get();
    }

    /** Waits for the given number of further complete answers through an entry. */
    public void awaitWholeAnswers(EntryProcess entry, int more) throws Exception {
        long before = wholeCount(entry);
        Await.until(
                more + " whole answers through " + entry.vm() + "; so far " + summary(),
                FleetProcesses.START_TIMEOUT,
                () -> wholeCount(entry) >= before + more);
    }

    /** Stops sending, waits for the last results and returns all requests that were sent. */
    public List<SentRequest> finish() throws InterruptedException {
        mFinished = true;
        for (Thread thread : mThreads) {
            thread.join();
        }
        return sentRequests();
    }

    /** Returns the requests that have a result so far. */
    public List<SentRequest> sentRequests() {
        return List.copyOf(mSentRequests);
    }

    /** Returns the number of results by class, kind, code and verdict. */
    public Map<String, Integer> summary() {
        Map<String, Integer> counts = new TreeMap<>();
        for (SentRequest sent : mSentRequests) {
            RequestResult result = sent.result();
            String line =
                    String.join(
                            " ",
                            sent.request().workClass(),
                            result.kind().name(),
                            result.code(),
                            result.verdict());
            counts.merge(line, 1, Integer::sum);
        }
        return counts;
    }

    private void startThread(String name, Runnable body) {
        Thread thread = new Thread(body, name);
        thread.setDaemon(true);
        thread.start();
        mThreads.add(thread);
    }

    private void probeUntilFinished() {
        while (!mFinished) {
            mEntries.forEach(this::probe);
            LockSupport.parkNanos(PROBE_INTERVAL_NANOS);
        }
    }

    private void probe(EntryProcess entry) {
        if (entry.isReady()) {
            mReadyEntries.put(entry.vm(), entry);
        } else {
            mReadyEntries.remove(entry.vm());
        }
    }

    private Optional<EntryProcess> pickReadyEntry(SplittableRandom random) {
        List<EntryProcess> ready = List.copyOf(mReadyEntries.values());
        return ready.isEmpty()
                ? Optional.empty()
                : Optional.of(ready.get(random.nextInt(ready.size())));
    }

    private void sendUntilFinished(SplittableRandom random) {
        while (!mFinished) {
            TestRequest template = mRequestMix.get(random.nextInt(mRequestMix.size()));
            pickReadyEntry(random).ifPresent(entry -> sendOne(template, entry, random));
            LockSupport.parkNanos(REQUEST_PAUSE_NANOS);
        }
    }

    private void sendOne(TestRequest template, EntryProcess first, SplittableRandom random) {
        String input = template.input() + " " + mLastInputNumber.incrementAndGet();
        if (template.key().isEmpty()) {
            send(new TestRequest(template.workClass(), input, "", template.stream()), first);
            return;
        }
        RequestResult keyResult = mClient.requestKey(first.callerUri(), template.workClass());
        if (!keyResult.isWhole()) {
            mSentRequests.add(
                    new SentRequest(TestRequest.of("keys", input), first.vm(), keyResult));
            return;
        }
        String key = keyResult.body().path("key").asText();
        pickReadyEntry(random)
                .ifPresent(
                        entry ->
                                send(
                                        new TestRequest(
                                                template.workClass(),
                                                input,
                                                key,
                                                template.stream()),
                                        entry));
    }

    private void send(TestRequest request, EntryProcess entry) {
        RequestResult result = mClient.send(entry.callerUri(), request);
        mSentRequests.add(new SentRequest(request, entry.vm(), result));
        if (result.isWhole()) {
            mWholeCounts.get(entry.vm()).incrementAndGet();
        }
    }

    @Override
    public void close() {
        mFinished = true;
    }
}
