package org.bulrushvale.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.bulrushvale.systemtests.harness.Answer;
import org.bulrushvale.systemtests.harness.Await;
import org.bulrushvale.systemtests.harness.Caller;
import org.bulrushvale.systemtests.harness.Caller.Ask;
import org.bulrushvale.systemtests.harness.Digests;
import org.bulrushvale.systemtests.harness.EntryProcess;
import org.bulrushvale.systemtests.harness.FleetProcesses;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a key that runs twice when it is presented through several entries, when its
 * holder dies and when its holder is paused, and against a refusal with {@code NOT_RUN} of a key
 * that ran (G6, G5).
 */
public class AtMostOnceProcessTest {
    private static final int KEYS_PER_ENTRY = 6;
    // The class deadline is 3 s, and no timeout between entries or to a server is longer.
    private static final Duration LONGER_THAN_EVERY_TIMEOUT = Duration.ofSeconds(7);
    private static final Duration RECOVERY_LIMIT = Duration.ofSeconds(30);

    private final Caller mCaller = new Caller();
    private FleetProcesses mFleet;

    /** Thread safety: immutable. */
    private record Held(String key, EntryProcess holder, String input) {}

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
    public void the_same_key_through_all_entries_at_once_runs_once() throws Exception {
        // given
        List<Held> held = issueKeys("at once");
        Map<Held, List<CompletableFuture<Answer>>> answers = new LinkedHashMap<>();
        // when
        for (Held one : held) {
            answers.put(one, presentEverywhere(one));
        }
        // then
        for (Held one : held) {
            for (CompletableFuture<Answer> answer : answers.get(one)) {
                assertThat(answer.get().isWhole()).as("%s", answer.get()).isTrue();
            }
            assertThat(answers.get(one).stream().map(a -> requestId(a.join())).distinct())
                    .as("requests that ran for one key")
                    .hasSize(1);
        }
        assertRunsOnce(held);
        // when the same key comes with another body
        Held first = held.get(0);
        Answer conflict =
                mCaller.send(
                        mFleet.entry(2).uri(),
                        Ask.keyed(FleetProcesses.ORDER, "another body", first.key()));
        // then
        assertThat(conflict.code()).isEqualTo("KEY_CONFLICT");
        assertThat(mFleet.runs()).doesNotContainKey(Digests.sha256("another body"));
    }

    @Test
    public void the_death_of_a_holder_refuses_only_its_keys_and_repeats_none() throws Exception {
        // given: a third of the keys of each holder ran before
        List<Held> held = issueKeys("before the death");
        for (int i = 0; i < held.size(); i += 3) {
            assertThat(present(held.get(i), mFleet.entry(1)).isWhole()).isTrue();
        }
        EntryProcess dead = mFleet.entry(0);
        // when
        dead.process().kill();
        long killed = System.nanoTime();
        EntryProcess other = mFleet.entry(1);
        awaitNewKeyWorks(other);
        Duration newKeys = Duration.ofNanos(System.nanoTime() - killed);
        int refused = 0;
        for (Held one : held) {
            Answer answer = present(one, mFleet.entry(2));
            // then
            if (!answer.isWhole()) {
                refused++;
                assertThat(one.holder()).as("%s", answer).isSameAs(dead);
                assertThat(answer.verdict()).as("%s", answer).isEqualTo("MAY_HAVE_RUN");
            }
        }
        assertThat(refused).isLessThanOrEqualTo(held.size() / mFleet.entries().size());
        // when the holder's VM starts again, as another incarnation
        dead.startAgain();
        dead.awaitReady();
        awaitNewKeyWorks(dead);
        Duration restarted = Duration.ofNanos(System.nanoTime() - killed);
        for (Held one : held) {
            Answer answer = present(one, dead);
            // then
            assertThat(answer.verdict()).as("%s", answer).isIn("RAN", "MAY_HAVE_RUN");
        }
        assertRunsOnce(held);
        System.out.printf(
                "AtMostOnceProcessTest refused %d of %d keys after one death; new keys work after"
                        + " %s, through the restarted entry after %s; the refused keys stay"
                        + " refused%n",
                refused, held.size(), newKeys, restarted);
    }

    @Test
    public void a_paused_holder_never_runs_a_key_twice() throws Exception {
        // given
        List<Held> held = issueKeys("around the pause");
        EntryProcess paused = mFleet.entry(0);
        List<Held> ownedByPaused = held.stream().filter(h -> h.holder() == paused).toList();
        // when
        paused.process().pause();
        Map<Held, List<CompletableFuture<Answer>>> during = new LinkedHashMap<>();
        for (Held one : ownedByPaused) {
            during.put(one, List.of(presentLater(one, mFleet.entry(1))));
        }
        Await.holdsFor(
                "no key of the paused holder runs",
                LONGER_THAN_EVERY_TIMEOUT,
                () -> runsOf(ownedByPaused) == 0);
        for (Held one : ownedByPaused) {
            for (CompletableFuture<Answer> answer : during.get(one)) {
                // then: the holder may still run what was forwarded to it
                assertThat(answer.get().verdict()).as("%s", answer.get()).isEqualTo("MAY_HAVE_RUN");
            }
        }
        // when
        paused.process().resume();
        for (Held one : held) {
            during.put(one, presentEverywhere(one));
        }
        // then
        int whole = 0;
        for (Held one : held) {
            for (CompletableFuture<Answer> answer : during.get(one)) {
                whole += answer.get().isWhole() ? 1 : 0;
                assertNotRunIsTrue(one, answer.get());
            }
        }
        assertThat(runsOf(held)).isLessThanOrEqualTo(held.size());
        assertThat(mFleet.runs().values()).allMatch(count -> count == 1);
        System.out.println(
                "AtMostOnceProcessTest after the pause: "
                        + whole
                        + " of "
                        + 3 * held.size()
                        + " answers whole, "
                        + runsOf(held)
                        + " of "
                        + held.size()
                        + " keys ran");
        // when the same keys are presented once more
        for (Held one : held) {
            Answer answer = present(one, mFleet.entry(2));
            // then
            assertThat(answer.isWhole()).as("%s", answer).isTrue();
        }
        assertRunsOnce(held);
    }

    private List<Held> issueKeys(String text) {
        List<Held> held = new ArrayList<>();
        for (int i = 0; i < KEYS_PER_ENTRY; i++) {
            for (EntryProcess entry : mFleet.entries()) {
                String key = mCaller.key(entry.uri(), FleetProcesses.ORDER);
                held.add(new Held(key, entry, text + " " + entry.vm() + " " + i));
            }
        }
        return held;
    }

    private Answer present(Held held, EntryProcess entry) {
        return mCaller.send(entry.uri(), Ask.keyed(FleetProcesses.ORDER, held.input(), held.key()));
    }

    private CompletableFuture<Answer> presentLater(Held held, EntryProcess entry) {
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        Thread thread = new Thread(() -> answer.complete(present(held, entry)), "present");
        thread.setDaemon(true);
        thread.start();
        return answer;
    }

    private List<CompletableFuture<Answer>> presentEverywhere(Held held) {
        return mFleet.entries().stream().map(entry -> presentLater(held, entry)).toList();
    }

    private static String requestId(Answer answer) {
        return answer.body().path("request_id").asText();
    }

    private int runsOf(List<Held> held) throws Exception {
        Map<String, Integer> runs = mFleet.runs();
        return held.stream()
                .mapToInt(one -> runs.getOrDefault(Digests.sha256(one.input()), 0))
                .sum();
    }

    /** A presentation that was refused with {@code NOT_RUN} leaves the key to the others. */
    private static void assertNotRunIsTrue(Held held, Answer answer) {
        assertThat(answer.verdict())
                .as("key of %s, presented through all entries: %s", held.holder().vm(), answer)
                .isIn("RAN", "MAY_HAVE_RUN");
    }

    private void assertRunsOnce(List<Held> held) throws Exception {
        Map<String, Integer> runs = mFleet.runs();
        assertThat(runs.values()).as("runs per input").allMatch(count -> count == 1);
        assertThat(held)
                .as("keys that ran more than once")
                .allMatch(one -> runs.getOrDefault(Digests.sha256(one.input()), 0) <= 1);
    }

    private void awaitNewKeyWorks(EntryProcess entry) throws Exception {
        int[] attempt = new int[1];
        Await.until(
                "a new key works through " + entry.vm(),
                RECOVERY_LIMIT,
                () -> {
                    Answer issued = mCaller.requestKey(entry.uri(), FleetProcesses.ORDER);
                    String input = "new key " + System.nanoTime() + " " + attempt[0]++;
                    return issued.isWhole()
                            && mCaller.send(
                                            entry.uri(),
                                            Ask.keyed(
                                                    FleetProcesses.ORDER,
                                                    input,
                                                    issued.body().path("key").asText()))
                                    .isWhole();
                });
    }
}
