package org.bulrushvale.decision.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.Test;

/**
 * Guards against the refusal of harmless content as poison because suspects of two entries met on
 * one server, and against suspects that no entry may run.
 */
public class SuspectServersTest {
    private static final ContentFingerprint POISON = ContentFingerprint.of("w", "poison");
    private static final int SEEDS = 500;
    private static final int ENTRIES = 3;
    private static final List<String> SERVERS = List.of("s0", "s1", "s2", "s3");
    private static final List<String> ENTRY_NAMES = List.of("e0", "e1", "e2");

    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);

    @Test
    public void entries_that_share_servers_refuse_only_the_poison() {
        System.out.println("SuspectServersTest: seeds 0.." + (SEEDS - 1));
        for (long seed = 0; seed < SEEDS; seed++) {
            // given three entries that send poison and other requests to four servers
            Fleet fleet = new Fleet(new SplittableRandom(seed));
            // when
            for (int round = 0; round < 100 && !fleet.onlyPoisonIsLeft(); round++) {
                fleet.playRound(round);
            }
            // then
            assertThat(fleet.mCrashes).as("crashes, seed %d", seed).isEqualTo(2);
            assertThat(fleet.refused()).as("refused, seed %d", seed).containsOnly(POISON);
            assertThat(fleet.waitingCount()).as("not completed, seed %d", seed).isEqualTo(1);
        }
    }

    @Test
    public void entries_own_disjoint_servers_and_each_owns_one_when_there_are_enough() {
        for (int entries = 1; entries <= 40; entries++) {
            List<String> names = IntStream.range(0, entries).mapToObj(i -> "e" + i).toList();
            List<String> servers =
                    IntStream.range(0, 2 * entries - 1).mapToObj(i -> "s" + i).toList();
            Set<String> taken = new HashSet<>();
            for (String name : names) {
                SuspectServers own = new SuspectServers(name);
                own.updateEntries(names);
                Set<String> permitted = own.permitted("pool", servers, server -> true, 0);
                assertThat(permitted).as("%s of %d", name, entries).isNotEmpty();
                assertThat(taken)
                        .as("%s of %d", name, entries)
                        .doesNotContainAnyElementsOf(permitted);
                taken.addAll(permitted);
            }
            assertThat(taken).hasSameSizeAs(servers);
        }
    }

    @Test
    public void suspects_wait_for_an_own_server_for_a_limited_time() {
        // given
        SuspectServers own = new SuspectServers("e0");
        own.updateEntries(ENTRY_NAMES);
        Set<String> owned = own.permitted("pool", SERVERS, server -> true, 0);
        // when no own server can be used
        long limit = SuspectServers.MAX_WAIT.toNanos();
        // then
        assertThat(own.permitted("pool", SERVERS, server -> false, 1)).isEqualTo(owned);
        assertThat(own.permitted("pool", SERVERS, server -> false, limit)).isEqualTo(owned);
        assertThat(own.permitted("pool", SERVERS, server -> false, limit + 1))
                .containsExactlyInAnyOrderElementsOf(SERVERS);
        // and when one can be used again
        assertThat(own.permitted("pool", SERVERS, server -> true, limit + 2)).isEqualTo(owned);
    }

    @Test
    public void an_entry_without_a_server_may_use_all() {
        SuspectServers own = new SuspectServers("e2");
        own.updateEntries(ENTRY_NAMES);
        assertThat(own.permitted("pool", List.of("s0", "s1"), server -> true, 0))
                .containsExactlyInAnyOrder("s0", "s1");
    }

    /** Entries that send their waiting requests to the servers in rounds. */
    private final class Fleet {
        private static final int SLOTS_PER_ENTRY = 2;

        private final SplittableRandom mRandom;
        private final List<PoisonTable> mTables = new ArrayList<>();
        private final List<SuspectServers> mSuspectServers = new ArrayList<>();
        private final List<List<ContentFingerprint>> mWaiting = new ArrayList<>();
        private int mCrashes;

        Fleet(SplittableRandom random) {
            mRandom = random;
            for (int e = 0; e < ENTRIES; e++) {
                mTables.add(new PoisonTable(mClock));
                SuspectServers own = new SuspectServers(ENTRY_NAMES.get(e));
                own.updateEntries(ENTRY_NAMES);
                mSuspectServers.add(own);
                List<ContentFingerprint> waiting = new ArrayList<>();
                for (int i = 0; i < 6; i++) {
                    waiting.add(ContentFingerprint.of("w", "innocent " + e + " " + i));
                }
                mWaiting.add(waiting);
            }
            mWaiting.get(random.nextInt(ENTRIES)).add(random.nextInt(6), POISON);
        }

        int waitingCount() {
            return mWaiting.stream().mapToInt(List::size).sum();
        }

        boolean onlyPoisonIsLeft() {
            return waitingCount() == 1 && refused().contains(POISON);
        }

        Set<ContentFingerprint> refused() {
            Set<ContentFingerprint> refused = new HashSet<>();
            for (PoisonTable table : mTables) {
                table.records().stream()
                        .map(PoisonRecord::fingerprint)
                        .filter(table::isPoison)
                        .forEach(refused::add);
            }
            return refused;
        }

        void playRound(int round) {
            List<List<List<ContentFingerprint>>> running = new ArrayList<>();
            String crashing = "";
            for (int e = 0; e < ENTRIES; e++) {
                running.add(new ArrayList<>());
                for (String server : SERVERS) {
                    List<ContentFingerprint> started = start(e, server);
                    running.get(e).add(started);
                    crashing = started.contains(POISON) ? server : crashing;
                }
            }
            mCrashes += crashing.isEmpty() ? 0 : 1;
            for (int e = 0; e < ENTRIES; e++) {
                for (int s = 0; s < SERVERS.size(); s++) {
                    end(e, SERVERS.get(s), running.get(e).get(s), crashing, round);
                }
            }
            List<List<PoisonRecord>> records = mTables.stream().map(PoisonTable::records).toList();
            mTables.forEach(table -> records.forEach(table::merge));
            mClock.advance(Duration.ofMillis(100));
        }

        private List<ContentFingerprint> start(int entry, String server) {
            PoisonTable table = mTables.get(entry);
            Set<String> permitted =
                    mSuspectServers
                            .get(entry)
                            .permitted("pool", SERVERS, name -> true, mClock.monotonicNanos());
            List<ContentFingerprint> started = new ArrayList<>();
            for (ContentFingerprint content : List.copyOf(mWaiting.get(entry))) {
                boolean mayRun = !table.isSuspect(content) || permitted.contains(server);
                if (started.size() < SLOTS_PER_ENTRY
                        && mayRun
                        && table.mayStart(content, server)
                        && mRandom.nextInt(3) > 0) {
                    table.onStarted(content, server);
                    mWaiting.get(entry).remove(content);
                    started.add(content);
                }
            }
            return started;
        }

        private void end(
                int entry,
                String server,
                List<ContentFingerprint> running,
                String crashing,
                int round) {
            PoisonTable table = mTables.get(entry);
            if (server.equals(crashing)) {
                table.onCrash(server, "epoch " + round);
                mWaiting.get(entry).addAll(running);
                return;
            }
            for (ContentFingerprint content : running) {
                table.onEnded(content, server);
                table.onCompleted(content);
            }
        }
    }
}
