package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A runner of a service: registers in the store, checks the expected instance and keeps slots. */
final class Runner implements AutoCloseable {
    /** Runs one request that was given a slot. */
    interface Work {
        void run(HttpMessage request, Server.Channel channel, Runner runner) throws IOException;
    }

    private final Store store;
    private final String id;
    private final String service;
    private final String zone;
    private final int slots;
    private final int queue;
    private final Semaphore free;
    private final AtomicInteger waiting = new AtomicInteger();
    private final Server server;
    private final Work work;

    Runner(
            Store store,
            String id,
            String service,
            String zone,
            int slots,
            int queue,
            Work work)
            throws IOException {
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.queue = queue;
        this.work = work;
        free = new Semaphore(slots, true);
        server = new Server("127.0.0.1", 0, this::handle);
        register();
    }

    private void register() {
        store.put(
                "servers/" + id,
                ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
                                + "\"slots\":%d,\"state\":\"ready\",\"coldLeftMs\":0,"
                                + "\"sequence\":1,\"born\":%d}")
                        .formatted(
                                service,
                                server.address(),
                                zone,
                                slots,
                                System.currentTimeMillis()));
    }

    String id() {
        return id;
    }

    private void handle(HttpMessage request, Server.Channel channel) throws IOException {
        if (request.target().equals("/healthz")) {
            channel.respond("200 OK", "Instance-Id: " + id + "\r\n", new byte[0]);
            return;
        }
        String echo = "Attempt-Id: " + request.header("Attempt-Id") + "\r\n";
        String expected = request.header("Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            channel.respond(
                    "421 Misdirected Request", echo + "Instance-Id: " + id + "\r\n", new byte[0]);
            return;
        }
        if (waiting.incrementAndGet() > queue + slots) {
            waiting.decrementAndGet();
            channel.respond("503 Service Unavailable", echo + "Not-Executed: 1\r\n", new byte[0]);
            return;
        }
        free.acquireUninterruptibly();
        try {
            work.run(request, channel, this);
        } finally {
            waiting.decrementAndGet();
            free.release();
        }
    }

    /** Returns the headers that identify and sign the answer to a request. */
    static String signature(HttpMessage request) {
        return "Attempt-Id: " + request.header("Attempt-Id") + "\r\nResponse-Stamp: 3e1b.07.5a2\r\n";
    }

    /** Work that takes a time and answers with a small body; a null record keeps no runs. */
    static Work plain(Record record, int millis) {
        return (request, channel, runner) -> {
            if (record != null) {
                record.line("run     %s by %s", request.header("Attempt-Id"), runner.id());
            }
            sleep(millis);
            channel.respond(
                    "200 OK", signature(request), "seat\n".repeat(160).getBytes(StandardCharsets.UTF_8));
        };
    }

    /** Work that answers with a stream of events; a null record keeps no runs. */
    static Work stream(Record record, int events, int firstMillis, int pauseMillis) {
        return (request, channel, runner) -> {
            if (record != null) {
                record.line("run     %s by %s", request.header("Attempt-Id"), runner.id());
            }
            String last = request.header("Last-Event-Id");
            int from = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
            sleep(firstMillis);
            channel.write(
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                            + signature(request)
                            + "Transfer-Encoding: chunked\r\n\r\n");
            for (int i = from; i <= events; i++) {
                channel.write(chunk("id: " + i + "\ndata: " + "w".repeat(40) + "\n\n"));
                sleep(pauseMillis);
            }
            channel.write("0\r\n\r\n");
        };
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends the runner without a word to the store, as the end of its process does. */
    void crash() {
        server.close();
    }

    @Override
    public void close() {
        store.remove("servers/" + id);
        server.close();
    }
}
