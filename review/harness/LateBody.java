import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requests whose last byte arrives near the end of the grace time after SIGTERM; each that was read
 * must be answered.
 */
final class LateBody extends Case {
    private static final int GRACE_MILLIS = 8_000;
    private static final int LOSS_SLACK_MILLIS = 200;
    // The pause between two machines of a roll_term.
    private static final int GAP_MILLIS = 1_000;
    private static final int ROUNDS = 6;
    private static final int CLIENTS = 40;

    public static void main(String[] args) throws Exception {
        main(new LateBody(), args);
    }

    // A resumable stream beside the plain route; a long one keeps an entry from ending early.
    private static final String CONFIG =
            BadEntry.CONFIG.replace(
                    "\"routes\":[",
                    "\"routes\":[{\"name\":\"r-2\",\"host\":\"a.example\",\"prefix\":\"/chat/\","
                            + "\"kind\":\"stream\",\"timeoutMs\":20000,"
                            + "\"latencyTargetMs\":2500,\"priority\":2,"
                            + "\"service\":\"scribe-pool\",\"maxAttempts\":2,\"stages\":[],"
                            + "\"public\":true,\"sticky\":true,\"resumable\":true,"
                            + "\"gapAimMs\":300},");

    private final AtomicInteger mRequests = new AtomicInteger();
    private final AtomicInteger mAnswered = new AtomicInteger();
    private final AtomicInteger mReset = new AtomicInteger();
    private final AtomicInteger mCrossed = new AtomicInteger();
    private final AtomicInteger mLost = new AtomicInteger();

    /**
     * Sends a request on a channel before the stop, and on the same channel one in two parts near
     * the end of the grace time.
     */
    private void send(Entries.Entry entry, long termNanos, int firstMillis, int lastMillis) {
        String id = String.format("%016x", 0x9c41d07be2a35000L + mRequests.incrementAndGet());
        long sentNanos = 0;
        String end;
        try (Socket socket = new Socket()) {
            socket.connect(entry.mFront, 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(6_000);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            socket.getOutputStream()
                    .write(
                            ("GET /look/2f HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: f" + id
                                            + "\r\nDeadline-Ms: 3000\r\n\r\n")
                                    .getBytes());
            String first = Http.readHead(in);
            if (first == null || !first.startsWith("HTTP/1.1 200")) {
                throw new IllegalStateException("no answer before the stop");
            }
            Http.readBody(in, Http.headers(first.split("\r\n")));
            if (System.nanoTime() - termNanos > 0) {
                throw new IllegalStateException("the first answer came after the stop");
            }
            sleepUntil(termNanos, firstMillis);
            socket.getOutputStream()
                    .write(
                            ("POST /look/2f HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id
                                            + "\r\nDeadline-Ms: 3000\r\nContent-Length: 600\r\n\r\n"
                                            + "x".repeat(300))
                                    .getBytes());
            sleepUntil(termNanos, lastMillis);
            socket.getOutputStream().write("x".repeat(300).getBytes());
            sentNanos = System.nanoTime();
            String head = Http.readHead(in);
            if (head == null) {
                end = "EOF";
            } else {
                Http.readBody(in, Http.headers(head.split("\r\n")));
                end = "answer " + head.split(" ")[1];
            }
        } catch (IOException e) {
            end = "RESET " + e.getMessage();
        }
        long endNanos = System.nanoTime();
        long waited = (endNanos - sentNanos) / 1_000_000L;
        if (sentNanos == 0) {
            end = "closed before the last byte";
        } else if (end.startsWith("answer")) {
            mAnswered.incrementAndGet();
        } else if (waited <= LOSS_SLACK_MILLIS) {
            mCrossed.incrementAndGet();
        } else if (end.equals("EOF")) {
            // A process that ends with unread bytes resets the channel; here it had read them all.
            mLost.incrementAndGet();
        } else {
            mReset.incrementAndGet();
        }
        note(
                "id " + id + " at " + entry.mName + " last byte "
                        + (sentNanos == 0 ? "-" : (sentNanos - termNanos) / 1_000_000L)
                        + " ms after SIGTERM, end " + waited + " ms later: " + end);
    }

    private void chat(Entries.Entry entry) {
        String id = String.format("%016x", 0x9c41d07be2a35000L + mRequests.incrementAndGet());
        Caller.Answer answer =
                Caller.send(
                        entry.mFront,
                        "POST /chat/2f HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id
                                + "\r\nDeadline-Ms: 20000\r\nContent-Length: 0\r\n\r\n",
                        new byte[0],
                        20_000);
        note("id " + id + " at " + entry.mName + " stream: " + answer);
    }

    private Runner model() throws IOException {
        return new Runner(this, "i-2", "scribe-pool") {
            @Override
            boolean run(Http.Request request, Http.Connection connection) throws Exception {
                connection.write(
                        "HTTP/1.1 200 OK\r\n" + proof(request) + "Content-Type: text/event-stream"
                                + "\r\nTransfer-Encoding: chunked\r\n\r\n");
                for (int event = 1; event <= 56; event++) {
                    Thread.sleep(250);
                    connection.chunk("id: " + event + "\ndata: piece " + event + "\n\n");
                }
                connection.write("0\r\n\r\n");
                return true;
            }
        };
    }

    /** Stops an entry as the platform does. */
    private void stop(Entries.Entry entry, long termNanos) {
        try {
            sleepUntil(termNanos, 0);
            if (mTrouble) {
                entry.signal("TERM");
            }
            note("SIGTERM to " + entry.mName + ": " + mTrouble);
            sleepUntil(termNanos, GRACE_MILLIS);
            note(entry.mName + " alive after the grace time: " + entry.mProcess.isAlive());
            if (!mTrouble) {
                sleepUntil(termNanos, GRACE_MILLIS + 1_000);
            }
            entry.kill();
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void sleepUntil(long fromNanos, int millis) {
        try {
            long left = fromNanos + millis * 1_000_000L - System.nanoTime();
            Thread.sleep(Math.max(0, left / 1_000_000L));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    int run() throws Exception {
        Random random = new Random(29);
        try (Store store = new Store();
                Runner runner = new Runner(this, "i-1", "seatdesk");
                Runner model = model();
                Entries entries = new Entries(mRoot, mWork, 3, store.address())) {
            store.put("op/config", CONFIG);
            store.put("servers/i-2", model.registration(""));
            store.put("servers/i-1", runner.registration(""));
            for (int round = 0; round < ROUNDS; round++) {
                entries.startAll();
                for (Entries.Entry entry : entries.all()) {
                    if (!entry.awaitReady(30_000)) {
                        return couldNotRun(entry.mName + " is not ready");
                    }
                }
                Thread.sleep(1_000);
                // A process's first answers take longer, so its code is loaded before.
                for (Entries.Entry entry : entries.all()) {
                    Caller.send(
                            entry.mFront,
                            "GET /look/2f HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: w-" + round
                                    + entry.mName + "\r\nDeadline-Ms: 3000\r\n\r\n",
                            new byte[0],
                            3_000);
                }
                List<Thread> threads = new ArrayList<>();
                long start = System.nanoTime() + 1_000_000_000L;
                for (int machine = 0; machine < entries.all().size(); machine++) {
                    Entries.Entry entry = entries.get(machine);
                    long term = start + machine * GAP_MILLIS * 1_000_000L;
                    Http.daemon(() -> chat(entry));
                    for (int i = 0; i < CLIENTS; i++) {
                        int first = 6_300 + random.nextInt(600);
                        int last = 7_480 + random.nextInt(100);
                        threads.add(Http.daemon(() -> send(entry, term, first, last)));
                    }
                    threads.add(Http.daemon(() -> stop(entry, term)));
                }
                for (Thread thread : threads) {
                    thread.join();
                }
            }
            String figures =
                    mRequests + " requests, " + mAnswered + " answered, " + mCrossed
                            + " crossed the close, " + mReset + " reset, " + mLost
                            + " read and ended without an answer";
            return mLost.get() > 0 ? broken(figures) : held(figures);
        }
    }
}
