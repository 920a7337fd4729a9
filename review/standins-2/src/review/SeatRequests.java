package review;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requests to the seat desk, whose runners are sound throughout, and the check that they get a
 * final answer: of those that are unanswered at their route's {@code timeoutMs}, more than half must
 * have one half a second later.
 */
final class SeatRequests {
    static final int PER_SECOND = 17;
    private static final int TIMEOUT_MILLIS = 1_500;
    private static final int LATE_MILLIS = 500;
    private static final int DEADLINE_MILLIS = 3_000;
    private static final int MIN_UNANSWERED = 8;

    private final Record record;
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger stillUnanswered = new AtomicInteger();
    private final AtomicInteger cutOff = new AtomicInteger();

    SeatRequests(Record record) {
        this.record = record;
    }

    /** Sends a reservation or a lookup and waits until its deadline. */
    void send(Entry entry, int number) {
        boolean book = number % 2 == 0;
        String id = String.format("%016x", 0x5ea70000L + number);
        Caller.Answer answer =
                Caller.send(
                        entry,
                        Deployment.head(
                                book ? "POST" : "GET",
                                (book ? "/book/" : "/look/") + number,
                                id,
                                DEADLINE_MILLIS,
                                ""),
                        book ? "b".repeat(600).getBytes() : new byte[0],
                        DEADLINE_MILLIS);
        record.answer(book ? "book" : "look", id, answer);
        if (answer.status() != 0) {
            answered.incrementAndGet();
        }
        boolean silent = answer.detail().contains("SocketTimeoutException");
        boolean refused = answer.detail().contains("ConnectException");
        if (answer.status() == 0 && !silent && !refused) {
            cutOff.incrementAndGet();
        }
        // A request whose channel was refused does not count.
        if (answer.millis() >= TIMEOUT_MILLIS && (answer.status() != 0 || silent)) {
            unanswered.incrementAndGet();
            if (answer.millis() > TIMEOUT_MILLIS + LATE_MILLIS) {
                stillUnanswered.incrementAndGet();
            }
        }
    }

    /** Returns the result of the case. */
    int judge(Entry entry) throws java.io.IOException {
        // A process that has ended by itself counts as running; it never answers these.
        if (!entry.isAlive()) {
            unanswered.addAndGet(cutOff.get());
            stillUnanswered.addAndGet(cutOff.get());
        }
        record.line(
                "seat requests: %d answered, %d unanswered at timeoutMs, %d of them half a second"
                        + " later",
                answered.get(), unanswered.get(), stillUnanswered.get());
        record.line(
                "entry: alive %s, ready %s, OutOfMemoryError lines in its log: %d",
                entry.isAlive(),
                entry.readiness() == 200,
                entry.logLines("OutOfMemoryError").size());
        if (answered.get() == 0) {
            return 2;
        }
        return stillUnanswered.get() >= MIN_UNANSWERED
                        && stillUnanswered.get() * 2 > unanswered.get()
                ? 1
                : 0;
    }
}
