import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients book seats on an unsafe route. With trouble, one of the four runners fails a part of its
 * requests for some seconds: it books the seat, and then answers 503 without Not-Executed. Checked
 * is REFUSED: no request that has run is answered 503.
 */
final class BookedTwice extends Case {
    private static final int CLIENTS = 24;
    private static final int DEADLINE_MS = 3_000;
    private static final double FAILING_PART = 0.4;
    private static final long RUN_MS = 12_000;
    private static final long TROUBLE_AT_MS = 3_000;
    private static final long TROUBLE_MS = 6_000;

    private final List<Entry> entries = new ArrayList<>();
    private final Map<String, AtomicInteger> bookings = new ConcurrentHashMap<>();
    private final Set<String> run = ConcurrentHashMap.newKeySet();
    private final AtomicInteger booked = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger refusedThoughRun = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private volatile boolean failing;

    private BookedTwice(Path folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        exit(new BookedTwice(Path.of(args[0])));
    }

    private void serveBooking(Runner runner, Wire.Message request, Socket socket)
            throws Exception {
        String attempt = request.header("Attempt-Id");
        Thread.sleep(86);
        run.add(attempt);
        bookings.computeIfAbsent(request.text(), seat -> new AtomicInteger()).incrementAndGet();
        boolean fails =
                failing
                        && runner.id.equals("desk-0")
                        && new Random(attempt.hashCode()).nextDouble() < FAILING_PART;
        record.line(attempt + " run by " + runner.id + (fails ? ", which fails after that" : ""));
        int status = fails ? 503 : 200;
        Runner.write(socket, Wire.response(status, runner.headers(request), new byte[800]));
    }

    @Override
    int run() throws Exception {
        Store store = keep(new Store("127.0.14.1"));
        for (int i = 0; i < 4; i++) {
            String zone = i % 2 == 0 ? "zone-a" : "zone-b";
            String host = "127.0.14." + (101 + i);
            Runner runner =
                    keep(new Runner("desk-" + i, "desk", zone, "1", host, 0, this::serveBooking));
            runner.begin(store);
            Threads.start(
                    "beat",
                    () -> {
                        while (true) {
                            Thread.sleep(1_200);
                            runner.register(store, "ready");
                        }
                    });
        }
        store.put(
                "op/config",
                config(7, route("/book/", "unsafe", "desk", DEADLINE_MS, 1, ""), service("desk")));
        Entry.Ports ports = Entry.freePorts("127.0.14.11");
        String seeds = "127.0.14.11:" + ports.control() + ",127.0.14.12:" + ports.control();
        for (int i = 0; i < 2; i++) {
            String zone = i == 0 ? "zone-a" : "zone-b";
            String host = "127.0.14." + (11 + i);
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
        Thread.sleep(TROUBLE_AT_MS);
        failing = trouble;
        Thread.sleep(TROUBLE_MS);
        failing = false;
        Thread.sleep(RUN_MS - TROUBLE_AT_MS - TROUBLE_MS + DEADLINE_MS);
        long twice = bookings.values().stream().filter(count -> count.get() > 1).count();
        String counts =
                "booked "
                        + booked
                        + ", answered 503 "
                        + refused
                        + ", of these run by a runner "
                        + refusedThoughRun
                        + ", seats booked twice "
                        + twice
                        + ", failed otherwise "
                        + failed;
        record.line(counts);
        System.out.println(counts);
        if (booked.get() < CLIENTS) {
            return NOT_RUN;
        }
        return refusedThoughRun.get() > 0 ? BROKEN : HELD;
    }

    /** Books one seat after the other; a booking that was refused is sent once more. */
    private void runClient(int client, long end) throws Exception {
        Thread.sleep(client * 20L);
        for (int number = 0; record.millis() < end; number++) {
            String seat = "seat " + client + "-" + number;
            if (book(client, seat, String.format("c%02d%04d0", client, number)) == 503) {
                Thread.sleep(200);
                book(client + 1, seat, String.format("c%02d%04d1", client, number));
            }
            Thread.sleep(150);
        }
    }

    private int book(int machine, String seat, String attempt) {
        Entry entry = entries.get(machine % entries.size());
        try (Client channel = new Client(entry.host, entry.ports.front(), DEADLINE_MS)) {
            record.line(attempt + " sent for " + seat);
            channel.send("POST", "/book/seat", attempt, DEADLINE_MS, "", Wire.bytes(seat));
            Wire.Message answer = channel.answer();
            int status = answer == null ? 0 : answer.status();
            if (status == 200) {
                booked.incrementAndGet();
            } else if (status == 503) {
                refused.incrementAndGet();
                if (run.contains(attempt)) {
                    refusedThoughRun.incrementAndGet();
                    record.line(attempt + " REFUSED: answered 503 and has run");
                }
            } else {
                failed.incrementAndGet();
                record.line(attempt + " answered " + status);
            }
            return status;
        } catch (IOException e) {
            failed.incrementAndGet();
            record.line(attempt + " failed: " + e.getMessage());
            return 0;
        }
    }
}
