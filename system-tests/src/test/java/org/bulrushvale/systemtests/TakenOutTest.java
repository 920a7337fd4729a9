package org.bulrushvale.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.bulrushvale.systemtests.harness.Answer;
import org.bulrushvale.systemtests.harness.Await;
import org.bulrushvale.systemtests.harness.Caller;
import org.bulrushvale.systemtests.harness.Caller.Ask;
import org.bulrushvale.systemtests.harness.EntryProcess;
import org.bulrushvale.systemtests.harness.FleetProcesses;
import org.bulrushvale.systemtests.harness.StandinProcess;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against new work at a failure domain that was taken out of service (G3) or at a server
 * that is leaving (G7): from an entry that was paused when this was published, and from one that
 * can learn it only from its peers because the configuration service went down.
 */
public class TakenOutTest {
    private static final Duration LIMIT = Duration.ofSeconds(4);
    private static final int REQUESTS = 12;

    private final Caller mCaller = new Caller();
    private FleetProcesses mFleet;

    @BeforeMethod
    public void start() throws Exception {
        mFleet = FleetProcesses.builder().start();
        for (EntryProcess entry : mFleet.entries()) {
            awaitWhole(entry);
        }
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        if (mFleet != null) {
            mFleet.close();
        }
    }

    @Test
    public void a_domain_out_of_service_gets_no_new_work() throws Exception {
        // given
        List<StandinProcess> out = serversOf("como");
        awaitWorkAt(out);
        ArrayNode domains = mFleet.value("domains");
        for (JsonNode domain : domains) {
            if (domain.path("name").asText().equals("como")) {
                ((ObjectNode) domain).put("in_service", false);
            }
        }
        // when, then
        assertNoNewWork("domains", domains, out);
    }

    @Test
    public void a_leaving_server_gets_no_new_work() throws Exception {
        // given
        List<StandinProcess> out = List.of(mFleet.server("retrieve-1"));
        awaitWorkAt(out);
        ArrayNode backends = mFleet.value("backends");
        for (JsonNode server : backends) {
            if (server.path("name").asText().equals("retrieve-1")) {
                ((ObjectNode) server).put("state", "leaving");
            }
        }
        // when, then
        assertNoNewWork("backends", backends, out);
    }

    private void assertNoNewWork(String name, ArrayNode value, List<StandinProcess> out)
            throws Exception {
        EntryProcess informed = mFleet.entry(0);
        EntryProcess peerTaught = mFleet.entry(1);
        EntryProcess paused = mFleet.entry(2);
        // when published while two entries are paused, and the service goes down afterwards
        peerTaught.process().pause();
        paused.process().pause();
        long published = System.nanoTime();
        long revision = mFleet.publish(name, value);
        Duration first =
                Await.until(
                        "revision " + revision + " in force at " + informed.vm(),
                        LIMIT,
                        () -> informed.revision() >= revision);
        mFleet.config().control("{\"down\":\"RESET\"}");
        peerTaught.process().resume();
        // then 4 s after the publication the running entries send nothing there
        Await.until(
                "4 s since the publication",
                LIMIT.multipliedBy(2),
                () -> System.nanoTime() - published >= LIMIT.toNanos());
        long before = calls(out);
        int whole = send(informed) + send(peerTaught);
        assertThat(calls(out) - before).as("new work from running entries").isZero();
        assertThat(whole).as("whole answers of other servers").isEqualTo(2 * REQUESTS);
        assertThat(peerTaught.revision()).isEqualTo(revision);
        // when requests wait at the entry that is still paused, and it resumes
        List<CompletableFuture<Answer>> waiting = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            waiting.add(sendLater(paused, i));
        }
        paused.process().resume();
        int resumedWhole = 0;
        for (CompletableFuture<Answer> answer : waiting) {
            resumedWhole += answer.get().isWhole() ? 1 : 0;
            // then
            assertThat(answer.get().kind())
                    .as("%s", answer.get())
                    .isIn(Answer.Kind.WHOLE, Answer.Kind.REFUSED);
        }
        assertThat(calls(out) - before).as("new work from the resumed entry").isZero();
        awaitWhole(paused);
        assertThat(send(paused)).isEqualTo(REQUESTS);
        assertThat(calls(out) - before).as("later work from the resumed entry").isZero();
        System.out.printf(
                "TakenOutTest %s: in force at the informed entry after %s; the resumed entry"
                        + " answered %d of %d waiting requests whole%n",
                name, first, resumedWhole, REQUESTS);
    }

    private List<StandinProcess> serversOf(String domain) {
        List<StandinProcess> servers = new ArrayList<>();
        for (JsonNode server : mFleet.value("backends")) {
            if (server.path("failure_domain").asText().equals(domain)) {
                servers.add(mFleet.server(server.path("name").asText()));
            }
        }
        return servers;
    }

    /** Without work before, the absence of work afterwards would show nothing. */
    private void awaitWorkAt(List<StandinProcess> servers) throws Exception {
        for (EntryProcess entry : mFleet.entries()) {
            long before = calls(servers);
            Await.until(
                    "work from " + entry.vm() + " at servers to be taken out",
                    FleetProcesses.START_LIMIT,
                    () -> send(entry) >= 0 && calls(servers) > before);
        }
    }

    private static long calls(List<StandinProcess> servers) throws Exception {
        long calls = 0;
        for (StandinProcess server : servers) {
            calls += server.count("calls");
        }
        return calls;
    }

    private int send(EntryProcess entry) throws Exception {
        List<CompletableFuture<Answer>> answers = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            answers.add(sendLater(entry, i));
        }
        int whole = 0;
        for (CompletableFuture<Answer> answer : answers) {
            whole += answer.get().isWhole() ? 1 : 0;
        }
        return whole;
    }

    private CompletableFuture<Answer> sendLater(EntryProcess entry, int number) {
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        Ask ask = Ask.of("registry", "registry " + number);
        Thread thread = new Thread(() -> answer.complete(mCaller.send(entry.uri(), ask)), "send");
        thread.setDaemon(true);
        thread.start();
        return answer;
    }

    private void awaitWhole(EntryProcess entry) throws Exception {
        Await.until(
                "a whole answer through " + entry.vm(),
                FleetProcesses.START_LIMIT,
                () -> mCaller.send(entry.uri(), Ask.of("registry", "first")).isWhole());
    }
}
