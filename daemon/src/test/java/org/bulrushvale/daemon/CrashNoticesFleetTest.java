package org.bulrushvale.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.decision.retry.ContentFingerprint;
import org.bulrushvale.decision.retry.CrashRecord;
import org.bulrushvale.decision.retry.CrashSuspects;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a part of prompts that goes on crashing servers because only some entries of a
 * large fleet know of it, and against the refusal of sound requests, on virtual time with lost
 * messages and with entries that are killed, frozen or cut off.
 */
public class CrashNoticesFleetTest {
    private static final ContentFingerprint DEADLY = ContentFingerprint.of("model", "deadly");
    private static final long STABLE_MILLIS = 3_000;
    private static final long DAY_MILLIS = 20_000;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {
            {8, 40, 0.05, 40}, {8, 40, 0.2, 40}, {95, 200, 0.04, 4}, {333, 200, 0.03, 1}
        };
    }

    @Test(dataProvider = "fleets")
    public void all_entries_hold_a_part_back_that_crashes_servers(
            int entries, int requestsPerSecond, double deadlyShare, int seeds) {
        for (long seed = 0; seed < seeds; seed++) {
            // given
            Fleet fleet = new Fleet(new SplittableRandom(seed), entries, deadlyShare);
            fleet.disturbSomeEntries();
            // when
            fleet.play(requestsPerSecond);
            // then
            assertThat(fleet.mCrashMillis).as("seed %d", seed).hasSizeGreaterThan(2);
            assertThat(fleet.deadlyStartsAfterTheLimit()).as("seed %d", seed).isLessThan(4);
            assertThat(fleet.mSoundRefused)
                    .as("sound requests refused of %d, seed %d", fleet.mSound, seed)
                    .isLessThan(fleet.mSound / 50);
        }
    }

    @Test(dataProvider = "fleets")
    public void servers_that_end_for_another_reason_hold_nothing_back(
            int entries, int requestsPerSecond, double unused, int seeds) {
        for (long seed = 0; seed < seeds; seed++) {
            // given a third of the servers that end together, twice, and others one by one
            Fleet fleet = new Fleet(new SplittableRandom(seed), entries, 0);
            for (int millis : new int[] {4_000, 9_000}) {
                IntStream.range(0, Fleet.SERVERS / 3)
                        .forEach(server -> fleet.at(millis + server, () -> fleet.crash(server)));
            }
            IntStream.range(0, 20)
                    .forEach(i -> fleet.at(5_000 + 600 * i, () -> fleet.crash(20 + i % 10)));
            // when
            fleet.play(requestsPerSecond);
            // then
            assertThat(fleet.mSoundRefused).as("seed %d", seed).isZero();
        }
    }

    /** Entries, servers and callers on virtual time. */
    private static final class Fleet {
        private static final int SERVERS = 36;

        private final VirtualNetwork mNetwork;
        private final SplittableRandom mRandom;
        private final List<Entry> mEntries = new ArrayList<>();
        private final double mDeadlyShare;
        private final Set<Attempt> mRunning = new HashSet<>();
        private final int[] mLifetimes = new int[SERVERS];
        private final List<Long> mCrashMillis = new ArrayList<>();
        private final List<Long> mDeadlyStarts = new ArrayList<>();
        private int mOwnParts;
        private int mSound;
        private int mSoundRefused;

        Fleet(SplittableRandom random, int entries, double deadlyShare) {
            mRandom = random;
            mNetwork = new VirtualNetwork(random.split());
            mDeadlyShare = deadlyShare;
            for (int i = 0; i < entries; i++) {
                mEntries.add(new Entry());
            }
        }

        long now() {
            return mNetwork.now();
        }

        void at(long millis, Runnable task) {
            mNetwork.at(millis, task);
        }

        /** Kills, freezes or cuts off an eighth of the entries at random times. */
        void disturbSomeEntries() {
            for (int i = 0; i < Math.max(1, mEntries.size() / 8); i++) {
                int index = mRandom.nextInt(mEntries.size());
                long from = mRandom.nextLong(1_000, DAY_MILLIS - 6_000);
                boolean kill = mRandom.nextBoolean();
                at(from, () -> mEntries.get(index).disturb(from + 2_500, kill));
            }
        }

        void play(int requestsPerSecond) {
            for (long millis = 0; millis < DAY_MILLIS; millis += 1_000) {
                for (int i = 0; i < requestsPerSecond; i++) {
                    at(millis + mRandom.nextInt(1_000), this::newRequest);
                }
            }
            mNetwork.play(DAY_MILLIS);
        }

        private void newRequest() {
            Entry entry = mEntries.get(mRandom.nextInt(mEntries.size()));
            boolean deadly = now() > 2_000 && mRandom.nextDouble() < mDeadlyShare;
            List<ContentFingerprint> contents = new ArrayList<>();
            contents.add(part("template " + mRandom.nextInt(4)));
            contents.add(part("subject " + (deadly ? 7 : mRandom.nextInt(80))));
            if (deadly) {
                contents.add(DEADLY);
            }
            contents.add(part("own " + mOwnParts++));
            if (!entry.isDisturbed(0)) {
                new Attempt(entry, contents, deadly, 1).start();
            }
        }

        private static ContentFingerprint part(String name) {
            return ContentFingerprint.of("model", name);
        }

        private void crash(int server) {
            String process = "s" + server + "/" + mLifetimes[server]++;
            mCrashMillis.add(now());
            for (Attempt attempt : List.copyOf(mRunning)) {
                if (attempt.mServer == server) {
                    mRunning.remove(attempt);
                    at(now() + 2 + mRandom.nextInt(4), () -> attempt.lost(process));
                }
            }
        }

        /** Returns the deadly attempts that began after the fifth crash and a stable window. */
        long deadlyStartsAfterTheLimit() {
            long limit = mCrashMillis.size() < 5 ? DAY_MILLIS : mCrashMillis.get(4) + STABLE_MILLIS;
            return mDeadlyStarts.stream().filter(millis -> millis > limit).count();
        }

        /** One attempt of a request at a random server. */
        private final class Attempt {
            private final Entry mEntry;
            private final List<ContentFingerprint> mContents;
            private final boolean mDeadly;
            private final int mNumber;
            private final CrashSuspects mSuspectsAtStart;
            private int mServer;
            private long mKnownAtStart;

            Attempt(Entry entry, List<ContentFingerprint> contents, boolean deadly, int number) {
                mEntry = entry;
                mContents = contents;
                mDeadly = deadly;
                mNumber = number;
                mSuspectsAtStart = entry.mSuspects;
            }

            void start() {
                mSound += mDeadly || mNumber > 1 ? 0 : 1;
                if (mEntry.mSuspects.findHeldBack(mContents, this).isPresent()) {
                    mSoundRefused += mDeadly || mNumber > 1 ? 0 : 1;
                    return;
                }
                mServer = mRandom.nextInt(SERVERS);
                mKnownAtStart = mEntry.mSuspects.onAttemptStarted(mContents, this);
                mRunning.add(this);
                if (mDeadly && !mEntry.isDisturbed(STABLE_MILLIS)) {
                    mDeadlyStarts.add(now());
                }
                at(now() + mRandom.nextInt(150, 900), mDeadly ? this::crashServer : this::answer);
            }

            private void crashServer() {
                if (mRunning.contains(this)) {
                    crash(mServer);
                }
            }

            private void answer() {
                if (mRunning.remove(this) && isSameProcess()) {
                    mEntry.push(mEntry.mSuspects.onAnswered(mContents));
                }
            }

            private void lost(String process) {
                if (isSameProcess()) {
                    mEntry.push(mEntry.mSuspects.onCrash(mContents, process, mKnownAtStart));
                    if (mNumber < 2) {
                        new Attempt(mEntry, mContents, mDeadly, mNumber + 1).start();
                    }
                }
            }

            private boolean isSameProcess() {
                return mEntry.mSuspects == mSuspectsAtStart && !mEntry.isDisturbed(0);
            }
        }

        /** One entry; a new process of it begins with an empty table. */
        private final class Entry {
            private CrashSuspects mSuspects = new CrashSuspects(mNetwork.clock());
            private final VirtualNetwork.Node<CrashRecord> mNode = mNetwork.join(newNotices());

            private FleetNotices<CrashRecord> newNotices() {
                return new FleetNotices<>(
                        mSuspects,
                        PeerMessage.CrashNotice::new,
                        CrashSuspects.MAX_RECORDS_PER_NOTICE,
                        changed -> {});
            }

            void disturb(long untilMillis, boolean kill) {
                if (kill) {
                    mSuspects = new CrashSuspects(mNetwork.clock());
                    mNode.restart(newNotices());
                }
                mNode.disturbUntil(untilMillis);
            }

            boolean isDisturbed(long marginMillis) {
                return mNode.isDisturbed(marginMillis);
            }

            void push(List<CrashRecord> changed) {
                mNode.notices().push(changed);
            }
        }
    }
}
