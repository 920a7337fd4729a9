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
 * Simulates several entries with one backend server in virtual time, with faults from a seeded
 * random schedule.
 *
 * <p>Invariant: the same seed and rule give the same run. Thread safety: used by one thread.
 */
final class WarmupFleetSimulation {
    static final String SERVER = "runner";
    static final int SLOTS = 8;
    static final int COLD_CONCURRENCY = 2;
    static final long STEP_MS = 50;
    private static final int VMS = 5;
    private static final Duration DEADLINE = Duration.ofSeconds(5);

    /** Rule by which an entry limits its requests to the server. */
    enum LimitRule {
        /** Limits of {@link WarmupLimiter}, the class under test; printed under this name. */
        WARMTH_TABLE,
        /** Each entry uses an equal share of the requests that the server can run, at least 1. */
        STATIC_SHARE,
        /** As {@link #WARMTH_TABLE}, but with the reachable peers in place of the VM list. */
        OWNER_BY_REACHABILITY
    }

    /** Events of a schedule. */
    enum Fault {
        /** The platform publishes a VM list with a random subset of the entries. */
        LIST_CHANGE,
        /** The process of an entry stops for a while. */
        PAUSE,
        /** A partition: an entry cannot reach its peers nor, in half of the cases, the VM list. */
        SPLIT,
        /** The process of an entry ends and another one replaces it. */
        DEATH,
        /** The server restarts. */
        RESTART,
        /** The connection of one entry to the server fails. */
        RESET,
        /** The server becomes cold without a restart. */
        COOLING
    }

    final LimitRule mRule;
    final Random mRandom;
    final FakeServer mServer = new FakeServer();
    final List<Entry> mEntries = new ArrayList<>();
    final List<PublishedList> mLists = new ArrayList<>();
    private final WarmupTiming mTiming;
    private final boolean mReportsState;
    long mNowMs;

    /** Time for which the server had more requests than it could run while cold. */
    long mColdOverloadMs;

    long mCompleted;
    private int mNextVm = VMS;

    WarmupFleetSimulation(LimitRule rule, long seed, WarmupTiming timing) {
        mRule = rule;
        mRandom = new Random(seed);
        // Half of the schedules have a server that reports its state.
        mReportsState = seed % 2 == 0;
        mTiming = timing;
        List<Vm> vms = new ArrayList<>();
        for (int i = 0; i < VMS; i++) {
            vms.add(vm("vm" + i));
        }
        mLists.add(new PublishedList(0, VmList.of(1, vms)));
        vms.forEach(vm -> mEntries.add(new Entry(vm.name())));
    }

    static Vm vm(String name) {
        return new Vm(name, "10.0.0.1", 9, "d", "r", false);
    }

    VmList newest() {
        return mLists.get(mLists.size() - 1).list();
    }

    void publish(List<Vm> vms) {
        mLists.add(new PublishedList(mNowMs, VmList.of(newest().version() + 1, vms)));
    }

    /** Runs for a time; random faults occur at a mean interval of {@code meanGapMs}. */
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
                entry.mPartitionedUntilMs = mNowMs + mRandom.nextInt(40_000);
                entry.mListUnreachable = mRandom.nextBoolean();
            }
            case DEATH -> replaceEntry(anyEntry());
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

    /** Ends the process of an entry and starts another; its requests keep running on the server. */
    private void replaceEntry(Entry dead) {
        mEntries.remove(dead);
        for (Request request : mServer.mRequests) {
            request.mSender = request.mSender == dead ? null : request.mSender;
        }
        Entry fresh = new Entry(mRandom.nextBoolean() ? dead.mName : "vm" + mNextVm++);
        mEntries.add(fresh);
        publish(mEntries.stream().map(entry -> vm(entry.mName)).toList());
    }

    long nanos() {
        return Duration.ofMillis(mNowMs).toNanos();
    }

    /** A VM list and the time of its publication. */
    record PublishedList(long atMs, VmList list) {}

    /** A request that runs on the server; the sender is null once it has lost the request. */
    static final class Request {
        @Nullable Entry mSender;
        final long mEndMs;

        Request(Entry sender, long endMs) {
            mSender = sender;
            mEndMs = endMs;
        }
    }

    /** Server whose capacity while cold grows by one for every two completed requests. */
    final class FakeServer {
        final List<Request> mRequests = new ArrayList<>();
        int mEpoch = 1;
        long mEpochSinceMs;
        long mCompleted;

        int capacity() {
            return (int) Math.min(SLOTS, COLD_CONCURRENCY + mCompleted / 2);
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
                if (request.mSender != null) {
                    request.mSender.onRequestEnded(request, failing ? AttemptOutcome.FAILED : null);
                }
            }
        }

        ReportedLoad report(long ageMs) {
            int epoch = mNowMs - ageMs < mEpochSinceMs ? mEpoch - 1 : mEpoch;
            boolean warm = epoch == mEpoch && capacity() == SLOTS;
            return new ReportedLoad(
                    SERVER, "e" + epoch, state(warm), SLOTS, COLD_CONCURRENCY, mRequests.size(), 0);
        }

        private ReportedState state(boolean warm) {
            if (!mReportsState) {
                return ReportedState.UNKNOWN;
            }
            return warm ? ReportedState.WARM : ReportedState.COLD;
        }
    }

    /** Entry with the class under test and the connection that an adapter would keep open. */
    final class Entry {
        final String mName;
        final WarmupLimiter mLimiter;
        final long mTickOffsetMs = mRandom.nextInt(500) / STEP_MS * STEP_MS;
        final Map<Request, Integer> mOutstanding = new HashMap<>();
        long mPausedUntilMs;
        long mPartitionedUntilMs;
        boolean mListUnreachable;
        long mListLagMs = mRandom.nextInt((int) mTiming.listLagMax().toMillis());
        int mConnectedEpoch = -1;
        int mGeneration;
        private long mListVersion;
        private List<Vm> mReachable = List.of();

        Entry(String name) {
            mName = name;
            Duration listLagMax =
                    mRule == LimitRule.OWNER_BY_REACHABILITY ? Duration.ZERO : mTiming.listLagMax();
            mLimiter =
                    WarmupLimiter.create(
                            name,
                            new WarmupTiming(
                                    listLagMax,
                                    mTiming.longestDeadline(),
                                    mTiming.viewAgeMax(),
                                    mTiming.reportAgeMax()));
            BackendServer server =
                    new BackendServer(
                            SERVER, "p", "10.0.0.9", 80, "d", SLOTS, COLD_CONCURRENCY, false);
            mLimiter.updateServers(List.of(server), mTiming.longestDeadline());
        }

        boolean isPartitioned() {
            return mNowMs < mPartitionedUntilMs;
        }

        void step() {
            boolean tick = (mNowMs + mTickOffsetMs) % 500 == 0;
            if (tick) {
                readList();
            }
            if (mConnectedEpoch != mServer.mEpoch && (tick || mConnectedEpoch < 0)) {
                if (mConnectedEpoch >= 0) {
                    loseConnection();
                }
                mConnectedEpoch = mServer.mEpoch;
                mGeneration = mLimiter.connectionOpened(SERVER, nanos());
            }
            if (tick) {
                long ageMs = mRandom.nextInt(1_000);
                mLimiter.onLoadReport(
                        mServer.report(ageMs),
                        mGeneration,
                        nanos() - Duration.ofMillis(ageMs).toNanos(),
                        nanos());
                gossip();
            }
            while (limit() > mOutstanding.size() && send()) {
                continue;
            }
        }

        private void readList() {
            if (mRule == LimitRule.OWNER_BY_REACHABILITY) {
                List<Vm> reachable =
                        mEntries.stream()
                                .filter(peer -> peer == this || canReach(peer))
                                .map(peer -> vm(peer.mName))
                                .toList();
                mListVersion += reachable.equals(mReachable) ? 0 : 1;
                mReachable = reachable;
                mLimiter.updateVmList(
                        new ConfirmedValue<>(VmList.of(mListVersion, reachable), nanos()), nanos());
                return;
            }
            if (isPartitioned() && mListUnreachable) {
                return;
            }
            // The lag varies, but a reader never goes back to an older list.
            mListLagMs = mRandom.nextInt(20) == 0 ? randomLagMs() : mListLagMs;
            VmList list = mLists.get(0).list();
            for (PublishedList published : mLists) {
                if (published.atMs() <= mNowMs - mListLagMs) {
                    list = published.list();
                }
            }
            if (list.version() >= mListVersion) {
                mListVersion = list.version();
                mLimiter.updateVmList(new ConfirmedValue<>(list, nanos()), nanos());
            }
        }

        private long randomLagMs() {
            return mRandom.nextInt((int) mTiming.listLagMax().toMillis());
        }

        private boolean canReach(Entry peer) {
            return !isPartitioned() && !peer.isPartitioned() && mNowMs >= peer.mPausedUntilMs;
        }

        /** Sends all known announcements to a random peer. */
        private void gossip() {
            Entry peer = anyEntry();
            if (peer != this && canReach(peer)) {
                mLimiter.snapshot().forEach(item -> peer.mLimiter.merge(item, nanos()));
            }
        }

        int limit() {
            if (mRule == LimitRule.STATIC_SHARE) {
                int total = mServer.capacity() == SLOTS ? SLOTS : COLD_CONCURRENCY;
                return Math.max(1, total / mEntries.size());
            }
            return mLimiter.limit(SERVER, nanos());
        }

        private boolean send() {
            if (mConnectedEpoch != mServer.mEpoch) {
                // The server has restarted, so the connection fails at the first write.
                loseConnection();
                mConnectedEpoch = -1;
                return false;
            }
            mLimiter.onAttemptStarted(SERVER);
            long durationMs = 100 + mRandom.nextInt((int) DEADLINE.toMillis() - 100);
            Request request = new Request(this, mNowMs + durationMs);
            mOutstanding.put(request, mServer.mEpoch);
            mServer.mRequests.add(request);
            return true;
        }

        void onRequestEnded(Request request, @Nullable AttemptOutcome failure) {
            if (mOutstanding.remove(request) == null) {
                return;
            }
            AttemptOutcome end = failure == null ? AttemptOutcome.COMPLETED : failure;
            mCompleted += failure == null ? 1 : 0;
            mLimiter.onAttemptEnded(SERVER, end, 0, nanos());
        }

        /** The connection fails; the server keeps running the requests that it has received. */
        void reset() {
            loseConnection();
            mConnectedEpoch = -1;
        }

        private void loseConnection() {
            mLimiter.connectionClosed(SERVER, nanos());
            mOutstanding
                    .keySet()
                    .forEach(r -> mLimiter.onAttemptEnded(SERVER, AttemptOutcome.LOST, 0, nanos()));
            mOutstanding.keySet().forEach(r -> r.mSender = null);
            mOutstanding.clear();
        }
    }
}
