import java.util.ArrayList;
import java.util.List;

/**
 * The open channels to the store go silent while configurations come in quick succession; later
 * requests must be handled as the newest configuration says.
 */
final class StaleConfig extends Case {
    private static final int STEPS = 2;
    private static final int ROUTES = STEPS * 350;
    private static final int VERSIONS = 25;
    private static final long GAP_MILLIS = 60;
    private static final int SENT = 60;

    public static void main(String[] args) throws Exception {
        main(new StaleConfig(), args);
    }

    private static String route(String name, String prefix, String service) {
        return "{\"name\":\"" + name + "\",\"host\":\"a.example\",\"prefix\":\"" + prefix
                + "\",\"kind\":\"safe\",\"timeoutMs\":3000,\"latencyTargetMs\":386,"
                + "\"priority\":1,\"service\":\"" + service + "\",\"maxAttempts\":2,"
                + "\"stages\":[],\"public\":true,\"sticky\":false,\"resumable\":false,"
                + "\"gapAimMs\":300}";
    }

    private static String service(String name) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/healthz\",\"maxConns\":110,"
                + "\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0}";
    }

    /** The first route belongs to the given service; the others make the configuration big. */
    private static String config(int version, int more, String service) {
        List<String> routes = new ArrayList<>();
        routes.add(route("r-1", "/look/", service));
        for (int i = 0; i < more; i++) {
            routes.add(route("r-more-" + i, "/more" + i + "/puxa400/", "desk-a"));
        }
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
                + "],\"services\":[" + service("desk-a") + "," + service("desk-b")
                + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[]}";
    }

    private int mRequests;

    private Caller.Answer look(Entries.Entry entry) {
        String id = String.format("%016x", 0x9c41d07be2a35000L + ++mRequests);
        Caller.Answer answer =
                Caller.send(
                        entry.mFront,
                        "GET /look/2f HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id
                                + "\r\nDeadline-Ms: 3000\r\n\r\n",
                        new byte[0],
                        3_000);
        note("answer id " + id + " at " + entry.mName + ": " + answer);
        return answer;
    }

    @Override
    int run() throws Exception {
        try (Store store = new Store();
                SilentStore proxy = new SilentStore(store.bound());
                Runner a = new Runner(this, "i-a", "desk-a");
                Runner b = new Runner(this, "i-b", "desk-b");
                Entries entries = new Entries(mRoot, mWork, 3, proxy.address())) {
            store.put("op/config", config(3, 0, "desk-a"));
            store.put("servers/i-a", a.registration(""));
            store.put("servers/i-b", b.registration(""));
            entries.startAll();
            for (Entries.Entry entry : entries.all()) {
                if (!entry.awaitReady(30_000)) {
                    return couldNotRun(entry.mName + " is not ready");
                }
            }
            Thread.sleep(2_000);
            for (int step = 1; step <= STEPS; step++) {
                String big = config(3 + 2 * step, step * ROUTES / STEPS, "desk-a");
                store.put("op/config", big);
                note("operator: " + step + " times 350 more routes, " + big.length() + " bytes");
                Thread.sleep(2_000);
            }
            for (Entries.Entry entry : entries.all()) {
                if (look(entry).mStatus != 200) {
                    return couldNotRun("not served before the trouble");
                }
            }
            if (b.mRuns.get() > 0) {
                return couldNotRun("desk-b has run before the trouble");
            }
            int version = 9;
            for (int i = 0; i < VERSIONS; i++) {
                if (i == 2 && mTrouble) {
                    note("silent channels to the store: " + proxy.silence());
                }
                boolean last = i == VERSIONS - 1;
                store.put("op/config", config(version, ROUTES, last ? "desk-b" : "desk-a"));
                note("operator: version " + version + (last ? ", /look/ moved to desk-b" : ""));
                version += 2;
                Thread.sleep(GAP_MILLIS);
            }
            // In touch 3 s after the channels went silent; configDeadlineMs 2 s has passed as well.
            Thread.sleep(4_500);
            long confirmedMillis = millis() - 4_500 - GAP_MILLIS;
            int stale = 0;
            long lastStaleMillis = 0;
            for (int i = 0; i < SENT; i++) {
                int ranByOld = a.mRuns.get();
                long sentMillis = millis();
                look(entries.get(i % 3));
                if (a.mRuns.get() > ranByOld) {
                    stale++;
                    lastStaleMillis = sentMillis - confirmedMillis;
                }
                Thread.sleep(400);
            }
            return stale > 0
                    ? broken(
                            stale + " of " + SENT + " requests run by the old service, the last one"
                                    + " sent " + lastStaleMillis + " ms after the confirmation")
                    : held("all requests were run by the new service");
        }
    }
}
