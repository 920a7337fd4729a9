import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;

/** An entry of another writer lies among the runners' entries while all machines restart. */
final class BadEntry extends Case {
    public static void main(String[] args) throws Exception {
        main(new BadEntry(), args);
    }

    // A date and time; in milliseconds it is longer than a long of nanoseconds can hold.
    private static final String BAD = "\"20261205130042\"";

    static final String CONFIG =
            "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\","
                    + "\"prefix\":\"/look/\",\"kind\":\"safe\",\"timeoutMs\":3000,"
                    + "\"latencyTargetMs\":386,\"priority\":1,\"service\":\"seatdesk\","
                    + "\"maxAttempts\":2,\"stages\":[],\"public\":true,\"sticky\":false,"
                    + "\"resumable\":false}],\"services\":[{\"name\":\"seatdesk\","
                    + "\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\","
                    + "\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0}],"
                    + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                    + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[]}";

    private int mRequests;

    /** Sends ten requests a second for some time; returns how many were served. */
    private int served(Entries entries, int seconds) throws InterruptedException {
        int served = 0;
        for (int i = 0; i < seconds * 10; i++) {
            String id = String.format("%016x", 0x9c41d07be2a35000L + ++mRequests);
            Entries.Entry entry = entries.get(i % 3);
            Caller.Answer answer =
                    Caller.send(
                            entry.mFront,
                            "GET /look/2f HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id
                                    + "\r\nDeadline-Ms: 3000\r\n\r\n",
                            new byte[0],
                            3_000);
            note("answer id " + id + " at " + entry.mName + ": " + answer);
            served += answer.mStatus == 200 ? 1 : 0;
            Thread.sleep(100);
        }
        return served;
    }

    @Override
    int run() throws Exception {
        List<Runner> runners = new ArrayList<>();
        try (Store store = new Store();
                Entries entries = new Entries(mRoot, mWork, 3, store.address())) {
            store.put("op/config", CONFIG);
            for (int i = 1; i <= 4; i++) {
                Runner runner = new Runner(this, "i-" + i, "seatdesk");
                runners.add(runner);
                store.put("servers/" + runner.mId, runner.registration(""));
            }
            entries.startAll();
            for (Entries.Entry entry : entries.all()) {
                if (!entry.awaitReady(30_000)) {
                    return couldNotRun(entry.mName + " is not ready");
                }
            }
            int before = served(entries, 5);
            note("served before: " + before + " of 50");
            if (before < 45) {
                return couldNotRun("requests are not served before the trouble");
            }
            if (mTrouble) {
                // The field holds a text, a date and time, where a whole number is due.
                String key = keyBefore(runners);
                store.put(
                        key,
                        "{\"service\":\"seatdesk\",\"address\":\"127.0.0.9:9\",\"zone\":\"zone-a\","
                                + "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
                                + "\"coldLeftMs\":" + BAD + ",\"sequence\":1}");
                note("store: entry of another writer, " + key + ", coldLeftMs " + BAD);
            }
            int during = served(entries, 3);
            note("served with the entry in the store: " + during + " of 30");
            for (Entries.Entry entry : entries.all()) {
                entry.kill();
            }
            note("all processes killed");
            Thread.sleep(1_300);
            entries.startAll();
            note("all processes started");
            // The rule counts from recoverS (12 s) after the machines are back.
            Thread.sleep(13_000);
            for (Entries.Entry entry : entries.all()) {
                note(entry.mName + " says ready: " + entry.isReady());
            }
            int after = served(entries, 10);
            note("served after: " + after + " of 100");
            return after < 25
                    ? broken(
                            after + " of 100 requests served, sent later than 13 s after the start")
                    : held(after + " of 100 requests served after the start");
        } finally {
            runners.forEach(Runner::close);
        }
    }

    /**
     * The entry's reader visits the items in the order of a hash table. Only the runners after the
     * foreign entry are lost, so its key decides how many; this one comes before all of them.
     */
    private static String keyBefore(List<Runner> runners) {
        for (int i = 0; ; i++) {
            String key = "servers/other-writer-" + i;
            HashMap<String, Integer> order = new HashMap<>();
            runners.forEach(runner -> order.put("servers/" + runner.mId, 0));
            order.put(key, 0);
            if (order.keySet().iterator().next().equals(key)) {
                return key;
            }
        }
    }
}
