package org.bulrushvale.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.decision.forward.ColdServerRateLimit;
import org.bulrushvale.decision.forward.StatedRate;
import org.bulrushvale.decision.forward.StatedRateLimits;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a server that gets more requests than it states because only the entries that it
 * answered know its rate, and against a rate that outlives the server's need, on virtual time.
 */
public class RateNoticesFleetTest {
    private static final String SERVER = "s/1";
    private static final long STABLE_MILLIS = 3_000;
    private static final long LIMITED_FROM_MILLIS = 2_000;
    private static final long LIMITED_UNTIL_MILLIS = 16_000;
    private static final long DAY_MILLIS = 22_000;
    private static final long WINDOW_MILLIS = StatedRateLimits.WINDOW.toMillis();

    @DataProvider
    public Object[][] fleets() {
        // entries, stated requests per second, seeds
        return new Object[][] {{8, 1.2, 30}, {95, 1.0, 10}, {95, 30.0, 10}, {333, 1.0, 3}};
    }

    @Test(dataProvider = "fleets")
    public void all_entries_together_keep_to_a_rate_that_few_were_told(
            int entries, double rate, int seeds) {
        for (long seed = 0; seed < seeds; seed++) {
            // given a server that is the first choice of every request while it has permits
            Fleet fleet = new Fleet(new SplittableRandom(seed), entries, rate);
            // when
            fleet.play();
            // then
            assertThat((double) fleet.mMostInOneWindow)
                    .as("seed %d", seed)
                    .isBetween(1.0, 1.5 * rate * WINDOW_MILLIS / 1_000 + 5);
            assertThat(fleet.entriesWithRate()).as("seed %d", seed).isZero();
        }
    }

    /** Entries that send requests to one server whenever their limit allows it. */
    private static final class Fleet {
        private final VirtualNetwork mNetwork;
        private final SplittableRandom mRandom;
        private final List<Entry> mEntries = new ArrayList<>();
        private final Deque<Long> mRecentMillis = new ArrayDeque<>();
        private final double mRate;
        private int mMostInOneWindow;

        Fleet(SplittableRandom random, int entries, double rate) {
            mRandom = random;
            mRate = rate;
            mNetwork = new VirtualNetwork(random.split());
            for (int i = 0; i < entries; i++) {
                mEntries.add(new Entry(i, entries));
            }
        }

        void play() {
            for (int i = 0; i < Math.max(1, mEntries.size() / 8); i++) {
                Entry entry = mEntries.get(mRandom.nextInt(mEntries.size()));
                long from = mRandom.nextLong(1_000, LIMITED_UNTIL_MILLIS - 6_000);
                mNetwork.at(from, () -> entry.restart(from + 2_500));
            }
            for (long millis = 0; millis < DAY_MILLIS; millis += 5) {
                Entry entry = mEntries.get(mRandom.nextInt(mEntries.size()));
                mNetwork.at(millis, entry::sendIfPermitted);
            }
            mNetwork.play(DAY_MILLIS);
        }

        long entriesWithRate() {
            return mEntries.stream()
                    .filter(entry -> entry.mLimits.requestsPerSecond(SERVER).isPresent())
                    .count();
        }

        private boolean isLimited() {
            return mNetwork.now() >= LIMITED_FROM_MILLIS && mNetwork.now() < LIMITED_UNTIL_MILLIS;
        }

        /** One entry; a new process of it begins without rates. */
        private final class Entry implements ColdServerRateLimit.FleetView {
            private final int mRank;
            private final int mCount;
            private StatedRateLimits mLimits = new StatedRateLimits(mNetwork.clock(), this);
            private final VirtualNetwork.Node<StatedRate> mNode = mNetwork.join(newNotices());

            Entry(int rank, int count) {
                mRank = rank;
                mCount = count;
            }

            private FleetNotices<StatedRate> newNotices() {
                return new FleetNotices<>(
                        mLimits,
                        PeerMessage.RateNotice::new,
                        StatedRateLimits.MAX_RECORDS_PER_NOTICE,
                        changed -> {});
            }

            void restart(long unreachableUntilMillis) {
                mLimits = new StatedRateLimits(mNetwork.clock(), this);
                mNode.restart(newNotices());
                mNode.disturbUntil(unreachableUntilMillis);
            }

            void sendIfPermitted() {
                if (mNode.isDisturbed(0) || mLimits.permits(SERVER, false) == 0) {
                    return;
                }
                mLimits.recordSent(SERVER);
                count();
                OptionalDouble stated =
                        isLimited() ? OptionalDouble.of(mRate) : OptionalDouble.empty();
                StatedRateLimits limits = mLimits;
                mNetwork.at(
                        mNetwork.now() + mRandom.nextInt(20, 300),
                        () -> mNode.notices().push(limits.onAnswer(SERVER, stated)));
            }

            /** Counts the request unless its entry is new or the rate is. */
            private void count() {
                long now = mNetwork.now();
                if (!isLimited()
                        || now < LIMITED_FROM_MILLIS + STABLE_MILLIS
                        || mNode.isDisturbed(STABLE_MILLIS)) {
                    return;
                }
                mRecentMillis.addLast(now);
                while (now - mRecentMillis.peekFirst() >= WINDOW_MILLIS) {
                    mRecentMillis.removeFirst();
                }
                mMostInOneWindow = Math.max(mMostInOneWindow, mRecentMillis.size());
            }

            @Override
            public int entryCount() {
                return mCount;
            }

            @Override
            public int rank(String server) {
                return mRank;
            }
        }
    }
}
