import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Streams of a route are served by one service; the operator moves the route to another service,
 * whose runners have two software versions. With trouble, channels of clients are reset twice after
 * that, two seconds apart. Clients take up their broken streams at the next machine. Checked is
 * ORDER: at most two streams hold events of two versions of one service.
 */
final class MovedRoute extends Case {
    private static final int ALLOWED = 2;
    private static final int ENTRIES = 8;
    private static final int RUNNERS = 8;
    private static final int CLIENTS = 400;
    private static final int EVENTS = 60;
    private static final int EVENT_MS = 200;
    private static final int DEADLINE_MS = 20_000;
    private static final int RETRIES = 3;
    private static final int RESET_MACHINES = 3;
    private static final double RESET_PART = 0.55;
    private static final long RUN_MS = 14_000;
    private static final long MOVE_AT_MS = 7_000;

    /** A channel of a client, with the machine at its other end. */
    private record OpenChannel(Client channel, int machine) {}

    private final Set<OpenChannel> open = ConcurrentHashMap.newKeySet();
    private final AtomicInteger secondTakeUps = new AtomicInteger();
    private final AtomicInteger joined = new AtomicInteger();
    private final List<Entry> entries = new ArrayList<>();
    private final List<Runner> runners = new ArrayList<>();
    private final AtomicInteger streams = new AtomicInteger();
    private final AtomicInteger complete = new AtomicInteger();
    private final AtomicInteger takenUp = new AtomicInteger();

    private MovedRoute(Path folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        exit(new MovedRoute(Path.of(args[0])));
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
            String text = "id: " + event + "\ndata: version " + runner.service + "/" + runner.version + "\n\n";
            Runner.write(
                    socket, Wire.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
        }
        Runner.write(socket, Wire.bytes("0\r\n\r\n"));
    }

    private Runner startRunner(int number, String version, int port, Store store)
            throws IOException {
        String zone = number % 4 < 2 ? "zone-a" : "zone-b";
        String host = "127.0.15." + (101 + number);
        Runner runner =
                new Runner(
                        "scribe-" + number,
                        number < RUNNERS / 2 ? "first" : "second",
                        zone,
                        version,
                        host,
                        port,
                        MovedRoute::serveStream);
        return keep(runner).begin(store);
    }

    @Override
    int run() throws Exception {
        Store store = keep(new Store("127.0.15.1"));
        for (int i = 0; i < RUNNERS; i++) {
            runners.add(startRunner(i, i < RUNNERS / 2 ? "1" : i % 2 == 0 ? "2" : "3", 0, store));
        }
        Threads.start("beats", () -> beat(store));
        publish(store, 7, "first");
        Entry.Ports ports = Entry.freePorts("127.0.15.11");
        String seeds = "127.0.15.11:" + ports.control() + ",127.0.15.12:" + ports.control();
        for (int i = 0; i < ENTRIES; i++) {
            String zone = i % 2 == 0 ? "zone-a" : "zone-b";
            String host = "127.0.15." + (11 + i);
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
        Thread.sleep(MOVE_AT_MS);
        publish(store, 10, "second");
        record.line("route moved to the second service");
        Thread.sleep(2_500);
        if (trouble) {
            resetChannels(0);
            Thread.sleep(2_000);
            resetChannels(1);
        }
        Thread.sleep(RUN_MS + 8_000 - MOVE_AT_MS);
        String counts =
                "streams "
                        + streams
                        + ", complete "
                        + complete
                        + ", taken up "
                        + takenUp
                        + ", of these once more "
                        + secondTakeUps
                        + ", with events of two versions of one service "
                        + joined;
        record.line(counts);
        System.out.println(counts);
        if (complete.get() < CLIENTS / 2) {
            return NOT_RUN;
        }
        return joined.get() > ALLOWED ? BROKEN : HELD;
    }

    private static void publish(Store store, int version, String service) {
        String resumable = ",\"sticky\":true,\"resumable\":true,\"gapAimMs\":300";
        store.put(
                "op/config",
                config(
                        version,
                        route("/chat/", "stream", service, DEADLINE_MS, 2, resumable),
                        service("first") + "," + service("second")));
    }

    /** Resets a part of the channels of three machines in a row. */
    private void resetChannels(int firstMachine) {
        Random random = new Random(firstMachine);
        int count = 0;
        for (OpenChannel candidate : open) {
            int offset = candidate.machine() - firstMachine;
            if (offset >= 0 && offset < RESET_MACHINES && random.nextDouble() < RESET_PART) {
                try {
                    candidate.channel().socket.setSoLinger(true, 0);
                    candidate.channel().close();
                    count++;
                } catch (IOException e) {
                    // The stream has ended.
                }
            }
        }
        record.line(count + " channels reset");
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
        int takeUps = 0;
        long retryAfterMs = 0;
        for (int attempt = 0; attempt <= RETRIES && last < EVENTS; attempt++) {
            if (attempt > 0) {
                Thread.sleep(Math.max(retryAfterMs, 200 + random.nextInt(200)));
            }
            retryAfterMs = 0;
            String id = name + attempt;
            int machine = (client + attempt) % ENTRIES;
            Entry entry = entries.get(machine);
            String headers =
                    "Model: m\r\nToken-Counts: 9190,300\r\nPrefix-Hash: a"
                            + client
                            + ":6300,b"
                            + name.substring(1)
                            + ":2890\r\n";
            if (last > 0) {
                headers += "Last-Event-Id: " + last + "\r\nResumes: " + first + "\r\n";
                (takeUps == 0 ? takenUp : secondTakeUps).incrementAndGet();
                takeUps++;
            }
            OpenChannel kept = null;
            try (Client channel = new Client(entry.host, entry.ports.front(), 5_000)) {
                record.line(id + (last > 0 ? " takes up after event " + last : " sent"));
                channel.send("POST", "/chat/", id, DEADLINE_MS, headers, Wire.bytes("hello"));
                Wire.Message head = Wire.readHead(channel.in);
                if (head == null || head.status() != 200) {
                    record.line(id + " answered " + (head == null ? "nothing" : head.start));
                    retryAfterMs = retryAfterMs(head);
                    continue;
                }
                first = first.isEmpty() ? id : first;
                kept = new OpenChannel(channel, machine);
                open.add(kept);
                last = readEvents(channel, last, versions);
            } catch (EventsBroken e) {
                last = e.last;
                record.line(id + " broke off after event " + last + " of " + versions);
            } catch (IOException e) {
                record.line(id + " failed: " + e.getMessage());
            } finally {
                if (kept != null) {
                    open.remove(kept);
                }
            }
        }
        if (last == EVENTS) {
            complete.incrementAndGet();
        }
        long ofSecond = versions.stream().filter(version -> version.startsWith("second/")).count();
        if (ofSecond > 1) {
            joined.incrementAndGet();
            record.line(name + " ORDER: holds events of " + versions);
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
