import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Eight runners of one service serve streams, six with software version 2 and two still with
 * version 1. With trouble, those two crash and are back one second later, each under the id and at
 * the address that it had, with version 2; each registers as soon as it serves. Clients take up
 * their broken streams. Checked is ORDER: at most two streams hold events of two versions.
 */
final class JoinedVersions extends Case {
    private static final int ALLOWED = 2;
    private static final int ENTRIES = 4;
    private static final int RUNNERS = 8;
    private static final int OLD_RUNNERS = 2;
    private static final int CLIENTS = 320;
    private static final int EVENTS = 40;
    private static final int EVENT_MS = 100;
    private static final int DEADLINE_MS = 20_000;
    private static final int RETRIES = 1;
    private static final long RUN_MS = 16_000;
    private static final long CRASH_AT_MS = 7_000;
    private static final long DOWN_MS = 1_000;

    private final List<Entry> entries = new ArrayList<>();
    private final List<Runner> runners = new ArrayList<>();
    private final AtomicInteger streams = new AtomicInteger();
    private final AtomicInteger complete = new AtomicInteger();
    private final AtomicInteger takenUp = new AtomicInteger();
    private final AtomicInteger joined = new AtomicInteger();

    private JoinedVersions(Path folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        exit(new JoinedVersions(Path.of(args[0])));
    }

    /** Writes the events after the one that the client has; each names the version that made it. */
    private static void serveStream(Runner runner, Wire.Message request, Socket socket)
            throws Exception {
        String last = request.header("Last-Event-Id");
        Runner.write(
                socket,
                Wire.bytes(
                        "HTTP/1.1 200 OK\r\n"
                                + runner.headers(request)
                                + "Content-Type: text/event-stream\r\n"
                                + "Transfer-Encoding: chunked\r\n\r\n"));
        for (int event = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; event <= EVENTS; event++) {
            Thread.sleep(EVENT_MS);
            String text = "id: " + event + "\ndata: version " + runner.version + "\n\n";
            Runner.write(
                    socket, Wire.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
        }
        Runner.write(socket, Wire.bytes("0\r\n\r\n"));
    }

    private Runner startRunner(int number, String version, int port, Store store)
            throws IOException {
        String zone = number % 2 == 0 ? "zone-a" : "zone-b";
        String host = "127.0.13." + (101 + number);
        Runner runner =
                new Runner(
                        "scribe-" + number,
                        "scribe",
                        zone,
                        version,
                        host,
                        port,
                        JoinedVersions::serveStream);
        return keep(runner).begin(store);
    }

    @Override
    int run() throws Exception {
        Store store = keep(new Store("127.0.13.1"));
        for (int i = 0; i < RUNNERS; i++) {
            runners.add(startRunner(i, i < OLD_RUNNERS ? "1" : "2", 0, store));
        }
        Threads.start("beats", () -> beat(store));
        String resumable = ",\"sticky\":true,\"resumable\":true,\"gapAimMs\":300";
        store.put(
                "op/config",
                config(
                        7,
                        route("/chat/", "stream", "scribe", DEADLINE_MS, 2, resumable),
                        service("scribe")));
        Entry.Ports ports = Entry.freePorts("127.0.13.11");
        String seeds = "127.0.13.11:" + ports.control() + ",127.0.13.12:" + ports.control();
        for (int i = 0; i < ENTRIES; i++) {
            String zone = i % 2 == 0 ? "zone-a" : "zone-b";
            String host = "127.0.13." + (11 + i);
            entries.add(keep(new Entry(temporary, "front-" + i, host, zone, ports, seeds, store)));
        }
        for (Entry entry : entries) {
            entry.awaitReady();
        }
        Thread.sleep(2_000);
        long begin = record.millis();
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            Threads.start("client", () -> runClient(client, begin + RUN_MS));
        }
        Thread.sleep(CRASH_AT_MS);
        if (trouble) {
            replaceOldRunners(store);
        }
        Thread.sleep(RUN_MS - CRASH_AT_MS + 6_000);
        String counts =
                "streams "
                        + streams
                        + ", complete "
                        + complete
                        + ", taken up "
                        + takenUp
                        + ", with events of two versions "
                        + joined;
        record.line(counts);
        System.out.println(counts);
        if (complete.get() < CLIENTS) {
            return NOT_RUN;
        }
        return joined.get() > ALLOWED ? BROKEN : HELD;
    }

    private void beat(Store store) throws InterruptedException {
        while (true) {
            for (int i = 0; i < RUNNERS; i++) {
                Thread.sleep(1_200 / RUNNERS);
                Runner runner = runners.get(i);
                if (runner.isUp()) {
                    runner.register(store, "ready");
                }
            }
        }
    }

    private void replaceOldRunners(Store store) throws Exception {
        for (int i = 0; i < OLD_RUNNERS; i++) {
            runners.get(i).crash();
            record.line(runners.get(i).id + " (version 1) crashed");
        }
        Thread.sleep(DOWN_MS);
        for (int i = 0; i < OLD_RUNNERS; i++) {
            runners.set(i, startRunner(i, "2", runners.get(i).port(), store));
            record.line(runners.get(i).id + " is back and registered with version 2");
        }
    }

    private void runClient(int client, long end) throws Exception {
        Random random = new Random(client);
        Thread.sleep(client * 12L);
        for (int number = 0; record.millis() < end; number++) {
            streams.incrementAndGet();
            stream(String.format("c%03d%04d", client, number), client, random);
        }
    }

    /** Reads one stream to its end, taking it up after a break, as long as retries are left. */
    private void stream(String name, int client, Random random) throws Exception {
        Set<String> versions = new HashSet<>();
        String first = "";
        int last = 0;
        long retryAfterMs = 0;
        for (int attempt = 0; attempt <= RETRIES && last < EVENTS; attempt++) {
            if (attempt > 0) {
                Thread.sleep(Math.max(retryAfterMs, 500 + random.nextInt(1_000)));
            }
            retryAfterMs = 0;
            String id = name + attempt;
            Entry entry = entries.get((client + attempt) % entries.size());
            String headers =
                    "Model: m\r\nToken-Counts: 100,200\r\nPrefix-Hash: a"
                            + client
                            + ":50,b"
                            + name.substring(1)
                            + ":50\r\n";
            if (last > 0) {
                headers += "Last-Event-Id: " + last + "\r\nResumes: " + first + "\r\n";
                takenUp.incrementAndGet();
            }
            try (Client channel = new Client(entry.host, entry.ports.front(), 5_000)) {
                channel.send("POST", "/chat/", id, DEADLINE_MS, headers, Wire.bytes("hello"));
                Wire.Message head = Wire.readHead(channel.in);
                if (head == null || head.status() != 200) {
                    record.line(id + " answered " + (head == null ? "nothing" : head.start + ", " + head.header("Retry-After")));
                    retryAfterMs = retryAfterMs(head);
                    continue;
                }
                first = first.isEmpty() ? id : first;
                Set<String> ofAttempt = new HashSet<>();
                try {
                    last = readEvents(channel, last, ofAttempt);
                } finally {
                    versions.addAll(ofAttempt);
                }
            } catch (EventsBroken e) {
                last = e.last;
                record.line(id + " broke off after event " + last + " of versions " + versions);
            } catch (IOException e) {
                record.line(id + " failed: " + e.getMessage());
            }
        }
        if (last == EVENTS) {
            complete.incrementAndGet();
        }
        if (versions.size() > 1) {
            joined.incrementAndGet();
            record.line(name + " ORDER: holds events of versions " + versions);
        }
    }

    /** Clients honour a time of up to a third of what they have left. */
    private static long retryAfterMs(Wire.Message head) {
        String seconds = head == null ? "" : head.header("Retry-After");
        double millis = seconds.isEmpty() ? 0 : 1_000 * Double.parseDouble(seconds);
        return (long) Math.min(millis, DEADLINE_MS / 3.0);
    }

    private static final class EventsBroken extends Exception {
        private static final long serialVersionUID = 1;
        private final int last;

        EventsBroken(int last) {
            this.last = last;
        }
    }

    private static int readEvents(Client channel, int after, Set<String> versions)
            throws EventsBroken {
        int last = after;
        StringBuilder pending = new StringBuilder();
        try {
            for (byte[] chunk = Wire.readChunk(channel.in);
                    chunk.length > 0;
                    chunk = Wire.readChunk(channel.in)) {
                pending.append(new String(chunk, StandardCharsets.UTF_8));
                for (int end = pending.indexOf("\n\n"); end >= 0; end = pending.indexOf("\n\n")) {
                    String[] lines = pending.substring(0, end).split("\n");
                    last = Integer.parseInt(lines[0].substring("id: ".length()));
                    versions.add(lines[1].substring("data: version ".length()));
                    pending.delete(0, end + 2);
                }
            }
            return last;
        } catch (IOException e) {
            throw new EventsBroken(last);
        }
    }
}
