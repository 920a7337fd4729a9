package review;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request crashes each runner that runs it, and comes again with the same path, caller and body.
 * After its third crash and {@code stableWindowMs} it may reach runners three more times.
 */
final class PoisonCase {
    /** When the request comes, and when a runner crashes on it. */
    enum Variant {
        /** One at a time; a runner crashes while it writes the events of the answer. */
        LATE,
        /** Four at the same moment; a runner crashes before it answers. */
        PARALLEL
    }

    private static final long STABLE_WINDOW_MILLIS = 3_000;
    private static final int ALLOWED_RETRIES = 3;
    private static final int RUNNERS = 8;
    private static final int PARALLEL_REQUESTS = 4;
    private static final int BACK_AFTER_MILLIS = 3_000;
    private static final int CRASH_AFTER_MILLIS = 1_300;
    private static final int COMES_EACH_MILLIS = 6_000;
    private static final int TIMES = 7;
    private static final int OTHERS_PER_SECOND = 8;
    // Clients leave a stream after a gap of four times its objective of 2.5 s.
    private static final int CHAT_GAP_MILLIS = 10_000;
    private static final String POISON_BODY = "b".repeat(600);

    private final Variant variant;
    private final Record record;
    private final boolean trouble;
    private final Store store;
    private final AtomicInteger lives = new AtomicInteger();
    private final List<CrashingRunner> runners = new ArrayList<>();
    private final AtomicInteger otherFailures = new AtomicInteger();
    private final AtomicInteger others = new AtomicInteger();
    private int arrivals;
    private int crashes;
    private int lateArrivals;
    private long thirdCrashNanos;

    private PoisonCase(Variant variant, Record record, boolean trouble) throws IOException {
        this.variant = variant;
        this.record = record;
        this.trouble = trouble;
        store = new Store();
    }

    static int run(Variant variant, Path dir, Record record, boolean trouble) throws Exception {
        return new PoisonCase(variant, record, trouble).run(dir);
    }

    private int run(Path dir) throws Exception {
        ExecutorService callers = Executors.newCachedThreadPool();
        List<Entry> entries = new ArrayList<>();
        try (store) {
            store.put(
                    "op/config",
                    Deployment.config(
                            3,
                            List.of(Deployment.book(), Deployment.look(), Deployment.chat()),
                            List.of(Deployment.seatdesk(), Deployment.scribePool())));
            for (int i = 0; i < RUNNERS; i++) {
                runners.add(new CrashingRunner());
            }
            int[] ports = Entry.freePorts();
            List<String> seeds = new ArrayList<>();
            for (int i = 1; i <= 3; i++) {
                seeds.add("127.0.0." + i + ":" + ports[2]);
            }
            String store = this.store.address();
            for (int i = 1; i <= 3; i++) {
                String seedList = String.join(",", seeds);
                String zone = "ne-east-" + "abc".charAt(i - 1);
                entries.add(
                        new Entry("front-" + i, "127.0.0." + i, zone, ports, seedList, store, dir));
            }
            for (Entry entry : entries) {
                entry.awaitReady(Duration.ofSeconds(30));
            }
            Thread.sleep(STABLE_WINDOW_MILLIS);
            record.line("entries are ready");
            sendAll(entries, callers);
            callers.shutdown();
            callers.awaitTermination(10, TimeUnit.SECONDS);
            return judge(entries);
        } finally {
            callers.shutdownNow();
            entries.forEach(Entry::close);
            runners.forEach(CrashingRunner::stop);
        }
    }

    private void sendAll(List<Entry> entries, ExecutorService callers) throws Exception {
        int parallel = variant == Variant.PARALLEL ? PARALLEL_REQUESTS : 1;
        int number = 0;
        for (int time = 0; time < TIMES; time++) {
            CountDownLatch moment = new CountDownLatch(1);
            for (int i = 0; i < parallel; i++) {
                Entry entry = entries.get((time + i) % entries.size());
                String id = String.format("bad%02x%011x", time, i);
                callers.execute(
                        () -> {
                            try {
                                moment.await();
                            } catch (InterruptedException e) {
                                return;
                            }
                            record.answer("poison", id, send(entry, "poison", id));
                        });
            }
            moment.countDown();
            long next = System.nanoTime() + Duration.ofMillis(COMES_EACH_MILLIS).toNanos();
            while (System.nanoTime() < next) {
                Entry entry = entries.get(number % entries.size());
                String id = String.format("%016x", 0x600d000L + number++);
                callers.execute(() -> sendOther(entry, id));
                Thread.sleep(1_000 / OTHERS_PER_SECOND);
            }
        }
    }

    private void sendOther(Entry entry, String id) {
        Caller.Answer answer = send(entry, "other-" + id, id);
        others.incrementAndGet();
        if (answer.status() != 200) {
            otherFailures.incrementAndGet();
            record.answer("other", id, answer);
        }
    }

    private Caller.Answer send(Entry entry, String name, String id) {
        if (variant == Variant.PARALLEL) {
            return Caller.send(
                    entry,
                    Deployment.head("POST", "/book/" + name, id, 3_000, ""),
                    POISON_BODY.getBytes(),
                    3_000);
        }
        String more =
                "Model: m\r\nToken-Counts: 543,80\r\nPrefix-Hash: aa:172,%08x:371\r\n"
                        .formatted(name.hashCode());
        return Caller.send(
                entry,
                Deployment.head("POST", "/chat/" + name, id, 20_000, more),
                POISON_BODY.getBytes(),
                CHAT_GAP_MILLIS);
    }

    private synchronized void onArrival(HttpMessage request, String runner) {
        arrivals++;
        boolean late =
                crashes >= 3
                        && System.nanoTime() - thirdCrashNanos
                                > Duration.ofMillis(STABLE_WINDOW_MILLIS).toNanos();
        if (late) {
            lateArrivals++;
        }
        record.line(
                "run     poison %s by %s%s",
                request.header("Attempt-Id"), runner, late ? ", counted" : "");
    }

    private synchronized void onCrash(String runner) {
        crashes++;
        if (crashes == 3) {
            thirdCrashNanos = System.nanoTime();
        }
        record.line("crash   %d: %s", crashes, runner);
    }

    private synchronized int judge(List<Entry> entries) {
        record.line(
                "poison: %d arrivals, %d crashes, %d arrivals later than %d ms after the third"
                        + " crash, %d are allowed",
                arrivals, crashes, lateArrivals, STABLE_WINDOW_MILLIS, ALLOWED_RETRIES);
        record.line("other requests: %d, %d without success", others.get(), otherFailures.get());
        if (arrivals == 0 || entries.stream().anyMatch(entry -> !entry.isAlive())) {
            return 2;
        }
        return lateArrivals > ALLOWED_RETRIES ? 1 : 0;
    }

    /** A place for a runner; a crash ends its process, and another one starts some seconds later. */
    private final class CrashingRunner {
        private Runner current;
        private boolean stopped;

        CrashingRunner() throws IOException {
            start();
        }

        private synchronized void start() throws IOException {
            if (stopped) {
                return;
            }
            String id = String.format("i-%08x", lives.incrementAndGet());
            boolean model = variant == Variant.LATE;
            current =
                    new Runner(
                            store,
                            id,
                            model ? "scribe-pool" : "seatdesk",
                            "ne-east-a",
                            model ? 128 : 6,
                            model ? 268 : 24,
                            this::work);
        }

        private void work(HttpMessage request, Server.Channel channel, Runner runner)
                throws IOException {
            boolean poison = request.target().endsWith("/poison");
            if (poison) {
                onArrival(request, runner.id());
            }
            if (poison && trouble) {
                if (variant == Variant.LATE) {
                    streamUntilCrash(request, channel);
                } else {
                    Runner.sleep(40);
                }
                crash(runner);
                return;
            }
            Runner.Work sound =
                    variant == Variant.LATE
                            ? Runner.stream(null, 30, 200, 80)
                            : Runner.plain(null, 85);
            sound.run(request, channel, runner);
        }

        private void streamUntilCrash(HttpMessage request, Server.Channel channel)
                throws IOException {
            String last = request.header("Last-Event-Id");
            int next = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
            Runner.sleep(200);
            channel.write(
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                            + Runner.signature(request)
                            + "Transfer-Encoding: chunked\r\n\r\n");
            for (int millis = 0; millis < CRASH_AFTER_MILLIS; millis += 80) {
                String event = "id: " + next++ + "\ndata: " + "w".repeat(40) + "\n\n";
                channel.write(Runner.chunk(event));
                Runner.sleep(80);
            }
        }

        /** Ends the runner; its registration lapses and a new process registers later. */
        private void crash(Runner runner) {
            synchronized (this) {
                if (current != runner) {
                    return;
                }
                current = null;
            }
            runner.crash();
            onCrash(runner.id());
            Thread restart =
                    new Thread(
                            () -> {
                                Runner.sleep(BACK_AFTER_MILLIS);
                                try {
                                    start();
                                } catch (IOException e) {
                                    record.line("a runner did not start: %s", e);
                                }
                                Runner.sleep(600);
                                store.remove("servers/" + runner.id());
                            });
            restart.setDaemon(true);
            restart.start();
        }

        synchronized void stop() {
            stopped = true;
            if (current != null) {
                current.close();
            }
        }
    }
}
