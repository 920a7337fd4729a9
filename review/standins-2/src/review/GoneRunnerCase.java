package review;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store turns one machine away, the one that has read it last, while a runner of the seat desk
 * leaves: its entry is removed without a report of draining. Machines that the store serves
 * throughout must send it nothing later than {@code drainMs} after the removal.
 */
final class GoneRunnerCase {
    private static final int MACHINES = 4;
    private static final int RUNNERS = 4;
    private static final int ROUNDS = 5;
    private static final int DRAIN_MILLIS = 2_000;
    // Time between the sight of a request at the runner and its record.
    private static final int SLACK_MILLIS = 50;
    private static final int TURNED_AWAY_MILLIS = 4_500;
    private static final int LEAVES_AFTER_MILLIS = 300;
    private static final int SERVES_ON_MILLIS = 5_000;
    // All machines have been in touch for stableWindowMs, 3 s, when a round begins.
    private static final int CALM_MILLIS = 6_000;
    private static final int REQUESTS_PER_SECOND = 40;

    private final Record record;
    private final boolean trouble;
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private volatile int turnedAway = -1;
    private volatile String leaving = "";
    private volatile long removedNanos;

    private GoneRunnerCase(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    static int run(Path dir, Record record, boolean trouble) throws Exception {
        return new GoneRunnerCase(record, trouble).run(dir);
    }

    private int run(Path dir) throws Exception {
        ExecutorService callers = Executors.newCachedThreadPool();
        List<Entry> entries = new ArrayList<>();
        List<Runner> runners = new ArrayList<>();
        try (Store store = new Store(MACHINES)) {
            store.put(
                    "op/config",
                    Deployment.config(
                            3,
                            List.of(Deployment.book(), Deployment.look()),
                            List.of(Deployment.seatdesk())));
            int[] ports = Entry.freePorts();
            String seeds =
                    "127.0.0.1:%1$d,127.0.0.2:%1$d,127.0.0.3:%1$d".formatted(ports[2]);
            for (int i = 0; i < MACHINES; i++) {
                entries.add(
                        new Entry(
                                "front-" + (i + 1), "127.0.0." + (i + 1), "ne-east-a", ports,
                                seeds, store.address(i), dir));
            }
            int lives = 0;
            while (lives < RUNNERS) {
                runners.add(start(store, lives++));
            }
            for (Entry entry : entries) {
                entry.awaitReady(Duration.ofSeconds(30));
            }
            record.line("entries are ready");
            Duration time =
                    Duration.ofMillis((long) ROUNDS * (CALM_MILLIS + SERVES_ON_MILLIS) + 500);
            Thread load =
                    new Thread(
                            () ->
                                    new Load(callers, 1)
                                            .run(
                                                    time,
                                                    elapsed -> REQUESTS_PER_SECOND,
                                                    number -> send(entries, number)));
            load.start();
            for (int round = 0; round < ROUNDS; round++) {
                Thread.sleep(CALM_MILLIS);
                playRound(store, runners.remove(0));
                runners.add(start(store, lives++));
            }
            load.join();
            callers.shutdown();
            callers.awaitTermination(5, TimeUnit.SECONDS);
            return judge();
        } finally {
            callers.shutdownNow();
            entries.forEach(Entry::close);
            runners.forEach(Runner::close);
        }
    }

    private Runner start(Store store, int life) throws IOException {
        Runner.Work sound = Runner.plain(record, 85);
        return new Runner(
                store,
                String.format("i-%08x", life),
                "seatdesk",
                "ne-east-a",
                6,
                24,
                (request, channel, runner) -> {
                    onArrival(request, runner);
                    sound.run(request, channel, runner);
                });
    }

    private void onArrival(HttpMessage request, Runner runner) {
        long millis = (System.nanoTime() - removedNanos) / 1_000_000;
        if (runner.id().equals(leaving) && millis > DRAIN_MILLIS + SLACK_MILLIS) {
            late.incrementAndGet();
            record.line(
                    "late    %s at %s, %d ms after its removal",
                    request.header("Attempt-Id"), runner.id(), millis);
        }
    }

    private void playRound(Store store, Runner runner) throws InterruptedException {
        int reader = store.lastReader();
        // Its clients go elsewhere in any case, so that only machines in touch send requests.
        turnedAway = reader;
        if (trouble) {
            record.line("store turns front-%d away", reader + 1);
            store.turnAway(machine -> machine == reader);
        }
        Thread.sleep(LEAVES_AFTER_MILLIS);
        store.remove("servers/" + runner.id());
        removedNanos = System.nanoTime();
        leaving = runner.id();
        record.line("removed %s", runner.id());
        Thread.sleep(TURNED_AWAY_MILLIS - LEAVES_AFTER_MILLIS);
        store.turnAway(machine -> false);
        record.line("store serves all machines");
        Thread.sleep(SERVES_ON_MILLIS - TURNED_AWAY_MILLIS);
        leaving = "";
        runner.close();
        turnedAway = -1;
    }

    private void send(List<Entry> entries, int number) {
        int machine = number % MACHINES;
        if (machine == turnedAway) {
            machine = (machine + 1) % MACHINES;
        }
        boolean book = number % 2 == 0;
        String id = String.format("%016x", 0x5ea70000L + number);
        Caller.Answer answer =
                Caller.send(
                        entries.get(machine),
                        Deployment.head(
                                book ? "POST" : "GET",
                                (book ? "/book/" : "/look/") + number,
                                id,
                                3_000,
                                ""),
                        book ? "b".repeat(600).getBytes() : new byte[0],
                        3_000);
        record.answer("front-" + (machine + 1), id, answer);
        if (answer.status() == 200) {
            answered.incrementAndGet();
        }
    }

    private int judge() {
        record.line(
                "%d requests answered, %d reached a runner later than %d ms after its removal",
                answered.get(), late.get(), DRAIN_MILLIS);
        if (answered.get() == 0) {
            return 2;
        }
        return late.get() > 0 ? 1 : 0;
    }
}
