package org.bulrushvale.decision.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.Test;

/**
 * Guards against content that crashes one server after another, and against the refusal of content
 * that merely ran on a server when it crashed.
 */
public class PoisonTableTest {
    private static final ContentFingerprint POISON = ContentFingerprint.of("w", "poison");
    private static final int SEEDS = 500;

    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);

    @Test
    public void poison_crashes_no_more_than_two_servers_and_other_content_completes() {
        System.out.println("PoisonTableTest: seeds 0.." + (SEEDS - 1));
        for (long seed = 0; seed < SEEDS; seed++) {
            // given poison among other requests on 4 servers; requests on a server that crashes are
            // sent again
            PoisonTable table = new PoisonTable(mClock);
            SplittableRandom random = new SplittableRandom(seed);
            List<ContentFingerprint> waiting = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                waiting.add(ContentFingerprint.of("w", "seed " + seed + " innocent " + i));
            }
            waiting.add(random.nextInt(waiting.size()), POISON);
            int crashes = 0;
            // when
            for (int round = 0; round < 200 && !waiting.isEmpty(); round++) {
                String crashing = "";
                List<List<ContentFingerprint>> servers = new ArrayList<>();
                for (int s = 0; s < 4; s++) {
                    List<ContentFingerprint> running = new ArrayList<>();
                    for (ContentFingerprint content : List.copyOf(waiting)) {
                        if (running.size() < 3 && table.mayStart(content, "s" + s)) {
                            table.onStarted(content, "s" + s);
                            running.add(content);
                            waiting.remove(content);
                            crashing = content.equals(POISON) ? "s" + s : crashing;
                        }
                    }
                    servers.add(running);
                }
                for (int s = 0; s < 4; s++) {
                    String server = "s" + s;
                    if (server.equals(crashing)) {
                        crashes++;
                        table.onCrash(server, "epoch" + round);
                        waiting.addAll(servers.get(s));
                        continue;
                    }
                    for (ContentFingerprint content : servers.get(s)) {
                        table.onEnded(content, server);
                        table.onCompleted(content);
                        assertThat(table.isSuspect(content)).isFalse();
                    }
                }
            }
            // then
            assertThat(crashes).as("seed %d", seed).isEqualTo(2);
            assertThat(waiting).as("seed %d", seed).containsExactly(POISON);
            assertThat(table.isPoison(POISON)).isTrue();
        }
    }

    @Test
    public void crashes_seen_by_two_entries_add_up_but_one_crash_counts_once() {
        // given
        PoisonTable first = new PoisonTable(mClock);
        PoisonTable second = new PoisonTable(mClock);
        first.onStarted(POISON, "a");
        second.onStarted(POISON, "a");
        // when both entries report the same crash
        first.onCrash("a", "1");
        second.merge(first.records());
        second.onCrash("a", "1");
        assertThat(second.isPoison(POISON)).as("one crash, reported by two entries").isFalse();
        // when the caller sends it again through the second entry
        second.onStarted(POISON, "b");
        second.onCrash("b", "1");
        // then
        assertThat(first.merge(second.records())).containsExactly(POISON);
    }

    @Test
    public void cleared_content_does_not_become_suspect_again_by_an_old_record_of_a_peer() {
        // given
        PoisonTable table = new PoisonTable(mClock);
        table.onStarted(POISON, "a");
        List<PoisonRecord> old = table.onCrash("a", "1");
        // when
        table.onCompleted(POISON);
        table.merge(old);
        // then
        assertThat(table.isSuspect(POISON)).isFalse();
    }

    @Test
    public void poison_expires_after_its_lifetime_even_when_peers_repeat_the_record() {
        // given
        PoisonTable first = new PoisonTable(mClock);
        PoisonTable second = new PoisonTable(mClock);
        first.merge(List.of(new PoisonRecord(POISON, Set.of("a/1", "b/1"), Set.of(), true, 0)));
        // when
        for (int i = 0; i < 15; i++) {
            List<PoisonRecord> sent = first.records();
            mClock.advance(Duration.ofMinutes(1));
            second.merge(sent);
            first.merge(second.records());
        }
        // then
        assertThat(first.isPoison(POISON)).isFalse();
    }

    @Test
    public void full_table_evicts_suspect_content_before_confirmed_poison() {
        PoisonTable table = new PoisonTable(mClock);
        table.merge(List.of(new PoisonRecord(POISON, Set.of("a/1", "b/1"), Set.of(), true, 0)));
        for (int i = 0; i < 2 * PoisonTable.MAX_RECORDS; i++) {
            ContentFingerprint content = ContentFingerprint.of("w", "i" + i);
            table.merge(List.of(new PoisonRecord(content, Set.of("c/1"), Set.of(), false, 0)));
        }
        assertThat(table.isPoison(POISON)).isTrue();
        assertThat(table.records()).hasSize(PoisonTable.MAX_RECORDS);
    }

    @Test
    public void lost_connection_to_a_running_server_does_not_count_as_a_crash() {
        // given two lost connections with the same content, where the second server still runs
        PoisonTable table = new PoisonTable(ManualClock.startingAt(Instant.EPOCH));
        ContentFingerprint content = ContentFingerprint.of("granite", "innocent");
        table.onStarted(content, "a");
        table.onCrash("a", "1");
        table.onStarted(content, "b");
        table.onCrash("b", "1");
        assertThat(table.isPoison(content)).isTrue();
        // when
        table.retractCrash("b", "1");
        // then
        assertThat(table.isPoison(content)).isFalse();
        assertThat(table.isSuspect(content)).isTrue();
    }
}
