import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store: paged reads and watches, as PROTOCOL.md tells them. */
final class Store implements AutoCloseable {
    private static final int PAGE_ITEMS = 500;

    private record Change(long revision, String key, byte[] value) {}

    private final ServerSocket listener;
    private final TreeMap<String, Change> items = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private long revision = 100;
    private boolean down;

    Store(String host) throws IOException {
        listener = new ServerSocket(0, 200, InetAddress.getByName(host));
        Threads.accept(listener, this::serve);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    synchronized void put(String key, String value) {
        write(key, value.getBytes(StandardCharsets.UTF_8));
    }

    synchronized void delete(String key) {
        write(key, null);
    }

    /** While it is down, the store answers every call with 503 and does nothing. */
    synchronized void setDown(boolean down) {
        this.down = down;
        notifyAll();
    }

    private void write(String key, byte[] value) {
        Change change = new Change(++revision, key, value);
        changes.add(change);
        if (value == null) {
            items.remove(key);
        } else {
            items.put(key, change);
        }
        notifyAll();
    }

    private void serve(Socket socket) throws IOException {
        OutputStream out = socket.getOutputStream();
        for (Wire.Message call = Wire.read(socket.getInputStream());
                call != null;
                call = Wire.read(socket.getInputStream())) {
            String body = call.path().equals("/kv-watch") ? watch(call) : range(call);
            int status = body.isEmpty() ? 503 : 200;
            out.write(
                    Wire.response(
                            status,
                            "Content-Type: application/json\r\nStore-Era: 1\r\n",
                            Wire.bytes(body.isEmpty() ? "{}" : body)));
            out.flush();
        }
    }

    private synchronized String range(Wire.Message call) {
        if (down) {
            return "";
        }
        String prefix = call.query("prefix");
        String after = call.query("after");
        List<String> page = new ArrayList<>();
        boolean hasMore = false;
        for (Map.Entry<String, Change> item : items.tailMap(prefix).entrySet()) {
            if (!item.getKey().startsWith(prefix)) {
                break;
            }
            if (item.getKey().compareTo(after) > 0) {
                if (page.size() == PAGE_ITEMS) {
                    hasMore = true;
                    break;
                }
                page.add(json(item.getValue()));
            }
        }
        return "{\"items\":["
                + String.join(",", page)
                + "],\"hasMore\":"
                + hasMore
                + ",\"asOf\":"
                + revision
                + "}";
    }

    private synchronized String watch(Wire.Message call) {
        long after = Long.parseLong(call.query("after"));
        long end = System.nanoTime() + Long.parseLong(call.query("waitMs")) * 1_000_000;
        while (!down) {
            List<String> events = new ArrayList<>();
            for (Change change : changes) {
                if (change.revision() > after && change.key().startsWith(call.query("prefix"))) {
                    events.add(json(change));
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return "{\"events\":[" + String.join(",", events) + "],\"asOf\":" + revision + "}";
            }
            try {
                wait(left);
            } catch (InterruptedException e) {
                return "";
            }
        }
        return "";
    }

    private static String json(Change change) {
        if (change.value() == null) {
            return "{\"key\":\""
                    + change.key()
                    + "\",\"revision\":"
                    + change.revision()
                    + ",\"deleted\":true}";
        }
        return "{\"key\":\""
                + change.key()
                + "\",\"value\":\""
                + Base64.getEncoder().encodeToString(change.value())
                + "\",\"revision\":"
                + change.revision()
                + ",\"created\":"
                + change.revision()
                + ",\"lease\":0}";
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
