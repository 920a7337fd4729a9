package review;

import java.nio.file.Path;
import java.time.Duration;

/** Many clients come at once, with bodies of less than a third of the published limit. */
final class LargeBodiesCase {
    // The rate and the number of events of clerk-chat on the sheet.
    private static final double STREAMS_PER_SECOND = 11.6;
    private static final int STREAM_EVENTS = 56;
    private static final double BURST = 2.5;
    private static final Duration BURST_BEGIN = Duration.ofSeconds(10);
    private static final Duration BURST_END = Duration.ofMillis(16_200);
    private static final int FIRST_EVENT_MILLIS = 200;
    private static final int EVENT_PAUSE_MILLIS = 80;
    // maxBodyBytes is 4,194,304.
    private static final int BODY_BYTES = 1_200_000;

    private LargeBodiesCase() {}

    static int run(Path dir, Record record, boolean trouble) throws Exception {
        Runner.Work sound =
                Runner.stream(record, STREAM_EVENTS, FIRST_EVENT_MILLIS, EVENT_PAUSE_MILLIS);
        return SingleEntry.run(
                dir,
                record,
                i -> sound,
                elapsed -> {
                    boolean burst =
                            trouble
                                    && elapsed.compareTo(BURST_BEGIN) >= 0
                                    && elapsed.compareTo(BURST_END) < 0;
                    return burst ? BURST * STREAMS_PER_SECOND : STREAMS_PER_SECOND;
                },
                "p".repeat(BODY_BYTES).getBytes());
    }
}
