package org.bulrushvale.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.bulrushvale.systemtests.harness.Await;
import org.bulrushvale.systemtests.harness.CallerClient;
import org.bulrushvale.systemtests.harness.CallerClient.TestRequest;
import org.bulrushvale.systemtests.harness.Digests;
import org.bulrushvale.systemtests.harness.EntryProcess;
import org.bulrushvale.systemtests.harness.FleetProcesses;
import org.bulrushvale.systemtests.harness.RequestResult;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against an idempotency key whose request runs twice: when it is sent through several
 * entries, when the entry that holds the key is killed, and when that entry is paused. Also guards
 * against a refusal with {@code NOT_RUN} although the request ran (guarantees G5 and G6).
 */
public class AtMostOnceProcessTest {
    private static final int KEYS_PER_ENTRY = 6;
    // The class deadline is 3 s; no timeout between entries or to a server is longer than that.
    private static final Duration BEYOND_EVERY_TIMEOUT = Duration.ofSeconds(7);
    private static final Duration RECOVERY_LIMIT = Duration.ofSeconds(30);

    private final CallerClient mClient = new CallerClient();
    private FleetProcesses mFleet;

    /**
     * A key, the entry that issued and holds it, and the input that is sent with it.
     *
     * <p>Thread safety: immutable.
     */
    private record IssuedKey(String key, EntryProcess holder, String input) {}

    @BeforeMethod
    public void start() throws Exception {
        mFleet = FleetProcesses.builder().start();
        for (EntryProcess entry : mFleet.entries()) {
            awaitNewKeyWorks(entry);
        }
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        if (mFleet != null) {
            mFleet.close();
        }
    }

    @Test
    public void a_key_sent_through_all_entries_at_once_runs_once() throws Exception {
        // given
        List<IssuedKey> issuedKeys = issueKeys("at once");
        Map<IssuedKey, List<CompletableFuture<RequestResult>>> results = new LinkedHashMap<>();
        // when
        for (IssuedKey issuedKey : issuedKeys) {
            results.put(issuedKey, sendKeyToAllEntries(issuedKey));
        }
        // then
        for (IssuedKey issuedKey : issuedKeys) {
            for (CompletableFuture<RequestResult> result : results.get(issuedKey)) {
                assertThat(result.get().isWhole()).as("%s", result.get()).isTrue();
            }
            assertThat(results.get(issuedKey).stream().map(a -> requestIdOf(a.join())).distinct())
                    .as("requests that ran for one key")
                    .hasSize(1);
        }
        assertNoKeyRanTwice(issuedKeys);
        // when the same key is sent with another body
        IssuedKey first = issuedKeys.get(0);
        RequestResult conflict =
                mClient.send(
                        mFleet.entry(2).callerUri(),
                        TestRequest.keyed(FleetProcesses.ORDER_CLASS, "another body", first.key()));
        // then
        assertThat(conflict.code()).isEqualTo("KEY_CONFLICT");
        assertThat(mFleet.runsByInputDigest()).doesNotContainKey(Digests.sha256("another body"));
    }

    @Test
    public void killing_a_holder_affects_only_its_keys_and_runs_none_twice() throws Exception {
        // given: the requests of all keys of the first entry, a third of all keys, have run
        List<IssuedKey> issuedKeys = issueKeys("before the death");
        for (int i = 0; i < issuedKeys.size(); i += 3) {
            assertThat(sendKey(issuedKeys.get(i), mFleet.entry(1)).isWhole()).isTrue();
        }
        EntryProcess killedHolder = mFleet.entry(0);
        // when
        killedHolder.process().kill();
        long killed = System.nanoTime();
        EntryProcess other = mFleet.entry(1);
        awaitNewKeyWorks(other);
        Duration newKeyRecovery = Duration.ofNanos(System.nanoTime() - killed);
        int refused = 0;
        for (IssuedKey issuedKey : issuedKeys) {
            RequestResult result = sendKey(issuedKey, mFleet.entry(2));
            // then
            if (!result.isWhole()) {
                refused++;
                assertThat(issuedKey.holder()).as("%s", result).isSameAs(killedHolder);
                assertThat(result.verdict()).as("%s", result).isEqualTo("MAY_HAVE_RUN");
            }
        }
        assertThat(refused).isLessThanOrEqualTo(issuedKeys.size() / mFleet.entries().size());
        // when the holder's VM starts again, as another incarnation
        killedHolder.restart();
        killedHolder.awaitReady();
        awaitNewKeyWorks(killedHolder);
        Duration restartRecovery = Duration.ofNanos(System.nanoTime() - killed);
        for (IssuedKey issuedKey : issuedKeys) {
            RequestResult result = sendKey(issuedKey, killedHolder);
            // then
            assertThat(result.verdict()).as("%s", result).isIn("RAN", "MAY_HAVE_RUN");
        }
        assertNoKeyRanTwice(issuedKeys);
        System.out.printf(
                "AtMostOnceProcessTest refused %d of %d keys after one death; new keys work after"
                        + " %s, through the restarted entry after %s; the refused keys stay"
                        + " refused%n",
                refused, issuedKeys.size(), newKeyRecovery, restartRecovery);
    }

    @Test
    public void a_key_never_runs_twice_when_its_holder_is_paused_and_resumed() throws Exception {
        // given
        List<IssuedKey> issuedKeys = issueKeys("around the pause");
        EntryProcess paused = mFleet.entry(0);
        List<IssuedKey> keysOfPausedEntry =
                issuedKeys.stream().filter(key -> key.holder() == paused).toList();
        // when
        paused.process().pause();
        Map<IssuedKey, List<CompletableFuture<RequestResult>>> results = new LinkedHashMap<>();
        for (IssuedKey issuedKey : keysOfPausedEntry) {
            results.put(issuedKey, List.of(sendKeyAsync(issuedKey, mFleet.entry(1))));
        }
        Await.holdsFor(
                "no key of the paused holder runs",
                BEYOND_EVERY_TIMEOUT,
                () -> runsOf(keysOfPausedEntry) == 0);
        for (IssuedKey issuedKey : keysOfPausedEntry) {
            for (CompletableFuture<RequestResult> result : results.get(issuedKey)) {
                // then: the paused holder may still run the request that was forwarded to it
                assertThat(result.get().verdict()).as("%s", result.get()).isEqualTo("MAY_HAVE_RUN");
            }
        }
        // when
        paused.process().resume();
        for (IssuedKey issuedKey : issuedKeys) {
            results.put(issuedKey, sendKeyToAllEntries(issuedKey));
        }
        // then
        int wholeResults = 0;
        for (IssuedKey issuedKey : issuedKeys) {
            for (CompletableFuture<RequestResult> result : results.get(issuedKey)) {
                wholeResults += result.get().isWhole() ? 1 : 0;
                assertVerdictAllowsRun(issuedKey, result.get());
            }
        }
        assertThat(runsOf(issuedKeys)).isLessThanOrEqualTo(issuedKeys.size());
        assertThat(mFleet.runsByInputDigest().values()).allMatch(count -> count == 1);
        System.out.println(
                "AtMostOnceProcessTest after the pause: "
                        + wholeResults
                        + " of "
                        + 3 * issuedKeys.size()
                        + " answers whole, "
                        + runsOf(issuedKeys)
                        + " of "
                        + issuedKeys.size()
                        + " keys ran");
        // when the same keys are sent once more
        for (IssuedKey issuedKey : issuedKeys) {
            RequestResult result = sendKey(issuedKey, mFleet.entry(2));
            // then
            assertThat(result.isWhole()).as("%s", result).isTrue();
        }
        assertNoKeyRanTwice(issuedKeys);
    }

    private List<IssuedKey> issueKeys(String text) {
        List<IssuedKey> issuedKeys = new ArrayList<>();
        for (int i = 0; i < KEYS_PER_ENTRY; i++) {
            for (EntryProcess entry : mFleet.entries()) {
                String key = mClient.obtainKey(entry.callerUri(), FleetProcesses.ORDER_CLASS);
                issuedKeys.add(new IssuedKey(key, entry, text + " " + entry.vm() + " " + i));
            }
        }
        return issuedKeys;
    }

    private RequestResult sendKey(IssuedKey issuedKey, EntryProcess entry) {
        return mClient.send(
                entry.callerUri(),
                TestRequest.keyed(FleetProcesses.ORDER_CLASS, issuedKey.input(), issuedKey.key()));
    }

    private CompletableFuture<RequestResult> sendKeyAsync(IssuedKey issuedKey, EntryProcess entry) {
        CompletableFuture<RequestResult> result = new CompletableFuture<>();
        Thread thread = new Thread(() -> result.complete(sendKey(issuedKey, entry)), "present");
        thread.setDaemon(true);
        thread.start();
        return result;
    }

    private List<CompletableFuture<RequestResult>> sendKeyToAllEntries(IssuedKey issuedKey) {
        return mFleet.entries().stream().map(entry -> sendKeyAsync(issuedKey, entry)).toList();
    }

    private static String requestIdOf(RequestResult result) {
        return result.body().path("request_id").asText();
    }

    private int runsOf(List<IssuedKey> issuedKeys) throws Exception {
        Map<String, Integer> runs = mFleet.runsByInputDigest();
        return issuedKeys.stream()
                .mapToInt(issuedKey -> runs.getOrDefault(Digests.sha256(issuedKey.input()), 0))
                .sum();
    }

    /**
     * The same key is sent through all entries, so one of the other sends may run it: no result may
     * be {@code NOT_RUN}.
     */
    private static void assertVerdictAllowsRun(IssuedKey issuedKey, RequestResult result) {
        assertThat(result.verdict())
                .as("key of %s, sent through all entries: %s", issuedKey.holder().vm(), result)
                .isIn("RAN", "MAY_HAVE_RUN");
    }

    private void assertNoKeyRanTwice(List<IssuedKey> issuedKeys) throws Exception {
        Map<String, Integer> runs = mFleet.runsByInputDigest();
        assertThat(runs.values()).as("runs per input").allMatch(count -> count == 1);
        assertThat(issuedKeys)
                .as("keys that ran more than once")
                .allMatch(
                        issuedKey -> runs.getOrDefault(Digests.sha256(issuedKey.input()), 0) <= 1);
    }

    private void awaitNewKeyWorks(EntryProcess entry) throws Exception {
        int[] attempt = new int[1];
        Await.until(
                "a new key works through " + entry.vm(),
                RECOVERY_LIMIT,
                () -> {
                    RequestResult issued =
                            mClient.requestKey(entry.callerUri(), FleetProcesses.ORDER_CLASS);
                    String input = "new key " + System.nanoTime() + " " + attempt[0]++;
                    return issued.isWhole()
                            && mClient.send(
                                            entry.callerUri(),
                                            TestRequest.keyed(
                                                    FleetProcesses.ORDER_CLASS,
                                                    input,
                                                    issued.body().path("key").asText()))
                                    .isWhole();
                });
    }
}
