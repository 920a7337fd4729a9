import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runners crash in the middle of their streams while another one fails part of its requests; a
 * stream that was resumed at that one must still end.
 */
final class HungStream extends Case {
    // Largest doses of oathbook-ne: srv_crash 0.25 of a service for 2 s; srv_grey 0.14 of the
    // runners, x = 0.45, for 6.5 s.
    private static final int RUNNERS = 8;
    private static final int CRASHED = 2;
    private static final int DOWN_MILLIS = 2_000;
    private static final double GREY_FAILS = 0.45;
    private static final int GREY_MILLIS = 6_500;
    private static final int GREY_LEAD_MILLIS = 500;
    private static final int ROUNDS = 6;
    private static final int ROUND_MILLIS = 11_500;

    // Like clerk-chat: objective 2,500 ms, deadline 20,000 ms; the operator has shortened timeoutMs.
    private static final int TIMEOUT_MILLIS = 12_000;
    private static final int DEADLINE_MILLIS = 20_000;
    // Four times the objective; clients leave a stream that is silent for longer.
    private static final int GAP_MILLIS = 10_000;
    private static final int EVENTS = 40;
    private static final int EVENT_MILLIS = 250;
    private static final int REQUEST_EVERY_MILLIS = 40;

    public static void main(String[] args) throws Exception {
        main(new HungStream(), args);
    }

    private static final String CONFIG =
            "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\","
                    + "\"prefix\":\"/chat/\",\"kind\":\"stream\",\"timeoutMs\":" + TIMEOUT_MILLIS
                    + ",\"latencyTargetMs\":2500,\"priority\":2,\"service\":\"scribe-pool\","
                    + "\"maxAttempts\":2,\"stages\":[],\"public\":true,\"sticky\":true,"
                    + "\"resumable\":true,\"gapAimMs\":300}],\"services\":[{"
                    + "\"name\":\"scribe-pool\",\"healthPath\":\"/healthz\",\"maxConns\":620,"
                    + "\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0}],"
                    + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                    + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[]}";

    private final Random mRandom = new Random(29);

    /** A runner that streams events and that can crash; the grey one fails part of its requests. */
    private final class Model {
        private final String mId;
        private final boolean mGrey;
        private java.net.InetSocketAddress mBind;
        private volatile Http mHttp;

        private final Store mStore;

        Model(Store store, String id, boolean grey) throws IOException {
            mStore = store;
            mId = id;
            mGrey = grey;
            mHttp = new Http(this::handle);
            mBind = mHttp.bound();
            register();
        }

        private void register() {
            mStore.put(
                    "servers/" + mId,
                    server("scribe-pool", mHttp.address(), "zone-a", 128, ""));
        }

        private boolean handle(Http.Request request, Http.Connection connection)
                throws Exception {
            String id = request.header("Attempt-Id");
            String last = request.header("Last-Event-Id");
            if (!request.header("Expect-Instance").equals(mId)) {
                connection.respond(421, "", "");
                return true;
            }
            boolean fails;
            synchronized (mRandom) {
                fails = mGrey && mFailing && mRandom.nextDouble() < GREY_FAILS;
            }
            note("run   server " + mId + " id " + id + " after '" + last + "'" + (fails ? " 500" : ""));
            if (fails) {
                connection.respond(500, Runner.proof(request), "failed");
                return true;
            }
            connection.write(
                    "HTTP/1.1 200 OK\r\n" + Runner.proof(request)
                            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            int first = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
            for (int event = first; event <= EVENTS; event++) {
                Thread.sleep(EVENT_MILLIS);
                connection.chunk("id: " + event + "\ndata: piece " + event + " of " + id + "\n\n");
            }
            connection.write("0\r\n\r\n");
            return true;
        }

        void crash() throws Exception {
            note("server " + mId + " crashes");
            mHttp.close();
            Http.daemon(
                    () -> {
                        try {
                            Thread.sleep(DOWN_MILLIS);
                            mHttp = new Http(mBind, this::handle);
                            register();
                            note("server " + mId + " is back");
                        } catch (Exception e) {
                            throw new IllegalStateException(e);
                        }
                    });
        }
    }

    private volatile boolean mFailing;
    private final AtomicInteger mRequests = new AtomicInteger();
    private final ConcurrentLinkedQueue<Caller.Answer> mAnswers = new ConcurrentLinkedQueue<>();

    private void chat(Entries.Entry entry) {
        int number = mRequests.incrementAndGet();
        String id = String.format("%016x", 0x9c41d07be2a35000L + number);
        Caller.Answer answer =
                Caller.send(
                        entry.mFront,
                        "POST /chat/2f HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id
                                + "\r\nModel: m\r\nToken-Counts: 400,80\r\nPrefix-Hash: "
                                + Integer.toHexString(number) + "aa:400\r\nDeadline-Ms: "
                                + DEADLINE_MILLIS + "\r\nContent-Length: 4\r\n\r\n",
                        "text".getBytes(),
                        DEADLINE_MILLIS,
                        GAP_MILLIS);
        mAnswers.add(answer);
        note("answer id " + id + " at " + entry.mName + ": " + answer);
    }

    private void crashInRounds(List<Model> models) {
        try {
            for (int i = 0; i < ROUNDS && mTrouble; i++) {
                Thread.sleep(ROUND_MILLIS - GREY_MILLIS);
                mFailing = true;
                Thread.sleep(GREY_LEAD_MILLIS);
                for (int crashed = 0; crashed < CRASHED; crashed++) {
                    models.get((CRASHED * i + crashed) % (RUNNERS - 1)).crash();
                }
                Thread.sleep(GREY_MILLIS - GREY_LEAD_MILLIS);
                mFailing = false;
            }
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    int run() throws Exception {
        List<Model> models = new ArrayList<>();
        try (Store store = new Store();
                Entries entries = new Entries(mRoot, mWork, 3, store.address())) {
            store.put("op/config", CONFIG);
            for (int i = 1; i <= RUNNERS; i++) {
                models.add(new Model(store, "i-" + i, i == RUNNERS));
            }
            entries.startAll();
            for (Entries.Entry entry : entries.all()) {
                if (!entry.awaitReady(30_000)) {
                    return couldNotRun(entry.mName + " is not ready");
                }
            }
            Http.daemon(() -> crashInRounds(models));
            for (int i = 0; i < (ROUNDS + 1) * ROUND_MILLIS / REQUEST_EVERY_MILLIS; i++) {
                Entries.Entry entry = entries.get(i % 3);
                Http.daemon(() -> chat(entry));
                Thread.sleep(REQUEST_EVERY_MILLIS);
            }
            Thread.sleep(TIMEOUT_MILLIS + 2_000);
            int late = 0;
            int hung = 0;
            int complete = 0;
            for (Caller.Answer answer : mAnswers) {
                complete += answer.mEnd == Caller.End.COMPLETE && answer.mStatus == 200 ? 1 : 0;
                if (answer.mMillis >= TIMEOUT_MILLIS) {
                    late++;
                    hung += answer.mEnd == Caller.End.TIMEOUT
                                    && answer.mMillis >= TIMEOUT_MILLIS + 500 ? 1 : 0;
                }
            }
            String figures =
                    mAnswers.size() + " requests, " + complete + " complete; " + late
                            + " lasted longer than timeoutMs, " + hung
                            + " of them without an end 0.5 s later";
            return hung >= 8 && hung * 4 > late ? broken(figures) : held(figures);
        } finally {
            models.forEach(model -> model.mHttp.close());
        }
    }
}
