package org.bulrushvale.daemon.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.bulrushvale.adapters.metrics.EntryMetrics;
import org.bulrushvale.decision.admission.FairShares;
import org.bulrushvale.decision.admission.FairShares.Use;
import org.bulrushvale.kernel.time.Clock;

/**
 * Metrics of the queue of one stage service by workspace.
 *
 * <p>Invariant: label values are the names of at most 16 workspaces, {@code other} for the rest and
 * {@code none} for requests without a workspace. A place that is free is taken by the largest
 * workspace at once; a smaller workspace loses its place, and its metrics, at most once a minute,
 * so that short changes create no time series. Thread safety: used on the event loop; the gauges
 * are read by any thread.
 */
final class WorkspaceReport {
    static final int MAX_NAMES = 16;
    static final String OTHER = "other";
    static final String NONE = "none";
    private static final Duration UPDATE_PERIOD = Duration.ofSeconds(1);
    private static final Duration REPLACE_PERIOD = Duration.ofMinutes(1);
    private static final Use NOTHING = new Use(Collections.nCopies(FairShares.RANKS, 0), 0, 0);

    private final Clock mClock;
    private final EntryMetrics mMetrics;
    private final String mService;
    private final FairShares mShares;
    private final Set<String> mNames = new TreeSet<>();
    private long mUpdatedNanos;
    private long mReplacedNanos;
    private volatile Map<String, Use> mShown = Map.of();

    WorkspaceReport(Clock clock, EntryMetrics metrics, String service, FairShares shares) {
        mClock = clock;
        mMetrics = metrics;
        mService = service;
        mShares = shares;
        mReplacedNanos = clock.monotonicNanos();
        mUpdatedNanos = clock.monotonicNanos() - UPDATE_PERIOD.toNanos();
        registerGauges(OTHER);
    }

    private static String name(String workspace) {
        return workspace.isEmpty() ? NONE : workspace;
    }

    private String label(String name) {
        return mNames.contains(name) ? name : OTHER;
    }

    /** Records how long a group waited for its start. */
    void waited(String workspace, String rank, Duration wait) {
        mMetrics.time(
                "bulrushvale.workspace.wait",
                wait,
                "service",
                mService,
                "rank",
                rank,
                "workspace",
                label(name(workspace)));
    }

    /** Updates the gauges; does nothing within a second after the last update. */
    void update() {
        long now = mClock.monotonicNanos();
        if (now - mUpdatedNanos < UPDATE_PERIOD.toNanos()) {
            return;
        }
        mUpdatedNanos = now;
        Map<String, Use> uses = new HashMap<>();
        mShares.use().forEach((workspace, use) -> uses.merge(name(workspace), use, Use::plus));
        chooseNames(uses, now);
        Map<String, Use> shown = new HashMap<>();
        uses.forEach((name, use) -> shown.merge(label(name), use, Use::plus));
        mShown = Map.copyOf(shown);
    }

    private void chooseNames(Map<String, Use> uses, long now) {
        int waiting = uses.values().stream().mapToInt(Use::allWaitingGroups).sum();
        List<String> largest = new ArrayList<>(uses.keySet());
        largest.removeIf(name -> name.equals(OTHER));
        largest.sort(
                Comparator.comparingDouble(
                                (String name) -> -size(uses.getOrDefault(name, NOTHING), waiting))
                        .thenComparing(name -> name));
        if (now - mReplacedNanos >= REPLACE_PERIOD.toNanos()) {
            mReplacedNanos = now;
            replaceSmaller(new HashSet<>(largest.subList(0, Math.min(MAX_NAMES, largest.size()))));
        }
        for (String name : largest) {
            if (mNames.size() < MAX_NAMES && mNames.add(name)) {
                registerGauges(name);
            }
        }
    }

    /** Frees as many places as the largest workspaces need. */
    private void replaceSmaller(Set<String> largest) {
        long missing = largest.stream().filter(name -> !mNames.contains(name)).count();
        long excess = mNames.size() + missing - MAX_NAMES;
        for (String name : List.copyOf(mNames)) {
            if (excess > 0 && !largest.contains(name)) {
                mNames.remove(name);
                mMetrics.remove("service", mService, "workspace", name);
                excess--;
            }
        }
    }

    /** The larger of the parts of the started work and of the queue, 0 to 1. */
    private static double size(Use use, int allWaiting) {
        double queued = allWaiting > 0 ? (double) use.allWaitingGroups() / allWaiting : 0;
        return Math.max(use.used(), queued);
    }

    private Use shown(String name) {
        return mShown.getOrDefault(name, NOTHING);
    }

    private void registerGauges(String name) {
        String[] labels = {"service", mService, "workspace", name};
        mMetrics.gauge("bulrushvale.workspace.share.used", () -> shown(name).used(), labels);
        mMetrics.gauge("bulrushvale.workspace.share.owed", () -> shown(name).owed(), labels);
        for (int rank = 0; rank < FairShares.RANKS; rank++) {
            int index = rank;
            mMetrics.gauge(
                    "bulrushvale.workspace.queue.groups",
                    () -> shown(name).waitingGroups().get(index),
                    "service",
                    mService,
                    "workspace",
                    name,
                    "rank",
                    Integer.toString(rank));
        }
    }
}
