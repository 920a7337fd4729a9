package org.bulrushvale.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.bulrushvale.standin.stage.StageOutput;
import org.bulrushvale.systemtests.harness.Answer;
import org.bulrushvale.systemtests.harness.Await;
import org.bulrushvale.systemtests.harness.Caller;
import org.bulrushvale.systemtests.harness.Caller.Ask;
import org.bulrushvale.systemtests.harness.EntryProcess;
import org.bulrushvale.systemtests.harness.FleetProcesses;
import org.bulrushvale.systemtests.harness.StandinProcess;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a truncated backend answer that reaches the caller as a complete one (G4), and
 * against a connection that went silent and holds a request past its deadline, hides that it may
 * have run, or spoils later requests.
 */
public class BrokenAnswerProcessTest {
    private static final int TOKENS = 16;
    private static final int CONCURRENT_ORDERS = 6;
    private static final Duration RECOVERY_LIMIT = Duration.ofSeconds(15);
    // Deadline of the class and time for the answer to arrive on a busy machine.
    private static final Duration ORDER_LIMIT = Duration.ofMillis(3_000 + 1_000);

    private final Caller mCaller = new Caller();
    private FleetProcesses mFleet;

    @BeforeClass
    public void start() throws Exception {
        mFleet =
                FleetProcesses.builder().settings("[backend]\nprogress_timeout_ms = 700\n").start();
        for (EntryProcess entry : mFleet.entries()) {
            awaitWhole(entry, Ask.of(FleetProcesses.DRAFT, "first"));
            awaitWholeOrder(entry);
        }
    }

    @AfterMethod(alwaysRun = true)
    public void reset() throws Exception {
        for (String pool : List.of("generate", "retrieve", "office")) {
            for (StandinProcess server : mFleet.pool(pool)) {
                server.control("{\"reset\":true}");
            }
        }
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        if (mFleet != null) {
            mFleet.close();
        }
    }

    @DataProvider
    public Object[][] truncations() {
        return new Object[][] {
            {"generate", FleetProcesses.DRAFT, true, "CUT"},
            {"generate", FleetProcesses.DRAFT, true, "CLEAN"},
            {"generate", "bulletin", false, "CUT"},
            {"generate", "bulletin", false, "CLEAN"},
            {"retrieve", "registry", false, "CUT"},
            {"retrieve", "registry", false, "CLEAN"},
        };
    }

    @Test(dataProvider = "truncations")
    public void a_truncated_answer_is_never_passed_on_as_whole(
            String pool, String workClass, boolean stream, String how) throws Exception {
        // given
        for (StandinProcess server : mFleet.pool(pool)) {
            server.control("{\"truncate\":\"" + how + "\"}");
        }
        // when
        for (EntryProcess entry : mFleet.entries()) {
            // The same content would count as poison after two lost connections.
            Ask ask = Ask.of(workClass, "truncated " + workClass + how + entry.vm());
            Answer answer = mCaller.send(entry.uri(), stream ? ask.streamed() : ask);
            // then
            assertThat(answer.kind())
                    .as("answer of %s: %s", entry.vm(), answer)
                    .isEqualTo(Answer.Kind.REFUSED);
            assertThat(answer.verdict()).as("%s", answer).isNotEqualTo("NOT_RUN");
        }
        reset();
        for (EntryProcess entry : mFleet.entries()) {
            awaitWhole(entry, Ask.of(workClass, "after " + how));
        }
    }

    @Test
    public void a_stream_that_one_server_truncates_is_whole_or_refused() throws Exception {
        // given
        mFleet.server("generate-1").control("{\"truncate\":\"CUT\"}");
        // when
        int whole = 0;
        for (int i = 0; i < 12; i++) {
            EntryProcess entry = mFleet.entry(i % 3);
            Ask ask = Ask.of(FleetProcesses.DRAFT, "one of two " + i).streamed();
            Answer answer = mCaller.send(entry.uri(), ask);
            // then
            assertThat(answer.kind()).as("%s", answer).isIn(Answer.Kind.WHOLE, Answer.Kind.REFUSED);
            if (answer.isWhole()) {
                assertComplete(answer, ask);
                whole++;
            }
        }
        System.out.println("BrokenAnswerProcessTest whole with one truncating server: " + whole);
        assertThat(whole).isPositive();
    }

    @Test
    public void a_silent_connection_of_a_stage_that_is_not_repeatable_may_have_run()
            throws Exception {
        for (EntryProcess entry : mFleet.entries()) {
            // given: the connections in use go silent
            awaitWholeOrder(entry);
            sendOrders(entry, "before");
            for (StandinProcess server : mFleet.pool("office")) {
                server.control("{\"silent\":\"EXISTING\"}");
            }
            // when: some orders take one of them, others may open a new one
            List<TimedAnswer> answers = sendOrders(entry, "silent");
            // then
            int silent = 0;
            for (TimedAnswer timed : answers) {
                assertThat(timed.elapsed()).as("%s", timed).isLessThan(ORDER_LIMIT);
                if (!timed.answer().isWhole()) {
                    silent++;
                    assertThat(timed.answer().verdict()).as("%s", timed).isEqualTo("MAY_HAVE_RUN");
                }
            }
            System.out.println(
                    "BrokenAnswerProcessTest silent: " + silent + " of " + answers.size());
            assertThat(silent).as("orders on a silent connection").isPositive();
            // Connections that were open stay silent; new ones work.
            Duration recovery = awaitWholeOrder(entry);
            System.out.println("BrokenAnswerProcessTest works again after " + recovery);
        }
    }

    /** Thread safety: immutable. */
    private record TimedAnswer(Answer answer, Duration elapsed) {}

    private List<TimedAnswer> sendOrders(EntryProcess entry, String text) throws Exception {
        List<CompletableFuture<TimedAnswer>> answers = new ArrayList<>();
        for (int i = 0; i < CONCURRENT_ORDERS; i++) {
            String key = mCaller.key(entry.uri(), FleetProcesses.ORDER);
            Ask ask = Ask.keyed(FleetProcesses.ORDER, text + " " + i, key);
            CompletableFuture<TimedAnswer> answer = new CompletableFuture<>();
            answers.add(answer);
            Thread thread = new Thread(() -> answer.complete(sendTimed(entry, ask)), "order");
            thread.setDaemon(true);
            thread.start();
        }
        List<TimedAnswer> ended = new ArrayList<>();
        for (CompletableFuture<TimedAnswer> answer : answers) {
            ended.add(answer.get());
        }
        return ended;
    }

    private TimedAnswer sendTimed(EntryProcess entry, Ask ask) {
        long start = System.nanoTime();
        Answer answer = mCaller.send(entry.uri(), ask);
        return new TimedAnswer(answer, Duration.ofNanos(System.nanoTime() - start));
    }

    private static void assertComplete(Answer answer, Ask ask) {
        String id = answer.body().path("request_id").asText();
        StageOutput expected = StageOutput.of(id, "generate", ask.input());
        assertThat(answer.output()).isEqualTo(expected.text(0, TOKENS));
        assertThat(answer.body().path("tokens").asInt()).isEqualTo(TOKENS);
    }

    private Duration awaitWhole(EntryProcess entry, Ask ask) throws Exception {
        return Await.until(
                "a whole answer of " + entry.vm() + " to " + ask,
                FleetProcesses.START_LIMIT,
                () -> mCaller.send(entry.uri(), ask).isWhole());
    }

    private Duration awaitWholeOrder(EntryProcess entry) throws Exception {
        return Await.until(
                "a whole answer of " + entry.vm() + " to an order",
                RECOVERY_LIMIT,
                () -> {
                    String key = mCaller.key(entry.uri(), FleetProcesses.ORDER);
                    Ask ask = Ask.keyed(FleetProcesses.ORDER, "order", key);
                    return mCaller.send(entry.uri(), ask).isWhole();
                });
    }
}
