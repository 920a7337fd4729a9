import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: kv-range and kv-watch over items with revisions and 20 s of history. */
final class Store implements AutoCloseable {
    static final long HISTORY_NANOS = 20_000_000_000L;
    private static final int PAGE_ITEMS = 500;

    private record Change(String key, byte[] value, long revision, long nanos) {}

    private final TreeMap<String, Change> mItems = new TreeMap<>();
    private final List<Change> mHistory = new ArrayList<>();
    private final Http mHttp = new Http(this::respond);
    private long mRevision = 100;
    private long mForgotten = 100;

    Store() throws IOException {}

    String address() {
        return mHttp.address();
    }

    java.net.InetSocketAddress bound() {
        return mHttp.bound();
    }

    synchronized long put(String key, String value) {
        return change(key, value.getBytes(StandardCharsets.UTF_8));
    }

    synchronized long delete(String key) {
        return change(key, null);
    }

    private long change(String key, byte[] value) {
        Change change = new Change(key, value, ++mRevision, System.nanoTime());
        if (value == null) {
            mItems.remove(key);
        } else {
            mItems.put(key, change);
        }
        mHistory.add(change);
        notifyAll();
        return mRevision;
    }

    private void forgetOldHistory() {
        while (!mHistory.isEmpty()
                && System.nanoTime() - mHistory.get(0).nanos() > HISTORY_NANOS) {
            mForgotten = mHistory.remove(0).revision();
        }
    }

    private boolean respond(Http.Request request, Http.Connection connection) throws Exception {
        String body;
        int status = 200;
        synchronized (this) {
            String prefix = request.query("prefix");
            if (request.target().startsWith("/kv-watch")) {
                forgetOldHistory();
                long after = Long.parseLong(request.query("after"));
                long end =
                        System.nanoTime() + Long.parseLong(request.query("waitMs")) * 1_000_000L;
                String events = events(prefix, after);
                while (events.isEmpty() && after >= mForgotten && System.nanoTime() < end) {
                    wait(Math.max(1, (end - System.nanoTime()) / 1_000_000L));
                    events = events(prefix, after);
                }
                if (after < mForgotten) {
                    status = 410;
                    body = "{}";
                } else {
                    body = "{\"events\":[" + events + "],\"asOf\":" + mRevision + "}";
                }
            } else if (request.target().startsWith("/kv-range")) {
                List<String> items = new ArrayList<>();
                boolean more = false;
                for (Map.Entry<String, Change> entry :
                        mItems.tailMap(request.query("after"), false).entrySet()) {
                    if (entry.getKey().startsWith(prefix)) {
                        if (items.size() == PAGE_ITEMS) {
                            more = true;
                            break;
                        }
                        items.add(json(entry.getValue()));
                    }
                }
                body =
                        "{\"items\":[" + String.join(",", items) + "],\"hasMore\":" + more
                                + ",\"asOf\":" + mRevision + "}";
            } else {
                status = 404;
                body = "{}";
            }
        }
        connection.respond(status, "Content-Type: application/json\r\n", body);
        return true;
    }

    private String events(String prefix, long after) {
        List<String> events = new ArrayList<>();
        for (Change change : mHistory) {
            if (change.revision() > after && change.key().startsWith(prefix)) {
                events.add(json(change));
            }
        }
        return String.join(",", events);
    }

    private static String json(Change change) {
        return change.value() == null
                ? "{\"key\":\"" + change.key() + "\",\"revision\":" + change.revision()
                        + ",\"deleted\":true}"
                : "{\"key\":\"" + change.key() + "\",\"value\":\""
                        + Base64.getEncoder().encodeToString(change.value())
                        + "\",\"revision\":" + change.revision() + ",\"created\":"
                        + change.revision() + ",\"lease\":0}";
    }

    @Override
    public void close() {
        mHttp.close();
    }
}
