package org.bulrushvale.decision.warmup;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.bulrushvale.decision.config.BackendServer;
import org.bulrushvale.decision.membership.ConfirmedValue;
import org.bulrushvale.decision.membership.Vm;
import org.bulrushvale.decision.membership.VmList;
import org.jspecify.annotations.Nullable;

/**
 * Several entries with one fake backend server and one fake clock, driven by a seeded schedule.
 *
 * <p>Invariant: the same seed and rule give the same run. Thread safety: used by one thread.
 */
final class WarmupFleet {
    static final String SERVER = "runner";
    static final int SLOTS = 8;
    static final int BEARABLE = 2;
    static final long STEP_MS = 50;
    private static final int VMS = 5;
    private static final Duration DEADLINE = Duration.ofSeconds(5);

    /** How an entry limits its load. */
    enum Rule {
        WARMTH_TABLE,
        STATIC_SHARE,
        OWNER_BY_REACHABILITY
    }

    /** What may happen in a schedule. */
    enum Fault {
        LIST_CHANGE,
        PAUSE,
        SPLIT,
        DEATH,
        RESTART,
        RESET,
        COOLING
    }

    final Rule mRule;
    final Random mRandom;
    final FakeServer mServer = new FakeServer();
    final List<Entry> mEntries = new ArrayList<>();
    final List<Published> mLists = new ArrayList<>();
    private final WarmupTiming mTiming;
    private final boolean mReportsState;
    long mNowMs;
    long mColdOverloadMs;
    long mCompleted;
    private int mNextVm = VMS;

    WarmupFleet(Rule rule, long seed, WarmupTiming timing) {
        mRule = rule;
        mRandom = new Random(seed);
        // Half of the schedules have a server that reports its state.
        mReportsState = seed % 2 == 0;
        mTiming = timing;
        List<Vm> vms = new ArrayList<>();
        for (int i = 0; i < VMS; i++) {
            vms.add(vm("vm" + i));
        }
        mLists.add(new Published(0, VmList.of(1, vms)));
        vms.forEach(vm -> mEntries.add(new Entry(vm.name())));
    }

    static Vm vm(String name) {
        return new Vm(name, "10.0.0.1", 9, "d", "r", false);
    }

    VmList newest() {
        return mLists.get(mLists.size() - 1).list();
    }

    void publish(List<Vm> vms) {
        mLists.add(new Published(mNowMs, VmList.of(newest().version() + 1, vms)));
    }

    /** Runs the schedule; faults occur about every {@code meanGapMs}. */
    void run(Duration time, List<Fault> faults, long meanGapMs) {
        long end = mNowMs + time.toMillis();
        while (mNowMs < end) {
            step();
            if (!faults.isEmpty() && mRandom.nextInt((int) (meanGapMs / STEP_MS)) == 0) {
                inject(faults.get(mRandom.nextInt(faults.size())));
            }
        }
    }

    void step() {
        mNowMs += STEP_MS;
        mServer.step();
        if (mServer.isOverloadedWhileCold()) {
            mColdOverloadMs += STEP_MS;
        }
        for (Entry entry : mEntries) {
            if (mNowMs >= entry.mPausedUntilMs) {
                entry.step();
            }
        }
    }

    private Entry anyEntry() {
        return mEntries.get(mRandom.nextInt(mEntries.size()));
    }

    void inject(Fault fault) {
        switch (fault) {
            case LIST_CHANGE -> publishRandomList();
            case PAUSE -> anyEntry().mPausedUntilMs = mNowMs + mRandom.nextInt(30_000);
            case SPLIT -> {
                Entry entry = anyEntry();
                entry.mSplitUntilMs = mNowMs + mRandom.nextInt(40_000);
                entry.mListSplit = mRandom.nextBoolean();
            }
            case DEATH -> replace(anyEntry());
            case RESTART -> mServer.restart();
            case RESET -> anyEntry().reset();
            case COOLING -> mServer.mCompleted = 0;
            default -> throw new AssertionError(fault);
        }
    }

    private void publishRandomList() {
        List<Vm> vms = new ArrayList<>();
        for (Entry entry : mEntries) {
            if (mRandom.nextInt(4) != 0) {
                vms.add(vm(entry.mName));
            }
        }
        publish(vms.isEmpty() ? List.of(vm(mEntries.get(0).mName)) : vms);
    }

    /** The process dies; its requests keep running on the server. */
    private void replace(Entry dead) {
        mEntries.remove(dead);
        for (Request request : mServer.mRequests) {
            request.mOwner = request.mOwner == dead ? null : request.mOwner;
        }
        Entry fresh = new Entry(mRandom.nextBoolean() ? dead.mName : "vm" + mNextVm++);
        mEntries.add(fresh);
        publish(mEntries.stream().map(entry -> vm(entry.mName)).toList());
    }

    long nanos() {
        return Duration.ofMillis(mNowMs).toNanos();
    }

    /** A published list and when it was published. */
    record Published(long atMs, VmList list) {}

    /** A request that runs on the server. */
    static final class Request {
        @Nullable Entry mOwner;
        final long mEndMs;

        Request(Entry owner, long endMs) {
            mOwner = owner;
            mEndMs = endMs;
        }
    }

    /** Records its load; each two completed requests make it able to bear one more. */
    final class FakeServer {
        final List<Request> mRequests = new ArrayList<>();
        int mEpoch = 1;
        long mEpochSinceMs;
        long mCompleted;

        int capacity() {
            return (int) Math.min(SLOTS, BEARABLE + mCompleted / 2);
        }

        boolean isOverloadedWhileCold() {
            return capacity() < SLOTS && mRequests.size() > capacity();
        }

        void restart() {
            mEpoch++;
            mEpochSinceMs = mNowMs;
            mCompleted = 0;
            mRequests.clear();
        }

        void step() {
            boolean failing = isOverloadedWhileCold();
            Iterator<Request> iterator = mRequests.iterator();
            List<Request> ended = new ArrayList<>();
            while (iterator.hasNext()) {
                Request request = iterator.next();
                if (mNowMs >= request.mEndMs) {
                    iterator.remove();
                    ended.add(request);
                }
            }
            for (Request request : ended) {
                mCompleted += failing ? 0 : 1;
                if (request.mOwner != null) {
                    request.mOwner.ended(request, failing ? AttemptOutcome.FAILED : null);
                }
            }
        }

        ReportedLoad report(long ageMs) {
            int epoch = mNowMs - ageMs < mEpochSinceMs ? mEpoch - 1 : mEpoch;
            boolean warm = epoch == mEpoch && capacity() == SLOTS;
            return new ReportedLoad(
                    SERVER, "e" + epoch, state(warm), SLOTS, BEARABLE, mRequests.size(), 0);
        }

        private ReportedState state(boolean warm) {
            if (!mReportsState) {
                return ReportedState.UNKNOWN;
            }
            return warm ? ReportedState.WARM : ReportedState.COLD;
        }
    }

    /** One entry: the class under test plus the connection that an adapter would hold. */
    final class Entry {
        final String mName;
        final WarmupLimiter mTable;
        final long mOffsetMs = mRandom.nextInt(500) / STEP_MS * STEP_MS;
        final Map<Request, Integer> mSent = new HashMap<>();
        long mPausedUntilMs;
        long mSplitUntilMs;
        boolean mListSplit;
        long mListLagMs = mRandom.nextInt((int) mTiming.listLagMax().toMillis());
        int mConnectedEpoch = -1;
        int mGeneration;
        private long mVersion;
        private List<Vm> mReachable = List.of();

        Entry(String name) {
            mName = name;
            Duration hold =
                    mRule == Rule.OWNER_BY_REACHABILITY ? Duration.ZERO : mTiming.listLagMax();
            mTable =
                    WarmupLimiter.create(
                            name,
                            new WarmupTiming(
                                    hold,
                                    mTiming.longestDeadline(),
                                    mTiming.viewAgeMax(),
                                    mTiming.reportAgeMax()));
            BackendServer server =
                    new BackendServer(SERVER, "p", "10.0.0.9", 80, "d", SLOTS, BEARABLE, false);
            mTable.updateServers(List.of(server), mTiming.longestDeadline());
        }

        boolean isSplit() {
            return mNowMs < mSplitUntilMs;
        }

        void step() {
            boolean tick = (mNowMs + mOffsetMs) % 500 == 0;
            if (tick) {
                readList();
            }
            if (mConnectedEpoch != mServer.mEpoch && (tick || mConnectedEpoch < 0)) {
                if (mConnectedEpoch >= 0) {
                    loseConnection();
                }
                mConnectedEpoch = mServer.mEpoch;
                mGeneration = mTable.connectionOpened(SERVER, nanos());
            }
            if (tick) {
                long ageMs = mRandom.nextInt(1_000);
                mTable.onLoadReport(
                        mServer.report(ageMs),
                        mGeneration,
                        nanos() - Duration.ofMillis(ageMs).toNanos(),
                        nanos());
                gossip();
            }
            while (limit() > mSent.size() && send()) {
                continue;
            }
        }

        private void readList() {
            if (mRule == Rule.OWNER_BY_REACHABILITY) {
                List<Vm> reachable =
                        mEntries.stream()
                                .filter(peer -> peer == this || reaches(peer))
                                .map(peer -> vm(peer.mName))
                                .toList();
                mVersion += reachable.equals(mReachable) ? 0 : 1;
                mReachable = reachable;
                mTable.updateVmList(
                        new ConfirmedValue<>(VmList.of(mVersion, reachable), nanos()), nanos());
                return;
            }
            if (isSplit() && mListSplit) {
                return;
            }
            // The lag varies, but a reader never goes back to an older list.
            mListLagMs = mRandom.nextInt(20) == 0 ? nextLag() : mListLagMs;
            VmList list = mLists.get(0).list();
            for (Published published : mLists) {
                if (published.atMs() <= mNowMs - mListLagMs) {
                    list = published.list();
                }
            }
            if (list.version() >= mVersion) {
                mVersion = list.version();
                mTable.updateVmList(new ConfirmedValue<>(list, nanos()), nanos());
            }
        }

        private long nextLag() {
            return mRandom.nextInt((int) mTiming.listLagMax().toMillis());
        }

        private boolean reaches(Entry peer) {
            return !isSplit() && !peer.isSplit() && mNowMs >= peer.mPausedUntilMs;
        }

        private void gossip() {
            Entry peer = anyEntry();
            if (peer != this && reaches(peer)) {
                mTable.snapshot().forEach(item -> peer.mTable.merge(item, nanos()));
            }
        }

        int limit() {
            if (mRule == Rule.STATIC_SHARE) {
                int total = mServer.capacity() == SLOTS ? SLOTS : BEARABLE;
                return Math.max(1, total / mEntries.size());
            }
            return mTable.limit(SERVER, nanos());
        }

        private boolean send() {
            if (mConnectedEpoch != mServer.mEpoch) {
                // The connection to the previous process fails at the first write.
                loseConnection();
                mConnectedEpoch = -1;
                return false;
            }
            mTable.onAttemptStarted(SERVER);
            long durationMs = 100 + mRandom.nextInt((int) DEADLINE.toMillis() - 100);
            Request request = new Request(this, mNowMs + durationMs);
            mSent.put(request, mServer.mEpoch);
            mServer.mRequests.add(request);
            return true;
        }

        void ended(Request request, @Nullable AttemptOutcome failure) {
            if (mSent.remove(request) == null) {
                return;
            }
            AttemptOutcome end = failure == null ? AttemptOutcome.COMPLETED : failure;
            mCompleted += failure == null ? 1 : 0;
            mTable.onAttemptEnded(SERVER, end, 0, nanos());
        }

        /** The connection breaks while the server keeps running what it received. */
        void reset() {
            loseConnection();
            mConnectedEpoch = -1;
        }

        private void loseConnection() {
            mTable.connectionClosed(SERVER, nanos());
            mSent.keySet()
                    .forEach(r -> mTable.onAttemptEnded(SERVER, AttemptOutcome.LOST, 0, nanos()));
            mSent.keySet().forEach(r -> r.mOwner = null);
            mSent.clear();
        }
    }
}
