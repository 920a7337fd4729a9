package review;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** One of four model runners answers its requests with bodies without end. */
final class EndlessBodyCase {
    private static final int STREAMS_PER_SECOND = 50;
    private static final int STREAM_EVENTS = 20;
    private static final int EVENT_PAUSE_MILLIS = 50;
    private static final int FIRST_EVENT_MILLIS = 500;
    private static final Duration FAULT_BEGIN = Duration.ofSeconds(6);
    private static final Duration FAULT_END = Duration.ofMillis(12_500);
    private static final int BLOCK_BYTES = 32 << 10;
    private static final int BLOCK_PAUSE_MILLIS = 8;

    private final Record record;
    private final boolean trouble;
    private final AtomicLong endlessBytes = new AtomicLong();
    private final AtomicInteger endless = new AtomicInteger();
    private volatile boolean faulty;

    private EndlessBodyCase(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    static int run(Path dir, Record record, boolean trouble) throws Exception {
        EndlessBodyCase endlessBody = new EndlessBodyCase(record, trouble);
        Runner.Work sound =
                Runner.stream(record, STREAM_EVENTS, FIRST_EVENT_MILLIS, EVENT_PAUSE_MILLIS);
        int result =
                SingleEntry.run(
                        dir,
                        record,
                        i -> i == 0 ? (q, c, r) -> endlessBody.work(sound, q, c, r) : sound,
                        endlessBody::rate,
                        "p".repeat(1_400).getBytes());
        record.line(
                "answers without end: %d, %d bytes",
                endlessBody.endless.get(), endlessBody.endlessBytes.get());
        return result;
    }

    private double rate(Duration elapsed) {
        boolean fault =
                trouble
                        && elapsed.compareTo(FAULT_BEGIN) >= 0
                        && elapsed.compareTo(FAULT_END) < 0;
        if (fault != faulty) {
            record.line("trouble %s", fault ? "begins" : "ends");
        }
        faulty = fault;
        return STREAMS_PER_SECOND;
    }

    private void work(
            Runner.Work sound, HttpMessage request, Server.Channel channel, Runner runner)
            throws IOException {
        if (!faulty) {
            sound.run(request, channel, runner);
            return;
        }
        record.line("endless %s by %s", request.header("Attempt-Id"), runner.id());
        endless.incrementAndGet();
        Runner.sleep(FIRST_EVENT_MILLIS);
        channel.write("HTTP/1.1 200 OK\r\n" + Runner.signature(request) + "\r\n");
        byte[] block = "x".repeat(BLOCK_BYTES).getBytes();
        while (true) {
            channel.write(block);
            endlessBytes.addAndGet(block.length);
            Runner.sleep(BLOCK_PAUSE_MILLIS);
        }
    }
}
