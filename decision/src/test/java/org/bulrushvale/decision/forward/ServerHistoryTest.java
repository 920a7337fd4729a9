package org.bulrushvale.decision.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.bulrushvale.decision.forward.ServerHistory.RegistrationChange;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against streams that are taken up at another version than the one that began them. */
public class ServerHistoryTest {
    private static final String SERVICE = "pool";
    private static final Duration AGE = Duration.ofSeconds(10);
    private static final int STREAMS = 200;

    private ManualClock mClock;
    private ServerHistory mHistory;

    @BeforeMethod
    public void begin() {
        mClock = ManualClock.startingAt(Instant.EPOCH);
        mHistory = new ServerHistory(mClock);
    }

    private static PublishedBackend server(int number, int version, long sequence) {
        return new PublishedBackend(
                "i-" + number,
                SERVICE,
                "host",
                number,
                "v" + version,
                "a",
                8,
                false,
                1 + number,
                sequence,
                Duration.ZERO);
    }

    private static RegistrationChange put(PublishedBackend server) {
        return new RegistrationChange(server.id(), Optional.of(server), server.sequence() > 1);
    }

    private static RegistrationChange removal(int number) {
        return new RegistrationChange("i-" + number, Optional.empty(), false);
    }

    private List<PublishedBackend> publish(int count) {
        List<PublishedBackend> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(server(i, i % 2, 5));
        }
        servers.forEach(mHistory::recordPublished);
        return servers;
    }

    private long countKnown() {
        long known = 0;
        for (long stream = 0; stream < STREAMS; stream++) {
            known += mHistory.versionAt(stream, SERVICE, AGE).isPresent() ? 1 : 0;
        }
        return known;
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1}, {2}, {3}, {4}, {5}, {6}, {7}, {8}};
    }

    @Test(dataProvider = "seeds")
    public void a_version_that_is_returned_is_the_one_chosen_at_any_time_since(int seed) {
        // given: servers of two versions come and go
        SplittableRandom random = new SplittableRandom(seed);
        Map<Integer, PublishedBackend> present = new LinkedHashMap<>();
        publish(6).forEach(server -> present.put(server.port(), server));
        List<Map<Long, Optional<String>>> choices = new ArrayList<>();
        int known = 0;
        for (int second = 0; second < 120; second++) {
            if (random.nextInt(4) == 0) {
                int number = random.nextInt(12);
                PublishedBackend gone = present.remove(number);
                if (gone == null) {
                    PublishedBackend added = server(number, random.nextInt(2), 1);
                    present.put(number, added);
                    mHistory.recordPublished(added);
                } else {
                    mHistory.recordRemoved(gone);
                }
            }
            choices.add(new LinkedHashMap<>());
            for (long stream = 0; stream < STREAMS; stream++) {
                Optional<String> chosen = VersionChoice.choose(stream, present.values());
                choices.get(second).put(stream, chosen);
                // then
                Optional<String> version = mHistory.versionAt(stream, SERVICE, AGE);
                known += version.isPresent() ? 1 : 0;
                for (int i = Math.max(0, second - 10); version.isPresent() && i <= second; i++) {
                    assertThat(choices.get(i).get(stream)).isEqualTo(version);
                }
            }
            mClock.advance(Duration.ofSeconds(1));
        }
        assertThat(known).isPositive();
    }

    @Test
    public void nothing_is_returned_before_the_history_is_long_enough() {
        publish(8);
        mClock.advance(AGE.minusMillis(1));
        assertThat(countKnown()).isZero();
        mClock.advance(Duration.ofMillis(1));
        assertThat(countKnown()).isEqualTo(STREAMS);
        // when
        mHistory.recordGap();
        // then
        mClock.advance(AGE.minusMillis(1));
        assertThat(countKnown()).isZero();
    }

    @Test
    public void nothing_is_returned_for_a_stream_older_than_what_is_remembered() {
        List<PublishedBackend> servers = publish(8);
        mHistory.recordRemoved(servers.get(0));
        mClock.advance(ServerHistory.MAX_AGE.multipliedBy(2));
        mHistory.recordRemoved(servers.get(1));
        Duration age = ServerHistory.MAX_AGE.plusMillis(1);
        for (long stream = 0; stream < STREAMS; stream++) {
            assertThat(mHistory.versionAt(stream, SERVICE, age)).isEmpty();
        }
    }

    @Test
    public void the_history_of_the_store_counts_as_time_before_the_first_read() {
        List<PublishedBackend> servers = publish(8);
        List<RegistrationChange> beats = servers.stream().map(ServerHistoryTest::put).toList();
        mHistory.addEarlier(beats, mClock.monotonicNanos());
        assertThat(countKnown()).isEqualTo(STREAMS);
    }

    @Test
    public void servers_that_changed_in_the_history_of_the_store_leave_versions_open() {
        publish(8);
        List<RegistrationChange> changes = new ArrayList<>();
        for (int number = 20; number < 24; number++) {
            changes.add(put(server(number, 1, 7)));
            changes.add(removal(number));
        }
        mHistory.addEarlier(changes, mClock.monotonicNanos());
        assertThat(countKnown()).isBetween(1L, STREAMS - 1L);
    }

    @DataProvider
    public Object[][] unexplainedChanges() {
        PublishedBackend first = server(20, 1, 1);
        return new Object[][] {
            {removal(20)}, {new RegistrationChange(first.id(), Optional.of(first), true)},
        };
    }

    @Test(dataProvider = "unexplainedChanges")
    public void a_change_of_something_unknown_makes_the_history_useless(RegistrationChange change) {
        publish(8);
        mHistory.addEarlier(List.of(change), mClock.monotonicNanos());
        assertThat(countKnown()).isZero();
    }
}
