import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients read documents through four entries. With trouble, some of the four machines are lost at
 * once, and their clients come back to those that are left. Checked is one of two rules: MIXED, a client
 * that gets a success gets the whole body of the runner; or CONFIG, of the requests to the machines
 * that are left which last longer than the timeout of their route, not eight and over a quarter have
 * no final answer half a second after it.
 */
final class WholeAnswers extends Case {
    private static final int ENTRIES = 4;
    private static final int LATE_MS = 500;
    private static final int MANY = 8;
    private static final int PIECES = 16;
    private static final int PIECE_MS = 125;
    private static final int DEADLINE_MS = 6_000;
    private static final long RUN_MS = 20_000;
    private static final long LOSS_AT_MS = 8_000;

    private final String rule;
    private final int clients;
    private final int documentBytes;
    private final int timeoutMs;
    private final List<Integer> lost = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger mixed = new AtomicInteger();
    private final AtomicInteger beyondTimeout = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();

    private WholeAnswers(Path folder, String rule, int clients, int documentBytes, int timeoutMs, String lost)
            throws Exception {
        super(folder);
        this.rule = rule;
        this.clients = clients;
        this.documentBytes = documentBytes;
        this.timeoutMs = timeoutMs;
        for (String number : lost.split(",")) {
            this.lost.add(Integer.parseInt(number));
        }
    }

    public static void main(String[] args) throws Exception {
        exit(
                new WholeAnswers(
                        Path.of(args[0]),
                        args[1],
                        Integer.parseInt(args[2]),
                        Integer.parseInt(args[3]),
                        Integer.parseInt(args[4]),
                        args[5]));
    }

    /** The document of an attempt: no two bytes at a distance of a piece are the same. */
    private byte[] document(String attempt) {
        byte[] bytes = new byte[documentBytes];
        int seed = attempt.hashCode();
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = (byte) (seed + i + i / 251);
        }
        return bytes;
    }

    /** Works 86 ms, then writes the document in pieces over two seconds. */
    private void serveDocument(Runner runner, Wire.Message request, Socket socket)
            throws Exception {
        String attempt = request.header("Attempt-Id");
        Thread.sleep(86);
        byte[] body = document(attempt);
        byte[] answer = Wire.response(200, runner.headers(request), body);
        for (int begin = 0; begin < answer.length; begin += documentBytes / PIECES) {
            int end = Math.min(answer.length, begin + documentBytes / PIECES);
            Runner.write(socket, Arrays.copyOfRange(answer, begin, end));
            Thread.sleep(PIECE_MS);
        }
    }

    @Override
    int run() throws Exception {
        Store store = keep(new Store("127.0.11.1"));
        for (int i = 0; i < 4; i++) {
            String zone = i % 2 == 0 ? "zone-a" : "zone-b";
            String host = "127.0.11." + (101 + i);
            Runner runner =
                    keep(new Runner("desk-" + i, "desk", zone, "1", host, 0, this::serveDocument));
            runner.begin(store);
            beat(runner, store);
        }
        store.put(
                "op/config",
                config(7, route("/look/", "safe", "desk", timeoutMs, 2, ""), service("desk")));
        Entry.Ports ports = Entry.freePorts("127.0.11.11");
        String seeds = "127.0.11.11:" + ports.control() + ",127.0.11.12:" + ports.control();
        for (int i = 0; i < ENTRIES; i++) {
            String host = "127.0.11." + (11 + i);
            String zone = i % 2 == 0 ? "zone-a" : "zone-b";
            entries.add(
                    keep(new Entry(temporary, "front-" + i, host, zone, ports, seeds, store)));
        }
        for (Entry entry : entries) {
            entry.awaitReady();
        }
        Thread.sleep(2_000);
        long begin = record.millis();
        for (int i = 0; i < clients; i++) {
            int client = i;
            Threads.start("client", () -> runClient(client, begin + RUN_MS));
        }
        Thread.sleep(LOSS_AT_MS);
        record.line("before the loss: " + counts());
        if (trouble) {
            for (int i : lost) {
                entries.get(i).kill();
            }
            record.line("machines " + lost + " lost");
        }
        Thread.sleep(RUN_MS - LOSS_AT_MS + DEADLINE_MS);
        for (int i = 0; i < ENTRIES; i++) {
            if (!lost.contains(i)) {
                Entry left = entries.get(i);
                record.line(
                        "machine "
                                + i
                                + " is left: readiness "
                                + left.readiness()
                                + (left.isAlive() ? ", runs" : ", has ended by itself"));
            }
        }
        record.line("at the end: " + counts());
        System.out.println(counts());
        if (whole.get() < clients) {
            return NOT_RUN;
        }
        boolean manyLate = unanswered.get() >= MANY && unanswered.get() * 4 > beyondTimeout.get();
        boolean broken = rule.equals("MIXED") ? mixed.get() > 0 : manyLate;
        return broken ? BROKEN : HELD;
    }

    private void beat(Runner runner, Store store) {
        Threads.start(
                "beat",
                () -> {
                    while (true) {
                        Thread.sleep(1_200);
                        runner.register(store, "ready");
                    }
                });
    }

    private String counts() {
        return "sent "
                + sent
                + ", answered whole "
                + whole
                + ", answered with another body "
                + mixed
                + ", at the machines that are left beyond the timeout "
                + beyondTimeout
                + " and without an answer half a second later "
                + unanswered
                + ", failed "
                + failed;
    }

    /** A client reads one document after the other, half a second apart, with one retry. */
    private void runClient(int client, long end) throws Exception {
        Client channel = null;
        int home = client % ENTRIES;
        Thread.sleep(client * 5L);
        for (int number = 0; record.millis() < end; number++) {
            boolean done = false;
            for (int attempt = 0; attempt < 2 && !done; attempt++) {
                String id = String.format("c%03d%04d%d", client, number, attempt);
                try {
                    if (channel == null) {
                        channel = connect(home + attempt);
                    }
                    done = read(channel, id);
                } catch (SocketTimeoutException e) {
                    record.line(id + " abandoned at its deadline");
                } catch (IOException e) {
                    record.line(id + " failed: " + e.getMessage());
                }
                if (!done) {
                    failed.incrementAndGet();
                }
                if (channel != null && (!done || channel.closing)) {
                    channel.close();
                    channel = null;
                }
            }
            Thread.sleep(500);
        }
    }

    private boolean isLeft(Client channel) {
        String host = channel.socket.getInetAddress().getHostAddress();
        return lost.stream().noneMatch(number -> entries.get(number).host.equals(host));
    }

    /** The platform forwards a new channel to a machine that is there. */
    private Client connect(int preferred) throws IOException {
        for (int i = 0; i < ENTRIES; i++) {
            Entry entry = entries.get((preferred + i) % ENTRIES);
            if (entry.isAlive()) {
                return new Client(entry.host, entry.ports.front(), DEADLINE_MS);
            }
        }
        throw new IOException("no machine");
    }

    private boolean read(Client channel, String id) throws IOException {
        sent.incrementAndGet();
        record.line(id + " sent");
        long sentMs = record.millis();
        Wire.Message answer;
        try {
            channel.send("GET", "/look/document", id, DEADLINE_MS, "", new byte[0]);
            answer = channel.answer();
        } finally {
            long tookMs = record.millis() - sentMs;
            if (tookMs >= timeoutMs && isLeft(channel)) {
                beyondTimeout.incrementAndGet();
                if (tookMs >= timeoutMs + LATE_MS) {
                    unanswered.incrementAndGet();
                }
            }
        }
        if (answer == null) {
            throw new IOException("closed");
        }
        channel.closing = answer.header("Connection").equalsIgnoreCase("close");
        if (answer.status() != 200) {
            record.line(id + " answered " + answer.status());
            return false;
        }
        byte[] expected = document(id);
        if (!Arrays.equals(expected, answer.body)) {
            mixed.incrementAndGet();
            record.line(
                    id
                            + " MIXED: answered 200, Response-Stamp "
                            + answer.header("Response-Stamp")
                            + ", Content-Length "
                            + answer.header("Content-Length")
                            + ", body of "
                            + answer.body.length
                            + " bytes instead of "
                            + expected.length
                            + ", first difference at byte "
                            + Arrays.mismatch(expected, answer.body));
        } else {
            whole.incrementAndGet();
            record.line(id + " answered whole");
        }
        return true;
    }
}
