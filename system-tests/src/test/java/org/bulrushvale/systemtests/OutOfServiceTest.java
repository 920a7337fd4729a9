package org.bulrushvale.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.bulrushvale.systemtests.harness.Await;
import org.bulrushvale.systemtests.harness.CallerClient;
import org.bulrushvale.systemtests.harness.CallerClient.TestRequest;
import org.bulrushvale.systemtests.harness.EntryProcess;
import org.bulrushvale.systemtests.harness.FleetProcesses;
import org.bulrushvale.systemtests.harness.RequestResult;
import org.bulrushvale.systemtests.harness.StandinProcess;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against new calls to a failure domain that was taken out of service (guarantee G3) or to a
 * server that is leaving (guarantee G7). The calls would come from an entry that was paused when
 * the change was published, or from one that can learn of the change only from its peers because
 * the configuration service went down.
 */
public class OutOfServiceTest {
    private static final Duration IN_FORCE_LIMIT = Duration.ofSeconds(4);
    private static final int REQUESTS_PER_ROUND = 12;

    private final CallerClient mClient = new CallerClient();
    private FleetProcesses mFleet;

    @BeforeMethod
    public void start() throws Exception {
        mFleet = FleetProcesses.builder().start();
        for (EntryProcess entry : mFleet.entries()) {
            awaitWholeAnswer(entry);
        }
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        if (mFleet != null) {
            mFleet.close();
        }
    }

    @Test
    public void a_failure_domain_out_of_service_gets_no_new_calls() throws Exception {
        // given
        List<StandinProcess> outOfServiceServers = serversOfDomain("como");
        awaitCallsFromEveryEntry(outOfServiceServers);
        ArrayNode domains = mFleet.publishedValue("domains");
        for (JsonNode domain : domains) {
            if (domain.path("name").asText().equals("como")) {
                ((ObjectNode) domain).put("in_service", false);
            }
        }
        // when, then
        assertNoNewCalls("domains", domains, outOfServiceServers);
    }

    @Test(groups = "known-red")
    public void a_leaving_server_gets_no_new_calls() throws Exception {
        // given
        List<StandinProcess> outOfServiceServers = List.of(mFleet.server("retrieve-1"));
        awaitCallsFromEveryEntry(outOfServiceServers);
        ArrayNode backends = mFleet.publishedValue("backends");
        for (JsonNode server : backends) {
            if (server.path("name").asText().equals("retrieve-1")) {
                ((ObjectNode) server).put("state", "leaving");
            }
        }
        // when, then
        assertNoNewCalls("backends", backends, outOfServiceServers);
    }

    private void assertNoNewCalls(
            String name, ArrayNode value, List<StandinProcess> outOfServiceServers)
            throws Exception {
        EntryProcess informedEntry = mFleet.entry(0);
        EntryProcess entryInformedByPeers = mFleet.entry(1);
        EntryProcess pausedEntry = mFleet.entry(2);
        // when the change is published while two entries are paused, and the configuration service
        // goes down afterwards
        entryInformedByPeers.process().pause();
        pausedEntry.process().pause();
        long published = System.nanoTime();
        long revision = mFleet.publish(name, value);
        Duration informedAfter =
                Await.until(
                        "revision " + revision + " in force at " + informedEntry.vm(),
                        IN_FORCE_LIMIT,
                        () -> informedEntry.revision() >= revision);
        mFleet.configService().control("{\"down\":\"RESET\"}");
        entryInformedByPeers.process().resume();
        // then, from 4 s after the publication, the running entries do not call these servers
        Await.until(
                "4 s since the publication",
                IN_FORCE_LIMIT.multipliedBy(2),
                () -> System.nanoTime() - published >= IN_FORCE_LIMIT.toNanos());
        long callsBefore = callCount(outOfServiceServers);
        int wholeResults = sendRound(informedEntry) + sendRound(entryInformedByPeers);
        assertThat(callCount(outOfServiceServers) - callsBefore)
                .as("new work from running entries")
                .isZero();
        assertThat(wholeResults)
                .as("whole answers of other servers")
                .isEqualTo(2 * REQUESTS_PER_ROUND);
        assertThat(entryInformedByPeers.revision()).isEqualTo(revision);
        // when requests wait at the entry that is still paused, and it resumes
        List<CompletableFuture<RequestResult>> waitingResults = new ArrayList<>();
        for (int i = 0; i < REQUESTS_PER_ROUND; i++) {
            waitingResults.add(sendAsync(pausedEntry, i));
        }
        pausedEntry.process().resume();
        int wholeAfterResume = 0;
        for (CompletableFuture<RequestResult> result : waitingResults) {
            wholeAfterResume += result.get().isWhole() ? 1 : 0;
            // then
            assertThat(result.get().kind())
                    .as("%s", result.get())
                    .isIn(RequestResult.Kind.WHOLE, RequestResult.Kind.REFUSED);
        }
        assertThat(callCount(outOfServiceServers) - callsBefore)
                .as("new work from the resumed entry")
                .isZero();
        awaitWholeAnswer(pausedEntry);
        assertThat(sendRound(pausedEntry)).isEqualTo(REQUESTS_PER_ROUND);
        assertThat(callCount(outOfServiceServers) - callsBefore)
                .as("later work from the resumed entry")
                .isZero();
        System.out.printf(
                "OutOfServiceTest %s: in force at the informed entry after %s; the resumed entry"
                        + " answered %d of %d waiting requests whole%n",
                name, informedAfter, wholeAfterResume, REQUESTS_PER_ROUND);
    }

    private List<StandinProcess> serversOfDomain(String domain) {
        List<StandinProcess> servers = new ArrayList<>();
        for (JsonNode server : mFleet.publishedValue("backends")) {
            if (server.path("failure_domain").asText().equals(domain)) {
                servers.add(mFleet.server(server.path("name").asText()));
            }
        }
        return servers;
    }

    /**
     * Waits until every entry has called the servers. Without calls before the change, their
     * absence afterwards would prove nothing.
     */
    private void awaitCallsFromEveryEntry(List<StandinProcess> servers) throws Exception {
        for (EntryProcess entry : mFleet.entries()) {
            long callsBefore = callCount(servers);
            Await.until(
                    "work from " + entry.vm() + " at servers to be taken out",
                    FleetProcesses.START_TIMEOUT,
                    () -> sendRound(entry) >= 0 && callCount(servers) > callsBefore);
        }
    }

    private static long callCount(List<StandinProcess> servers) throws Exception {
        long calls = 0;
        for (StandinProcess server : servers) {
            calls += server.count("calls");
        }
        return calls;
    }

    private int sendRound(EntryProcess entry) throws Exception {
        List<CompletableFuture<RequestResult>> results = new ArrayList<>();
        for (int i = 0; i < REQUESTS_PER_ROUND; i++) {
            results.add(sendAsync(entry, i));
        }
        int wholeResults = 0;
        for (CompletableFuture<RequestResult> result : results) {
            wholeResults += result.get().isWhole() ? 1 : 0;
        }
        return wholeResults;
    }

    private CompletableFuture<RequestResult> sendAsync(EntryProcess entry, int number) {
        CompletableFuture<RequestResult> result = new CompletableFuture<>();
        TestRequest request = TestRequest.of("registry", "registry " + number);
        Thread thread =
                new Thread(() -> result.complete(mClient.send(entry.callerUri(), request)), "send");
        thread.setDaemon(true);
        thread.start();
        return result;
    }

    private void awaitWholeAnswer(EntryProcess entry) throws Exception {
        Await.until(
                "a whole answer through " + entry.vm(),
                FleetProcesses.START_TIMEOUT,
                () ->
                        mClient.send(entry.callerUri(), TestRequest.of("registry", "first"))
                                .isWhole());
    }
}
