import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two runners leave 3.1 s after the open channels to the store have gone silent; neither may get a
 * request later than drainMs after the store has confirmed that it leaves.
 */
final class LateRemoval extends Case {
    private static final int DRAIN_MILLIS = 2_000;
    private static final int ROUNDS = 4;

    public static void main(String[] args) throws Exception {
        main(new LateRemoval(), args);
    }

    private final AtomicInteger mRequests = new AtomicInteger();
    private final ConcurrentHashMap<String, Long> mGoneNanos = new ConcurrentHashMap<>();
    private final AtomicInteger mLate = new AtomicInteger();
    private volatile boolean mStopped;

    private Runner runner(String id) throws Exception {
        return new Runner(this, id, "seatdesk") {
            @Override
            boolean run(Http.Request request, Http.Connection connection) throws Exception {
                Long gone = mGoneNanos.get(mId);
                if (gone != null) {
                    long millis = (System.nanoTime() - gone) / 1_000_000L;
                    if (millis > DRAIN_MILLIS) {
                        mLate.incrementAndGet();
                        note(
                                "LATE  server " + mId + " id " + request.header("Attempt-Id") + " "
                                        + millis + " ms after the confirmation");
                    }
                }
                Thread.sleep(60);
                return super.run(request, connection);
            }
        };
    }

    private void sendAll(Entries.Entry entry) {
        while (!mStopped) {
            String id = String.format("%016x", 0x9c41d07be2a35000L + mRequests.incrementAndGet());
            Http.daemon(
                    () -> {
                        Caller.Answer answer =
                                Caller.send(
                                        entry.mFront,
                                        "GET /look/2f HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: "
                                                + id + "\r\nDeadline-Ms: 3000\r\n\r\n",
                                        new byte[0],
                                        3_000);
                        note("answer id " + id + " at " + entry.mName + ": " + answer);
                    });
            try {
                Thread.sleep(50);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    @Override
    int run() throws Exception {
        List<Runner> runners = new ArrayList<>();
        try (Store store = new Store();
                SilentStore proxy = new SilentStore(store.bound());
                Entries entries = new Entries(mRoot, mWork, 3, proxy.address())) {
            store.put("op/config", BadEntry.CONFIG);
            for (int i = 1; i <= 4 + 2 * ROUNDS; i++) {
                Runner runner = runner("i-" + i);
                runners.add(runner);
                store.put("servers/" + runner.mId, runner.registration(""));
            }
            entries.startAll();
            for (Entries.Entry entry : entries.all()) {
                if (!entry.awaitReady(30_000)) {
                    return couldNotRun(entry.mName + " is not ready");
                }
            }
            Thread.sleep(5_000);
            entries.all().forEach(entry -> Http.daemon(() -> sendAll(entry)));
            for (int round = 0; round < ROUNDS; round++) {
                Thread.sleep(4_000 + 373 * round);
                if (mTrouble) {
                    note("silent channels to the store: " + proxy.silence());
                }
                // From 3 s after that all machines are in touch again.
                Thread.sleep(3_100);
                Runner draining = runners.get(2 * round);
                Runner removed = runners.get(2 * round + 1);
                store.put(
                        "servers/" + draining.mId,
                        draining.registration("").replace("\"ready\"", "\"draining\""));
                mGoneNanos.put(draining.mId, System.nanoTime());
                note("store: " + draining.mId + " is draining");
                Thread.sleep(50);
                store.delete("servers/" + removed.mId);
                mGoneNanos.put(removed.mId, System.nanoTime());
                note("store: " + removed.mId + " is removed");
                Thread.sleep(4_000);
            }
            mStopped = true;
            int late = mLate.get();
            String figures = late + " requests reached a leaving runner later than drainMs";
            return late > 0 ? broken(figures) : held(figures);
        } finally {
            runners.forEach(Runner::close);
        }
    }
}
