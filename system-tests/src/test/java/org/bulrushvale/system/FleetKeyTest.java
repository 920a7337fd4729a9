package org.bulrushvale.system;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a key that runs at two entries, or is called not run by one that cannot know. */
public class FleetKeyTest {
    private static final Duration LIMIT = Duration.ofSeconds(15);

    private EntryFleet mFleet;

    @BeforeMethod
    public void start() throws Exception {
        mFleet = EntryFleet.start(3);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        if (mFleet != null) {
            mFleet.close();
        }
    }

    @Test
    public void a_key_presented_through_three_entries_at_once_runs_once() throws Exception {
        // given
        String key = mFleet.issueKey("vm-1");
        mFleet.booking().control("{\"delay_ms\":300}");
        // when
        List<CompletableFuture<JsonNode>> answers = new ArrayList<>();
        for (String vm : List.of("vm-1", "vm-2", "vm-3")) {
            answers.add(CompletableFuture.supplyAsync(() -> book(vm, key)));
        }
        // then
        JsonNode first = answers.get(0).get();
        assertThat(first.path("verdict").asText()).as(first.toString()).isEqualTo("RAN");
        for (CompletableFuture<JsonNode> answer : answers) {
            assertThat(answer.get()).isEqualTo(first);
        }
        assertThat(mFleet.booking().ledger()).hasSize(1);
    }

    @Test
    public void a_killed_holder_leaves_its_keys_unrun_and_undecided() throws Exception {
        // given
        String used = mFleet.issueKey("vm-1");
        String unused = mFleet.issueKey("vm-1");
        assertThat(book("vm-2", used).path("verdict").asText()).isEqualTo("RAN");
        // when
        mFleet.kill("vm-1");
        // then
        for (String key : List.of(used, unused)) {
            JsonNode answer = book("vm-2", key);
            assertThat(answer.path("verdict").asText()).isEqualTo("MAY_HAVE_RUN");
            assertThat(answer.path("code").asText()).isEqualTo("KEY_HOLDER_UNREACHABLE");
            assertThat(answer.path("advice").asText()).isEqualTo("RETRY_SAME_KEY");
        }
        assertThat(mFleet.booking().ledger()).hasSize(1);
        // then new keys work at once
        String other = mFleet.issueKey("vm-2");
        assertThat(book("vm-3", other).path("verdict").asText()).isEqualTo("RAN");
    }

    @Test
    public void a_drained_entry_hands_its_keys_over() throws Exception {
        // given
        String used = mFleet.issueKey("vm-1");
        String unused = mFleet.issueKey("vm-1");
        JsonNode first = book("vm-1", used);
        assertThat(first.path("verdict").asText()).as(first.toString()).isEqualTo("RAN");
        // when
        mFleet.entry("vm-1").drain();
        mFleet.entry("vm-1").awaitDrained();
        mFleet.kill("vm-1");
        // then one successor holds the space, and both other entries answer from its records
        EntryFleet.await("space adopted", LIMIT, () -> heldSpaces() == 3);
        for (String vm : List.of("vm-2", "vm-3")) {
            EntryFleet.await("replay through " + vm, LIMIT, () -> book(vm, used).equals(first));
        }
        assertThat(mFleet.booking().ledger()).hasSize(1);
        // then a key that has not run yet runs once at the successor
        assertThat(book("vm-2", unused).path("verdict").asText()).isEqualTo("RAN");
        assertThat(book("vm-3", unused).path("verdict").asText()).isEqualTo("RAN");
        assertThat(mFleet.booking().ledger()).hasSize(2);
    }

    private int heldSpaces() throws Exception {
        int held = 0;
        for (String vm : List.of("vm-2", "vm-3")) {
            held += mFleet.report(vm, "status").path("held_key_spaces").size();
        }
        return held;
    }

    private JsonNode book(String vm, String key) {
        try {
            return mFleet.book(vm, key, "seat 12");
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
