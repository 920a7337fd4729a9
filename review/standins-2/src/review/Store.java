package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntPredicate;

/** The platform's metadata store: ranges and watches of items, from one revision counter. */
final class Store implements AutoCloseable {
    private record Item(String key, String value, long revision, long created, boolean deleted) {
        String json() {
            if (deleted) {
                return "{\"key\":\"%s\",\"revision\":%d,\"deleted\":true}"
                        .formatted(key, revision);
            }
            String encoded =
                    Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
            return "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,\"created\":%d,\"lease\":0}"
                    .formatted(key, encoded, revision, created);
        }
    }

    private final List<Server> servers = new ArrayList<>();
    private final Map<Integer, Long> lastCallNanos = new ConcurrentHashMap<>();
    private final Map<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private long revision = 1;
    private volatile IntPredicate turnedAway = machine -> false;

    /** Starts a store for one machine. */
    Store() throws IOException {
        this(1);
    }

    /** Starts a store with an address for each machine, by which it tells them apart. */
    Store(int machines) throws IOException {
        for (int i = 0; i < machines; i++) {
            int machine = i;
            servers.add(
                    new Server(
                            "127.0.0.1",
                            0,
                            (request, channel) -> handle(machine, request, channel)));
        }
    }

    String address() {
        return address(0);
    }

    String address(int machine) {
        return servers.get(machine).address();
    }

    /** Resets the channels of the machines that the predicate accepts, and serves the others. */
    void turnAway(IntPredicate machines) {
        turnedAway = machines;
    }

    /** Returns the machine that has read the servers last. */
    int lastReader() {
        return lastCallNanos.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .orElseThrow()
                .getKey();
    }

    synchronized void put(String key, String value) {
        Item known = items.get(key);
        revision++;
        Item item = new Item(key, value, revision, known == null ? revision : known.created, false);
        items.put(key, item);
        history.add(item);
        notifyAll();
    }

    synchronized void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(new Item(key, "", revision, revision, true));
            notifyAll();
        }
    }

    private void handle(int machine, HttpMessage request, Server.Channel channel)
            throws IOException {
        if (turnedAway.test(machine)) {
            channel.reset();
            return;
        }
        String[] target = request.target().split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        for (String pair : target.length < 2 ? new String[0] : target[1].split("&")) {
            String[] parts = pair.split("=", 2);
            query.put(
                    parts[0],
                    java.net.URLDecoder.decode(
                            parts[1].replace("+", "%2B"), StandardCharsets.UTF_8));
        }
        if ("servers/".equals(query.get("prefix"))) {
            lastCallNanos.put(machine, System.nanoTime());
        }
        String body =
                target[0].equals("/kv-range")
                        ? range(query.get("prefix"), query.getOrDefault("after", ""))
                        : watch(
                                query.get("prefix"),
                                Long.parseLong(query.get("after")),
                                Long.parseLong(query.get("waitMs")));
        if (turnedAway.test(machine)) {
            channel.reset();
            return;
        }
        channel.respond(
                "200 OK",
                "Content-Type: application/json\r\n",
                body.getBytes(StandardCharsets.UTF_8));
    }

    private synchronized String range(String prefix, String after) {
        List<String> found = new ArrayList<>();
        for (Item item : items.values()) {
            if (item.key.startsWith(prefix) && item.key.compareTo(after) > 0) {
                found.add(item.json());
            }
        }
        return "{\"items\":[" + String.join(",", found) + "],\"hasMore\":false,\"asOf\":" + revision
                + "}";
    }

    private synchronized String watch(String prefix, long after, long waitMs) {
        long deadline = System.nanoTime() + waitMs * 1_000_000;
        while (true) {
            List<String> events = new ArrayList<>();
            for (Item item : history) {
                if (item.revision > after && item.key.startsWith(prefix)) {
                    events.add(item.json());
                }
            }
            long leftMs = (deadline - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMs <= 0) {
                return "{\"events\":[" + String.join(",", events) + "],\"asOf\":" + revision + "}";
            }
            try {
                wait(leftMs);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return "{\"events\":[],\"asOf\":" + revision + "}";
            }
        }
    }

    @Override
    public void close() {
        servers.forEach(Server::close);
    }
}
