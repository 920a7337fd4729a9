/** The last keys of the only tenant are taken away; requests with a wrong key must get 401. */
final class RevokedKeys extends Case {
    private static final long GAP_MILLIS = 400;

    public static void main(String[] args) throws Exception {
        main(new RevokedKeys(), args);
    }

    private static String config(int version, String keys) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\","
                + "\"prefix\":\"/book/\",\"kind\":\"unsafe\",\"timeoutMs\":3000,"
                + "\"latencyTargetMs\":386,\"priority\":1,\"service\":\"seatdesk\","
                + "\"maxAttempts\":1,\"stages\":[],\"public\":false,\"sticky\":false,"
                + "\"resumable\":false}],\"services\":[{\"name\":\"seatdesk\","
                + "\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false,"
                + "\"coldStartS\":0.0,\"coldPerS\":0.0}],\"limits\":{\"maxHeaderBytes\":16384,"
                + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                + "\"tenants\":[{\"name\":\"bozi300\",\"apiKeys\":[" + keys
                + "],\"priority\":1}]}";
    }

    private int mRequests;

    private Caller.Answer book(Entries.Entry entry, String key) {
        String id = String.format("%016x", 0x9c41d07be2a35000L + ++mRequests);
        Caller.Answer answer =
                Caller.send(
                        entry.mFront,
                        "POST /book/2f HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id
                                + "\r\nDeadline-Ms: 3000\r\n"
                                + (key.isEmpty() ? "" : "Key: " + key + "\r\n")
                                + "Content-Length: 4\r\n\r\n",
                        "seat".getBytes(),
                        3_000);
        note("answer id " + id + " at " + entry.mName + " key '" + key + "': " + answer);
        return answer;
    }

    private int runs(Runner runner, Entries.Entry entry, String key) {
        int before = runner.mRuns.get();
        book(entry, key);
        return runner.mRuns.get() - before;
    }

    @Override
    int run() throws Exception {
        try (Store store = new Store();
                Runner runner = new Runner(this, "i-1", "seatdesk");
                Entries entries = new Entries(mRoot, mWork, 3, store.address())) {
            store.put("op/config", config(7, "\"key-one-0123456789\",\"key-two-0123456789\""));
            store.put("servers/i-1", runner.registration(""));
            entries.startAll();
            for (Entries.Entry entry : entries.all()) {
                if (!entry.awaitReady(30_000)) {
                    return couldNotRun(entry.mName + " is not ready");
                }
            }
            for (Entries.Entry entry : entries.all()) {
                if (book(entry, "key-one-0123456789").mStatus != 200
                        || book(entry, "key-never-held").mStatus != 401
                        || book(entry, "").mStatus != 401) {
                    return couldNotRun("keys are not checked as published");
                }
            }
            // Without the trouble one key of the tenant stays.
            store.put("op/config", config(9, "\"key-two-0123456789\""));
            note("operator: version 9 confirmed, first key taken away");
            if (mTrouble) {
                Thread.sleep(GAP_MILLIS);
                store.put("op/config", config(11, ""));
                note("operator: version 11 confirmed, second key taken away");
            }
            Thread.sleep(4_000);
            int never = 0;
            int revoked = 0;
            int without = 0;
            for (Entries.Entry entry : entries.all()) {
                never += runs(runner, entry, "key-never-held");
                revoked += runs(runner, entry, "key-one-0123456789");
                without += runs(runner, entry, "");
            }
            String figures =
                    "4 s after the confirmation ran, of 3 each: " + never
                            + " with a key that no configuration held, " + revoked
                            + " with a revoked key, " + without + " without a key";
            return never > 0 ? broken(figures) : held(figures);
        }
    }
}
