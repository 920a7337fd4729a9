package org.bulrushvale.system;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.bulrushvale.adapters.backend.BackendAddress;
import org.bulrushvale.adapters.backend.BackendClient;
import org.bulrushvale.adapters.backend.StageAttemptRequest;
import org.bulrushvale.adapters.settings.EntrySettings;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a second copy of an answer that a backend server sends late, on a connection that
 * carries the next attempt by then: it must neither become the result of that attempt, nor state
 * that the attempt was not run, nor spoil the attempts after it.
 */
public class LateBackendCopyTest {
    private static final int ATTEMPTS = 5;

    /** When the copy of the first answer is sent. */
    private enum Placement {
        WITH_THE_ANSWER,
        BETWEEN_TWO_REQUESTS,
        SPLIT_OVER_TWO_READS,
        AS_THE_NEXT_ANSWER,
        BEFORE_A_CLOSE
    }

    /** What the server answers. */
    private enum Kind {
        BODY,
        STREAM,
        REFUSAL,
        ERROR;

        String answer(String attemptId, boolean first, boolean withId) {
            String id = withId ? "'attempt_id':'" + attemptId + "'," : "";
            if (first && this == REFUSAL) {
                return json(503, "X-Not-Run: true\r\n", "{" + id + "'error':'full'}");
            }
            if (first && this == ERROR) {
                return json(500, "", "{" + id + "'error':'failed'}");
            }
            if (this != STREAM) {
                String output = "'complete':true,'output':'output of %s','tokens':1}";
                return json(200, "", "{" + id + output.formatted(attemptId));
            }
            String token = "data: {" + id + "'offset':0,'text':'output of " + attemptId + "'}\n\n";
            String end = "event: end\ndata: {" + id + "'tokens':1}\n\n";
            return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n"
                    + RawBackend.chunk((token + end).replace('\'', '"'))
                    + "0\r\n\r\n";
        }

        private static String json(int status, String headers, String body) {
            return RawBackend.response(status, headers, body.replace('\'', '"'));
        }

        String outcomeOfFirst() {
            return switch (this) {
                case REFUSAL -> "refused";
                case ERROR -> "STATUS";
                default -> "output of a-0";
            };
        }
    }

    @DataProvider
    public Object[][] copies() {
        List<Object[]> cases = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            for (Placement placement : Placement.values()) {
                for (boolean withId : new boolean[] {true, false}) {
                    cases.add(new Object[] {kind, placement, withId});
                }
            }
        }
        return cases.toArray(new Object[0][]);
    }

    @Test(dataProvider = "copies")
    public void a_late_copy_of_an_answer_is_neither_the_result_nor_the_refusal_of_a_later_attempt(
            Kind kind, Placement placement, boolean withId) throws Exception {
        assertThat(outcomesAfterCopy(kind, placement, withId))
                .isSubsetOf("FOREIGN", "STATUS", "TRUNCATED", "RESET", "CUT");
    }

    @Test(dataProvider = "copies")
    public void a_late_copy_of_an_answer_costs_at_most_one_later_attempt_its_result(
            Kind kind, Placement placement, boolean withId) throws Exception {
        assertThat(outcomesAfterCopy(kind, placement, withId)).hasSizeLessThan(2);
    }

    /** Returns the outcomes of the later attempts that did not end with their own result. */
    private static List<String> outcomesAfterCopy(Kind kind, Placement placement, boolean withId)
            throws Exception {
        // given
        Copier copier = new Copier(kind, placement, withId);
        List<String> lost = new ArrayList<>();
        try (RawBackend server = RawBackend.start(copier::answer);
                BackendClient client = startClient()) {
            assertThat(runAttempt(client, server, 0, kind)).isEqualTo(kind.outcomeOfFirst());
            assertThat(copier.mFirstAnswered.await(5, TimeUnit.SECONDS)).isTrue();
            // when
            for (int i = 1; i < ATTEMPTS; i++) {
                String outcome = runAttempt(client, server, i, kind);
                for (int again = 0; again < 3 && outcome.equals("CONNECT"); again++) {
                    // Nothing was sent, so an attempt may follow.
                    outcome = runAttempt(client, server, i, kind);
                }
                if (!outcome.equals("output of a-" + i)) {
                    lost.add(outcome);
                }
            }
        }
        return lost;
    }

    private static BackendClient startClient() throws Exception {
        Duration timeout = Duration.ofSeconds(2);
        return BackendClient.start(
                new EntrySettings.Backend(timeout, timeout, timeout, 1 << 20), server -> {});
    }

    private static String runAttempt(BackendClient client, RawBackend server, int index, Kind kind)
            throws Exception {
        BackendAddress address = new BackendAddress("s", "127.0.0.1", server.port());
        StageAttemptRequest call =
                new StageAttemptRequest(
                        "encode",
                        "a-" + index,
                        "r-" + index,
                        "w",
                        "text",
                        0,
                        0,
                        kind == Kind.STREAM,
                        Duration.ofSeconds(2));
        OutcomeRecorder outcome = new OutcomeRecorder();
        var unused = client.sendAttempt(address, call, RawBackend.EPOCH, outcome);
        return outcome.await();
    }

    /**
     * Answers each call, and the first one twice.
     *
     * <p>Thread safety: calls arrive one after the other.
     */
    private static final class Copier {
        private final Kind mKind;
        private final Placement mPlacement;
        private final boolean mWithId;
        private final AtomicInteger mCalls = new AtomicInteger();
        private final CountDownLatch mFirstAnswered = new CountDownLatch(1);
        // The rest of the copy, by the connection on which it is due.
        private final Map<Socket, String> mDue = new ConcurrentHashMap<>();

        Copier(Kind kind, Placement placement, boolean withId) {
            mKind = kind;
            mPlacement = placement;
            mWithId = withId;
        }

        boolean answer(JsonNode call, Socket connection) throws IOException {
            String attemptId = call.path("attempt_id").asText();
            boolean first = mCalls.getAndIncrement() == 0;
            String answer = mKind.answer(attemptId, first, true);
            if (!first) {
                String due = mDue.remove(connection);
                if (due != null) {
                    RawBackend.write(connection, due);
                    pause();
                    if (mPlacement == Placement.BEFORE_A_CLOSE) {
                        return false;
                    }
                }
                RawBackend.write(connection, answer);
                return true;
            }
            String copy = mKind.answer(attemptId, true, mWithId);
            switch (mPlacement) {
                case WITH_THE_ANSWER -> RawBackend.write(connection, answer + copy);
                case BETWEEN_TWO_REQUESTS -> {
                    RawBackend.write(connection, answer);
                    pause();
                    RawBackend.write(connection, copy);
                }
                case SPLIT_OVER_TWO_READS -> {
                    int half = copy.length() / 2;
                    mDue.put(connection, copy.substring(half));
                    RawBackend.write(connection, answer + copy.substring(0, half));
                }
                default -> {
                    mDue.put(connection, copy);
                    RawBackend.write(connection, answer);
                }
            }
            mFirstAnswered.countDown();
            return true;
        }

        /** Lets the client read what was sent so far before more is sent. */
        private static void pause() throws IOException {
            try {
                TimeUnit.MILLISECONDS.sleep(50);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
    }
}
