package org.bulrushvale.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.bulrushvale.systemtests.harness.Await;
import org.bulrushvale.systemtests.harness.CallerClient;
import org.bulrushvale.systemtests.harness.CallerClient.TestRequest;
import org.bulrushvale.systemtests.harness.EntryProcess;
import org.bulrushvale.systemtests.harness.FleetProcesses;
import org.bulrushvale.systemtests.harness.RawCaller;
import org.bulrushvale.systemtests.harness.RawCaller.Answer;
import org.bulrushvale.systemtests.harness.RequestResult;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against an entry that exits, after a signal or an order to drain, while a request is still
 * read or its answer is still written (guarantee G8).
 */
public class GracefulExitProcessTest {
    private static final String SETTINGS =
            """
            [drain]
            readiness_delay_ms = 500
            settle_ms = 1000
            handover_ms = 1
            [backend]
            progress_timeout_ms = 4000
            """;
    private static final Duration EXIT_LIMIT = Duration.ofSeconds(30);
    private static final String DRAFT = FleetProcesses.DRAFT_CLASS;
    private static final String LONG_CLASS = "long-answer";
    private static final int SMALL_RECEIVE_BUFFER = 65_536;

    private FleetProcesses mFleet;
    private EntryProcess mEntry;

    @BeforeClass
    public void startFleet() throws Exception {
        mFleet =
                FleetProcesses.builder()
                        .server("generate-1", "--token-us", "1")
                        .server("generate-2", "--token-us", "1")
                        .settings(SETTINGS)
                        .start();
        publishLongClass();
    }

    @AfterClass(alwaysRun = true)
    public void stopFleet() {
        if (mFleet != null) {
            mFleet.close();
        }
    }

    @BeforeMethod
    public void restartEntry() throws Exception {
        for (String pool : List.of("generate", "office")) {
            delayAnswers(pool, 0);
        }
        mEntry = mFleet.entry(0);
        mEntry.restart();
        mEntry.awaitReady();
        // A request succeeds only once the entry may use the model runners.
        Await.until(
                "a whole answer",
                FleetProcesses.START_TIMEOUT,
                () ->
                        new CallerClient()
                                .send(mEntry.callerUri(), TestRequest.of(LONG_CLASS, "first"))
                                .isWhole());
    }

    @Test
    public void answers_that_are_still_written_end_before_the_exit() throws Exception {
        // given a caller that does not read, so that the answers fill the socket buffers
        try (RawCaller caller = RawCaller.connect(mEntry.callerUri(), SMALL_RECEIVE_BUFFER)) {
            int requests = 8;
            for (int i = 0; i < requests; i++) {
                String input = "long " + i;
                caller.send(
                        i % 2 == 0
                                ? RawCaller.request(LONG_CLASS, input, 100_000)
                                : RawCaller.streamedRequest(LONG_CLASS, input, 100_000));
            }
            awaitNoProgress();
            // when
            mEntry.process().terminate();
            awaitState("FINISHING");
            RawCaller.idle(Duration.ofMillis(500));
            // then
            List<Answer> answers = new ArrayList<>();
            for (int i = 0; i < requests; i++) {
                answers.add(caller.readAnswer());
            }
            assertThat(answers).allMatch(Answer::isWholeOrNotRun);
            assertThat(answers.get(0).status()).isEqualTo(200);
        }
        mEntry.process().awaitExit(EXIT_LIMIT);
    }

    @Test
    public void half_read_requests_are_refused_before_the_exit() throws Exception {
        String request = RawCaller.request(DRAFT, "sent slowly", 4);
        try (RawCaller halfHead = RawCaller.connect(mEntry.callerUri());
                RawCaller halfBody = RawCaller.connect(mEntry.callerUri());
                RawCaller secondOfTwo = RawCaller.connect(mEntry.callerUri())) {
            // given
            int headCut = request.indexOf("Authorization");
            int bodyCut = request.length() - 10;
            halfHead.send(request.substring(0, headCut));
            halfBody.send(request.substring(0, bodyCut));
            secondOfTwo.send(request + request.substring(0, bodyCut));
            assertThat(secondOfTwo.readAnswer().status()).isEqualTo(200);
            // when
            mEntry.process().terminate();
            awaitState("FINISHING");
            RawCaller.idle(Duration.ofMillis(500));
            sendIfOpen(halfHead, request.substring(headCut));
            sendIfOpen(halfBody, request.substring(bodyCut));
            sendIfOpen(secondOfTwo, request.substring(bodyCut));
            // then
            List<Answer> answers =
                    Stream.of(halfHead, halfBody, secondOfTwo).map(RawCaller::readAnswer).toList();
            assertThat(answers).extracting(Answer::status).containsExactly(503, 503, 503);
            assertThat(answers).allMatch(Answer::isWholeOrNotRun);
        }
        mEntry.process().awaitExit(EXIT_LIMIT);
    }

    @Test
    public void requests_that_arrive_during_a_pause_of_the_shutdown_are_answered()
            throws Exception {
        List<RawCaller> callers = new ArrayList<>();
        try {
            // given
            for (int i = 0; i < 40; i++) {
                RawCaller caller = RawCaller.connect(mEntry.callerUri());
                callers.add(caller);
                caller.send("GET /readyz HTTP/1.1\r\nHost: entry\r\n\r\n");
                assertThat(caller.readAnswer().status()).isEqualTo(200);
            }
            // when
            mEntry.process().terminate();
            awaitState("LISTENERS_CLOSED");
            mEntry.process().pause();
            for (RawCaller caller : callers) {
                caller.send(RawCaller.request(DRAFT, "during the pause", 4));
            }
            RawCaller.idle(Duration.ofMillis(1_500));
            mEntry.process().resume();
            // then
            List<Answer> answers = callers.stream().map(RawCaller::readAnswer).toList();
            assertThat(answers).allMatch(Answer::isWholeOrNotRun);
        } finally {
            for (RawCaller caller : callers) {
                caller.close();
            }
        }
        mEntry.process().awaitExit(EXIT_LIMIT);
    }

    @Test
    public void connections_made_during_a_pause_of_the_shutdown_are_answered() throws Exception {
        List<RawCaller> callers = new ArrayList<>();
        try {
            // given connections that the entry has not accepted when its listener is to close
            mEntry.process().terminate();
            awaitState("UNREADY");
            mEntry.process().pause();
            for (int i = 0; i < 300; i++) {
                RawCaller caller = RawCaller.connect(mEntry.callerUri());
                callers.add(caller);
                caller.send(RawCaller.request(DRAFT, "during the pause", 4));
            }
            RawCaller.idle(Duration.ofMillis(1_000));
            // when
            mEntry.process().resume();
            // then
            List<Answer> answers = callers.stream().map(RawCaller::readAnswer).toList();
            assertThat(answers).allMatch(Answer::isWholeOrNotRun);
        } finally {
            for (RawCaller caller : callers) {
                caller.close();
            }
        }
        mEntry.process().awaitExit(EXIT_LIMIT);
    }

    @Test
    public void a_hangup_signal_does_not_end_an_entry() throws Exception {
        // when
        mEntry.process().hangUp();
        // then
        Await.holdsFor("ready", Duration.ofSeconds(2), mEntry::isReady);
    }

    @Test
    public void a_termination_signal_during_the_start_interrupts_no_request() throws Exception {
        String request = RawCaller.request(DRAFT, "early", 4);
        int cut = request.length() - 10;
        for (int i = 0; i < 3; i++) {
            // given
            mEntry.restart();
            try (RawCaller caller = connectAtOnce()) {
                caller.send(request.substring(0, cut));
                // when
                mEntry.process().terminate();
                RawCaller.idle(Duration.ofMillis(200));
                sendIfOpen(caller, request.substring(cut));
                // then
                Answer answer = caller.readAnswer();
                assertThat(answer.isWholeOrNotRun()).as(answer.toString()).isTrue();
            }
            mEntry.process().awaitExit(EXIT_LIMIT);
        }
    }

    @Test
    public void further_signals_during_a_shutdown_interrupt_no_request() throws Exception {
        // given
        List<CompletableFuture<RequestResult>> running = startSlowRequests();
        // when
        mEntry.process().terminate();
        awaitState("UNREADY");
        mEntry.process().terminate();
        mEntry.process().hangUp();
        awaitState("FINISHING");
        mEntry.process().terminate();
        // then
        for (CompletableFuture<RequestResult> result : running) {
            assertThat(result.get().isWhole()).as(result.get().toString()).isTrue();
        }
        mEntry.process().awaitExit(EXIT_LIMIT);
    }

    @Test
    public void a_termination_signal_after_an_order_to_drain_interrupts_no_request()
            throws Exception {
        // given
        List<CompletableFuture<RequestResult>> running = startSlowRequests();
        // when
        mEntry.drain();
        awaitState("FINISHING");
        mEntry.process().terminate();
        // then
        for (CompletableFuture<RequestResult> result : running) {
            assertThat(result.get().isWhole()).as(result.get().toString()).isTrue();
        }
        mEntry.process().awaitExit(EXIT_LIMIT);
    }

    /** Starts requests of all kinds that last until after the entry has closed its listeners. */
    private List<CompletableFuture<RequestResult>> startSlowRequests() throws Exception {
        EntryProcess peer = mFleet.entry(1);
        CallerClient client = new CallerClient();
        Await.until(
                "keys are known to both entries",
                FleetProcesses.START_TIMEOUT,
                () -> sendOrder(mEntry, peer).isWhole() && sendOrder(peer, mEntry).isWhole());
        String ownKey = client.obtainKey(mEntry.callerUri(), FleetProcesses.ORDER_CLASS);
        String peerKey = client.obtainKey(peer.callerUri(), FleetProcesses.ORDER_CLASS);
        delayAnswers("generate", 2_000);
        delayAnswers("office", 2_000);
        List<CompletableFuture<RequestResult>> running =
                List.of(
                        send(mEntry, TestRequest.of(DRAFT, "slow")),
                        send(mEntry, TestRequest.of(DRAFT, "slow stream").streamed()),
                        send(
                                mEntry,
                                TestRequest.keyed(FleetProcesses.ORDER_CLASS, "to peer", peerKey)),
                        send(
                                peer,
                                TestRequest.keyed(
                                        FleetProcesses.ORDER_CLASS, "from peer", ownKey)));
        Await.until(
                "requests in progress",
                FleetProcesses.START_TIMEOUT,
                () -> mEntry.report("status").path("active_requests").asInt() == 3);
        return running;
    }

    private static CompletableFuture<RequestResult> send(EntryProcess entry, TestRequest request) {
        return CompletableFuture.supplyAsync(
                () -> new CallerClient().send(entry.callerUri(), request));
    }

    /** Publishes a class whose long answers are not streamed by the model runners. */
    private void publishLongClass() throws Exception {
        ArrayNode pipelines = mFleet.publishedValue("pipelines");
        pipelines
                .addObject()
                .put("name", LONG_CLASS)
                .putArray("stages")
                .addObject()
                .put("name", "generate")
                .put("pool", "generate")
                .put("repeatable", true)
                .put("streams", false);
        mFleet.publish("pipelines", pipelines);
        ArrayNode classes = mFleet.publishedValue("classes");
        classes.addObject()
                .put("name", LONG_CLASS)
                .put("target", 0.99)
                .put("deadline_ms", 5_000)
                .put("worth", 1)
                .put("pipeline", LONG_CLASS)
                .put("idempotent", true);
        mFleet.publish("classes", classes);
    }

    private static RequestResult sendOrder(EntryProcess holder, EntryProcess entry) {
        CallerClient client = new CallerClient();
        String key = client.obtainKey(holder.callerUri(), FleetProcesses.ORDER_CLASS);
        return client.send(
                entry.callerUri(),
                TestRequest.keyed(FleetProcesses.ORDER_CLASS, "order " + key, key));
    }

    private void delayAnswers(String pool, int millis) throws Exception {
        for (var server : mFleet.serversOfPool(pool)) {
            server.control("{\"delay_ms\":" + millis + "}");
        }
    }

    private void awaitState(String state) throws InterruptedException {
        mEntry.process().awaitLine(Pattern.compile("shutdown: (" + state + ")"));
    }

    private void awaitNoProgress() throws Exception {
        long[] completed = {-1};
        long[] since = {System.nanoTime()};
        Await.until(
                "the answers fill the buffers",
                FleetProcesses.START_TIMEOUT,
                () -> {
                    long now = 0;
                    for (var server : mFleet.serversOfPool("generate")) {
                        now += server.count("completed");
                    }
                    boolean idle = mEntry.report("status").path("active_requests").asInt() == 0;
                    if (!idle || now != completed[0]) {
                        completed[0] = now;
                        since[0] = System.nanoTime();
                    }
                    return System.nanoTime() - since[0] > Duration.ofSeconds(1).toNanos();
                });
    }

    private RawCaller connectAtOnce() throws Exception {
        RawCaller[] caller = new RawCaller[1];
        long deadline = System.nanoTime() + FleetProcesses.START_TIMEOUT.toNanos();
        while (caller[0] == null && System.nanoTime() - deadline < 0) {
            try {
                caller[0] = RawCaller.connect(mEntry.callerUri());
            } catch (ConnectException expected) {
                Thread.onSpinWait();
            }
        }
        return caller[0];
    }

    private static void sendIfOpen(RawCaller caller, String bytes) {
        try {
            caller.send(bytes);
        } catch (java.io.IOException expected) {
            // The answer, if any, tells how the connection ended.
        }
    }
}
