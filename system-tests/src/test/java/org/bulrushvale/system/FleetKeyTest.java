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

/**
 * Guards against a request that runs at two entries although it has one idempotency key, and
 * against an entry that reports {@code NOT_RUN} without knowing whether the request ran.
 */
public class FleetKeyTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(15);

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
    public void a_key_sent_through_three_entries_at_once_runs_once() throws Exception {
        // given
        String key = mFleet.issueKey("vm-1");
        mFleet.booking().control("{\"delay_ms\":300}");
        // when
        List<CompletableFuture<JsonNode>> answers = new ArrayList<>();
        for (String vm : List.of("vm-1", "vm-2", "vm-3")) {
            answers.add(CompletableFuture.supplyAsync(() -> sendBooking(vm, key)));
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
    public void a_request_with_a_key_of_a_killed_holder_is_not_run_and_gets_may_have_run()
            throws Exception {
        // given
        String used = mFleet.issueKey("vm-1");
        String unused = mFleet.issueKey("vm-1");
        assertThat(sendBooking("vm-2", used).path("verdict").asText()).isEqualTo("RAN");
        // when
        mFleet.kill("vm-1");
        // then
        for (String key : List.of(used, unused)) {
            JsonNode answer = sendBooking("vm-2", key);
            assertThat(answer.path("verdict").asText()).isEqualTo("MAY_HAVE_RUN");
            assertThat(answer.path("code").asText()).isEqualTo("KEY_HOLDER_UNREACHABLE");
            assertThat(answer.path("advice").asText()).isEqualTo("RETRY_SAME_KEY");
        }
        assertThat(mFleet.booking().ledger()).hasSize(1);
        // then new keys work at once
        String other = mFleet.issueKey("vm-2");
        assertThat(sendBooking("vm-3", other).path("verdict").asText()).isEqualTo("RAN");
    }

    @Test
    public void a_drained_entry_hands_its_keys_over_to_a_successor() throws Exception {
        // given
        String used = mFleet.issueKey("vm-1");
        String unused = mFleet.issueKey("vm-1");
        JsonNode first = sendBooking("vm-1", used);
        assertThat(first.path("verdict").asText()).as(first.toString()).isEqualTo("RAN");
        // when
        mFleet.entry("vm-1").drain();
        mFleet.entry("vm-1").awaitDrained();
        mFleet.kill("vm-1");
        // then one successor holds the key space besides its own, and both remaining entries
        // answer from its records
        EntryFleet.await("the key space is adopted", TIMEOUT, () -> heldKeySpaces() == 3);
        for (String vm : List.of("vm-2", "vm-3")) {
            EntryFleet.await(
                    "replay through " + vm, TIMEOUT, () -> sendBooking(vm, used).equals(first));
        }
        assertThat(mFleet.booking().ledger()).hasSize(1);
        // then a request whose key was not used before runs once at the successor
        assertThat(sendBooking("vm-2", unused).path("verdict").asText()).isEqualTo("RAN");
        assertThat(sendBooking("vm-3", unused).path("verdict").asText()).isEqualTo("RAN");
        assertThat(mFleet.booking().ledger()).hasSize(2);
    }

    private int heldKeySpaces() throws Exception {
        int held = 0;
        for (String vm : List.of("vm-2", "vm-3")) {
            held += mFleet.report(vm, "status").path("held_key_spaces").size();
        }
        return held;
    }

    private JsonNode sendBooking(String vm, String key) {
        try {
            return mFleet.sendBooking(vm, key, "seat 12");
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
