package org.bulrushvale.systemtests.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.ReentrantLock;
import java.util.stream.LongStream;
import org.bulrushvale.systemtests.soak.SoakRequest.Outcome;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against planned stops of forwarding entries that lose, repeat or mix up requests: seeded
 * SIGTERM, SIGHUP and restarts, in series and overlapping, under callers that use their connections
 * until the process is gone.
 */
public class PlannedStopSoakTest {
    private static final String CI_SEEDS = "1-1";
    private static final int CALLERS_PER_ENTRY = 10;
    private static final Duration PLAY = Duration.ofSeconds(5);

    @DataProvider
    public Object[][] seeds() {
        String[] range = System.getProperty("soak.seeds", CI_SEEDS).split("-", 2);
        return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[1]))
                .mapToObj(seed -> new Object[] {seed})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void planned_stops_lose_repeat_or_mix_up_no_request(long seed) throws Exception {
        int count = Integer.getInteger("soak.entries", 3);
        List<SoakEntry> entries = new ArrayList<>();
        try (SoakBackends backends = new SoakBackends()) {
            // given
            int peerPort = SoakEntry.freePort("0.0.0.0");
            for (int i = 1; i <= count; i++) {
                entries.add(new SoakEntry(i, peerPort, backends.storeAddress()));
            }
            for (SoakEntry entry : entries) {
                entry.awaitReady();
            }
            // when
            List<Outcome> outcomes = play(seed, entries);
            // then
            SoakChecks checks = new SoakChecks(backends);
            outcomes.forEach(checks::checkRequest);
            entries.forEach(entry -> entry.lives().forEach(checks::checkProcess));
            System.out.printf(
                    "PlannedStopSoakTest seed=%d entries=%d %s%n", seed, count, checks.summary());
            checks.broken()
                    .forEach(
                            (check, list) ->
                                    list.forEach(h -> System.out.println(check + " " + h)));
            assertThat(checks.broken().keySet()).as("broken at seed %d", seed).isEmpty();
        } finally {
            entries.forEach(SoakEntry::close);
        }
    }

    private static List<Outcome> play(long seed, List<SoakEntry> entries) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        boolean inSeries = random.nextInt(3) == 0;
        int unkindPercent = List.of(0, 20, 100).get(random.nextInt(3));
        AtomicInteger lastId = new AtomicInteger();
        AtomicBoolean over = new AtomicBoolean();
        ReentrantLock shared = new ReentrantLock();
        ExecutorService threads = Executors.newCachedThreadPool();
        try {
            List<Future<List<Outcome>>> callers = new ArrayList<>();
            List<Future<?>> operators = new ArrayList<>();
            for (SoakEntry entry : entries) {
                for (int i = 0; i < CALLERS_PER_ENTRY; i++) {
                    SoakCaller caller =
                            new SoakCaller(
                                    entry,
                                    random.split(),
                                    random.nextInt(100) < unkindPercent,
                                    () -> "s" + seed + "-" + lastId.incrementAndGet(),
                                    over::get,
                                    new ArrayList<>());
                    callers.add(threads.submit(caller));
                }
                SplittableRandom choices = random.split();
                ReentrantLock lock = inSeries ? shared : new ReentrantLock();
                operators.add(threads.submit(() -> operate(entry, choices, lock)));
            }
            for (Future<?> operator : operators) {
                operator.get(2, TimeUnit.MINUTES);
            }
            over.set(true);
            List<Outcome> outcomes = new ArrayList<>();
            for (Future<List<Outcome>> caller : callers) {
                outcomes.addAll(caller.get(1, TimeUnit.MINUTES));
            }
            return outcomes;
        } finally {
            over.set(true);
            threads.shutdownNow();
        }
    }

    private static Void operate(SoakEntry entry, SplittableRandom random, ReentrantLock lock)
            throws Exception {
        long endNanos = System.nanoTime() + PLAY.toNanos();
        while (System.nanoTime() - endNanos < 0) {
            TimeUnit.MILLISECONDS.sleep(100 + random.nextInt(900));
            lock.lock();
            try {
                if (random.nextInt(4) == 0) {
                    entry.life().hangUp();
                } else {
                    stopAndRestart(entry, random);
                }
            } finally {
                lock.unlock();
            }
        }
        return null;
    }

    private static void stopAndRestart(SoakEntry entry, SplittableRandom random) throws Exception {
        if (random.nextInt(3) == 0) {
            entry.life().hangUp();
        }
        entry.life().terminate();
        for (int left = random.nextInt(4); left > 0; left--) {
            TimeUnit.MILLISECONDS.sleep(random.nextInt(700));
            signal(entry.life(), random.nextBoolean());
        }
        entry.life().awaitExit();
        TimeUnit.MILLISECONDS.sleep(random.nextInt(200));
        entry.start();
        if (random.nextInt(4) == 0) {
            // A signal as soon as the new process listens.
            entry.awaitListening();
            boolean terminates = random.nextBoolean();
            signal(entry.life(), terminates);
            if (terminates) {
                entry.life().awaitExit();
            }
        }
        entry.awaitReady();
        if (!entry.life().isRunning()) {
            entry.start();
            entry.awaitReady();
        }
    }

    private static void signal(SoakEntry.Life process, boolean terminates) throws Exception {
        if (process.isRunning() && terminates) {
            process.terminate();
        } else if (process.isRunning()) {
            process.hangUp();
        }
    }
}
