package org.bulrushvale.decision.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import org.bulrushvale.kernel.time.Clock;

/**
 * Divides a service among workspaces by start-time fair queueing of work.
 *
 * <p>Each workspace has a virtual time for each rank, which the work that it starts advances by the
 * work divided by its share. The workspace with the least virtual time comes next. Ranks are
 * accounted for separately, because a better rank is always served first: with a common account, a
 * workspace whose work of a worse rank waits for long would hold back the least virtual time, and
 * newcomers of the better rank would begin with a large credit.
 *
 * <p>Invariants: the virtual time of a workspace never decreases while it is kept; a workspace that
 * begins to wait is never behind the least virtual time of those that wait at its rank, so idle
 * time earns no credit. Only workspaces that wait or started work within the last 10 s are kept.
 * Thread safety: not safe; used by the event loop.
 */
public final class FairShares {
    /** Number of ranks with accounts of their own; worse ranks share the last one. */
    public static final int RANKS = 5;

    // Covers a burst of 3 to 10 s, so that the part used is that of the burst.
    private static final Duration RECENT = Duration.ofSeconds(10);
    private static final Duration CLEANUP_PERIOD = Duration.ofSeconds(1);

    private final Clock mClock;
    private final ToDoubleFunction<String> mShares;
    private final List<RankAccounts> mRanks = new ArrayList<>();
    private long mCleanupNanos;

    /** Creates an empty account with equal shares. */
    public FairShares(Clock clock) {
        this(clock, workspace -> 1);
    }

    /**
     * Creates an empty account.
     *
     * @param shares returns the share of a workspace relative to the others; a value that is not
     *     positive and finite counts as 1
     */
    public FairShares(Clock clock, ToDoubleFunction<String> shares) {
        mClock = clock;
        mShares = shares;
        mCleanupNanos = clock.monotonicNanos();
        for (int rank = 0; rank < RANKS; rank++) {
            mRanks.add(new RankAccounts());
        }
    }

    private RankAccounts accounts(int rank) {
        return mRanks.get(Math.max(0, Math.min(RANKS - 1, rank)));
    }

    private double share(String workspace) {
        double share = mShares.applyAsDouble(workspace);
        return share > 0 && Double.isFinite(share) ? share : 1;
    }

    /** Records that one more group of a workspace waits. */
    public void addWaiting(int rank, String workspace) {
        forgetIdle();
        RankAccounts accounts = accounts(rank);
        Account account = accounts.mByWorkspace.get(workspace);
        if (account == null || account.mWaiting == 0) {
            double start = startOfNewcomer(accounts);
            if (account == null) {
                account = new Account(mClock.monotonicNanos());
                accounts.mByWorkspace.put(workspace, account);
            }
            account.mVirtualTime = Math.max(account.mVirtualTime, start);
        }
        account.mWaiting++;
    }

    /** Records that a group of a workspace has started or was removed. */
    public void removeWaiting(int rank, String workspace) {
        RankAccounts accounts = accounts(rank);
        Account account = accounts.mByWorkspace.get(workspace);
        if (account != null && account.mWaiting > 0) {
            if (account.mWaiting == 1) {
                // Kept for the next newcomer, which would otherwise begin behind it.
                accounts.mLeast = startOfNewcomer(accounts);
            }
            account.mWaiting--;
        }
    }

    /** Returns the least virtual time of the workspaces that wait, which never decreases. */
    private static double startOfNewcomer(RankAccounts accounts) {
        double least = Double.POSITIVE_INFINITY;
        for (Account account : accounts.mByWorkspace.values()) {
            if (account.mWaiting > 0) {
                least = Math.min(least, account.mVirtualTime);
            }
        }
        return Double.isFinite(least) ? Math.max(accounts.mLeast, least) : accounts.mLeast;
    }

    /** Returns the virtual time at which the next group of a workspace would start. */
    public double virtualTime(int rank, String workspace) {
        RankAccounts accounts = accounts(rank);
        Account account = accounts.mByWorkspace.get(workspace);
        if (account != null && account.mWaiting > 0) {
            return account.mVirtualTime;
        }
        double start = startOfNewcomer(accounts);
        return account == null ? start : Math.max(account.mVirtualTime, start);
    }

    /** Returns by how much work advances the virtual time of a workspace. */
    public double advance(String workspace, double work) {
        return work / share(workspace);
    }

    /**
     * Charges a workspace with work that starts; the workspace must wait.
     *
     * @param work work in a unit that is the same for all workspaces, such as seconds
     */
    public void charge(int rank, String workspace, double work) {
        Account account = accounts(rank).mByWorkspace.get(workspace);
        if (account == null) {
            return;
        }
        long now = mClock.monotonicNanos();
        account.mVirtualTime += advance(workspace, work);
        account.mRecentWork = account.recentWork(now) + work;
        account.mStartedNanos = now;
    }

    private void forgetIdle() {
        long now = mClock.monotonicNanos();
        if (now - mCleanupNanos < CLEANUP_PERIOD.toNanos()) {
            return;
        }
        mCleanupNanos = now;
        for (RankAccounts accounts : mRanks) {
            accounts.mByWorkspace.values().removeIf(account -> account.isIdle(now));
        }
    }

    /** Returns the number of accounts that are kept. */
    int accountCount() {
        return mRanks.stream().mapToInt(accounts -> accounts.mByWorkspace.size()).sum();
    }

    /** Returns what each workspace that waits or started work lately used and was owed, by name. */
    public Map<String, Use> use() {
        long now = mClock.monotonicNanos();
        Map<String, Double> work = new TreeMap<>();
        Map<String, int[]> waiting = new HashMap<>();
        for (int rank = 0; rank < RANKS; rank++) {
            int index = rank;
            Map<String, Account> accounts = mRanks.get(rank).mByWorkspace;
            accounts.values().removeIf(account -> account.isIdle(now));
            accounts.forEach(
                    (workspace, account) -> {
                        work.merge(workspace, account.recentWork(now), Double::sum);
                        waiting.computeIfAbsent(workspace, name -> new int[RANKS])[index] =
                                account.mWaiting;
                    });
        }
        double allWork = work.values().stream().mapToDouble(each -> each).sum();
        double allShares = work.keySet().stream().mapToDouble(this::share).sum();
        Map<String, Use> use = new TreeMap<>();
        work.forEach(
                (workspace, each) -> {
                    int[] groups = waiting.getOrDefault(workspace, new int[RANKS]);
                    use.put(
                            workspace,
                            new Use(
                                    Arrays.stream(groups).boxed().toList(),
                                    allWork > 0 ? each / allWork : 0,
                                    share(workspace) / allShares));
                });
        return use;
    }

    /**
     * What a workspace used of a service.
     *
     * <p>Thread safety: immutable.
     *
     * @param waitingGroups number of its groups that wait, by rank; worse ranks than 4 count as 4
     * @param used its part of the work that was started lately, 0 to 1
     * @param owed its part by shares among the workspaces that wait or started work lately, 0 to 1
     */
    public record Use(List<Integer> waitingGroups, double used, double owed) {
        public Use {
            waitingGroups = List.copyOf(waitingGroups);
        }

        /** Returns the number of its groups that wait. */
        public int allWaitingGroups() {
            return waitingGroups.stream().mapToInt(groups -> groups).sum();
        }

        /** Returns the use of two workspaces together. */
        public Use plus(Use other) {
            List<Integer> groups = new ArrayList<>();
            for (int rank = 0; rank < waitingGroups.size(); rank++) {
                groups.add(waitingGroups.get(rank) + other.waitingGroups.get(rank));
            }
            return new Use(groups, used + other.used, owed + other.owed);
        }
    }

    /**
     * The accounts of one rank.
     *
     * <p>Thread safety: not safe.
     */
    private static final class RankAccounts {
        private final Map<String, Account> mByWorkspace = new HashMap<>();
        private double mLeast;
    }

    /**
     * The account of one workspace.
     *
     * <p>Thread safety: not safe.
     */
    private static final class Account {
        private double mVirtualTime;
        private int mWaiting;
        private double mRecentWork;
        private long mStartedNanos;

        Account(long nowNanos) {
            mStartedNanos = nowNanos;
        }

        double recentWork(long nowNanos) {
            return mRecentWork * Math.exp(-(double) (nowNanos - mStartedNanos) / RECENT.toNanos());
        }

        boolean isIdle(long nowNanos) {
            return mWaiting == 0 && nowNanos - mStartedNanos > RECENT.toNanos();
        }
    }
}
