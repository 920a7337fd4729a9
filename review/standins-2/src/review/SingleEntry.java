package review;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

/** One entry between chat clients with four model runners and clients of a sound seat desk. */
final class SingleEntry {
    private static final Duration TRAFFIC = Duration.ofSeconds(30);
    private static final int RUNNERS = 4;
    private static final int CHAT_DEADLINE_MILLIS = 20_000;
    // Clients leave a stream after a gap of four times its objective of 2.5 s.
    private static final int CHAT_GAP_MILLIS = 10_000;

    private SingleEntry() {}

    /**
     * Plays the traffic and returns the result of the check on the seat requests.
     *
     * @param modelWork what the model runner with a number does
     * @param chats rate of the chat requests
     * @param chatBody body of each chat request
     */
    static int run(
            Path dir,
            Record record,
            IntFunction<Runner.Work> modelWork,
            Load.Rate chats,
            byte[] chatBody)
            throws Exception {
        ExecutorService callers = Executors.newCachedThreadPool();
        List<Runner> runners = new ArrayList<>();
        SeatRequests seats = new SeatRequests(record);
        try (Store store = new Store()) {
            store.put(
                    "op/config",
                    Deployment.config(
                            3,
                            List.of(Deployment.book(), Deployment.look(), Deployment.chat()),
                            List.of(Deployment.seatdesk(), Deployment.scribePool())));
            for (int i = 0; i < RUNNERS; i++) {
                String seat = "i-seat-" + i;
                Runner.Work reserve = Runner.plain(record, 85);
                runners.add(
                        new Runner(store, seat, "seatdesk", "ne-east-a", 6, 24, reserve));
                String id = "i-scribe-" + i;
                Runner.Work work = modelWork.apply(i);
                runners.add(
                        new Runner(store, id, "scribe-pool", "ne-east-a", 128, 268, work));
            }
            int[] ports = Entry.freePorts();
            String seeds = "127.0.0.1:" + ports[2];
            try (Entry entry =
                    new Entry(
                            "front-1", "127.0.0.1", "ne-east-a", ports, seeds, store.address(),
                            dir)) {
                entry.awaitReady(Duration.ofSeconds(30));
                record.line("entry is ready");
                Load seatLoad = new Load(callers, 1);
                Thread seatThread =
                        new Thread(
                                () ->
                                        seatLoad.run(
                                                TRAFFIC,
                                                elapsed -> SeatRequests.PER_SECOND,
                                                number -> seats.send(entry, number)));
                seatThread.start();
                new Load(callers, 2)
                        .run(TRAFFIC, chats, number -> chat(entry, record, number, chatBody));
                seatThread.join();
                callers.shutdown();
                callers.awaitTermination(25, TimeUnit.SECONDS);
                return seats.judge(entry);
            }
        } finally {
            callers.shutdownNow();
            runners.forEach(Runner::close);
        }
    }

    private static void chat(Entry entry, Record record, int number, byte[] body) {
        String id = String.format("%016x", 0xc4a70000L + number);
        String more =
                "Model: m\r\nToken-Counts: 543,80\r\nPrefix-Hash: aa%02x:172,bb%06x:371\r\n"
                        .formatted(number % 20, number);
        record.answer(
                "chat",
                id,
                Caller.send(
                        entry,
                        Deployment.head("POST", "/chat/" + number, id, CHAT_DEADLINE_MILLIS, more),
                        body,
                        CHAT_GAP_MILLIS));
    }
}
