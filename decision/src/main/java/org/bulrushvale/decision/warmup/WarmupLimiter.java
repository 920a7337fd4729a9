package org.bulrushvale.decision.warmup;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bulrushvale.decision.config.BackendServer;
import org.bulrushvale.decision.membership.ConfirmedValue;
import org.bulrushvale.decision.membership.VmList;
import org.jspecify.annotations.Nullable;

/**
 * Tells how many concurrent requests this entry may have on each backend server.
 *
 * <p>A server is warm when a recent load report says so or, for servers that do not report their
 * state, when an announcement names the epoch of a recent report; otherwise it is cold. Only the
 * warm-up owner sends to a cold server; every entry sends its share to a warm one.
 *
 * <pre>{@code
 * if (table.limit(server, now) > outstanding) {
 *     table.started(server);
 * }
 * }</pre>
 *
 * <p>Invariant: the limits of all entries for one cold server sum to at most what the ramp permits,
 * as long as the VM lists that entries read differ by at most the stated lag. An attempt that this
 * entry gave up, but that may still run, counts against its limit unless the server reports that it
 * is warm. Thread safety: single-writer, used by the event loop only.
 */
public final class WarmupLimiter {
    private final WarmupOwnership mOwnership;
    private final Map<String, ServerWarmth> mServers = new HashMap<>();
    private final Map<String, WarmthAnnouncement> mOutgoing = new LinkedHashMap<>();

    private WarmupLimiter(WarmupOwnership ownership) {
        mOwnership = ownership;
    }

    /** Returns a table that permits nothing until it has servers, a VM list and load reports. */
    public static WarmupLimiter create(String self, WarmupTiming timing) {
        return new WarmupLimiter(WarmupOwnership.create(self, timing));
    }

    /** Sets the backend servers of the published configuration and its longest deadline. */
    public void updateServers(Collection<BackendServer> servers, Duration longestDeadline) {
        Set<String> names = new HashSet<>();
        for (BackendServer server : servers) {
            names.add(server.name());
            mServers.computeIfAbsent(server.name(), name -> new ServerWarmth())
                    .published(server.slots(), server.coldConcurrency());
        }
        mServers.keySet().retainAll(names);
        mOwnership.servers(names);
        mOwnership.longestDeadline(longestDeadline);
    }

    /** Takes the present VM list with its confirmation time. */
    public void updateVmList(ConfirmedValue<VmList> view, long nowNanos) {
        mOwnership.view(view, nowNanos);
    }

    /**
     * Records that the connection for load reports was opened; returns the number to pass with the
     * reports read on it. Reports measured earlier are ignored: the server may have restarted
     * between the loss of the old connection and now.
     */
    public int connectionOpened(String server, long nowNanos) {
        ServerWarmth warmth = mServers.get(server);
        return warmth == null ? 0 : warmth.connectionOpened(nowNanos);
    }

    /**
     * Takes a load report.
     *
     * @param generation result of {@link #connectionOpened} for the connection it was read on
     * @param measuredAtNanos time at which the report was asked for, less the age that it states
     */
    public void onLoadReport(
            ReportedLoad report, int generation, long measuredAtNanos, long nowNanos) {
        ServerWarmth warmth = mServers.get(report.server());
        if (warmth == null) {
            return;
        }
        boolean restarted = warmth.report(report, generation, measuredAtNanos);
        if (restarted && warmth.announcement(report.epoch()) == null) {
            // Sequence 0, so that it cannot undo a WARM that the owner has announced meanwhile.
            announce(warmth, new WarmthAnnouncement(report.server(), report.epoch(), 0, false));
        }
        announceWhenWarm(report.server(), warmth, nowNanos);
    }

    /**
     * Records that a connection to the server was closed or reset. Nothing is sent until a report
     * was read on a connection opened afterwards, because the server may have restarted.
     */
    public void connectionClosed(String server, long nowNanos) {
        ServerWarmth warmth = mServers.get(server);
        if (warmth != null) {
            warmth.connectionClosed(nowNanos);
        }
    }

    /** Returns how many concurrent requests this entry may have on the server, 0 for none. */
    public int limit(String server, long nowNanos) {
        ServerWarmth warmth = mServers.get(server);
        if (warmth == null) {
            return 0;
        }
        ReportedLoad report = usableReport(warmth, nowNanos);
        if (report == null) {
            return 0;
        }
        int permitted = permitted(server, warmth, report, nowNanos);
        if (report.state() == ReportedState.WARM) {
            // A warm server queues what passes its slots; only a cold one falls over.
            return permitted;
        }
        return Math.max(0, permitted - warmth.orphans(nowNanos));
    }

    private int permitted(String server, ServerWarmth warmth, ReportedLoad report, long nowNanos) {
        int slots = warmth.slots(report);
        int share = mOwnership.share(server, slots);
        return switch (report.state()) {
            // The report was read on a connection to this process, so its statement is newer than
            // any announcement about it.
            case WARM -> share;
            case COLD -> mOwnership.mayFeedCold(server, nowNanos) ? warmth.bearable(report) : 0;
            case UNKNOWN -> permittedByRamp(server, warmth, report, nowNanos);
        };
    }

    private int permittedByRamp(
            String server, ServerWarmth warmth, ReportedLoad report, long nowNanos) {
        int slots = warmth.slots(report);
        int share = mOwnership.share(server, slots);
        if (warmth.isAnnouncedWarm()) {
            return share;
        }
        if (!mOwnership.mayFeedCold(server, nowNanos)) {
            // The server may cool unnoticed while this entry sends nothing.
            warmth.mRamp.restart();
            return 0;
        }
        int ramp = warmth.mRamp.limit(warmth.bearable(report), slots);
        // At its slots the server may have been announced to entries that use their shares.
        return ramp == slots ? Math.min(ramp, share) : ramp;
    }

    private @Nullable ReportedLoad usableReport(ServerWarmth warmth, long nowNanos) {
        return warmth.usableReport(mOwnership.timing().reportAgeMax().toNanos(), nowNanos);
    }

    /** Records that an attempt was sent. */
    public void onAttemptStarted(String server) {
        ServerWarmth warmth = mServers.get(server);
        if (warmth != null) {
            warmth.started();
        }
    }

    /**
     * Records the end of an attempt.
     *
     * @param serviceTime time per unit of work, such as a token, or 0 when not known
     */
    public void onAttemptEnded(
            String server, AttemptOutcome end, double serviceTime, long nowNanos) {
        ServerWarmth warmth = mServers.get(server);
        if (warmth == null) {
            return;
        }
        long orphanUntil = nowNanos + mOwnership.timing().longestDeadline().toNanos();
        boolean cold = warmth.finished(end, orphanUntil);
        if (end == AttemptOutcome.COMPLETED && serviceTime > 0) {
            cold |= warmth.mLatency.sample(serviceTime);
        }
        if (cold) {
            markCold(server);
        }
        announceWhenWarm(server, warmth, nowNanos);
    }

    /** Treats the server as cold from now on and announces it when it was announced as warm. */
    public void markCold(String server) {
        ServerWarmth warmth = mServers.get(server);
        if (warmth == null || warmth.epoch().isEmpty()) {
            return;
        }
        if (warmth.isAnnouncedWarm()) {
            announce(warmth, next(server, warmth, false));
        }
        warmth.restartRamp();
    }

    private void announceWhenWarm(String server, ServerWarmth warmth, long nowNanos) {
        ReportedLoad report = usableReport(warmth, nowNanos);
        if (report == null
                || report.state() != ReportedState.UNKNOWN
                || warmth.isAnnouncedWarm()
                || !mOwnership.mayFeedCold(server, nowNanos)) {
            return;
        }
        int slots = warmth.slots(report);
        boolean rampDone = warmth.mRamp.limit(warmth.bearable(report), slots) == slots;
        int ownLoad = warmth.outstanding() + warmth.orphans(nowNanos);
        if (rampDone && ownLoad <= mOwnership.share(server, slots)) {
            announce(warmth, next(server, warmth, true));
        }
    }

    private static WarmthAnnouncement next(String server, ServerWarmth warmth, boolean warm) {
        WarmthAnnouncement known = warmth.announcement(warmth.epoch());
        long sequence = known == null ? 1 : known.sequence() + 1;
        return new WarmthAnnouncement(server, warmth.epoch(), sequence, warm);
    }

    private void announce(ServerWarmth warmth, WarmthAnnouncement announcement) {
        if (warmth.merge(announcement)) {
            mOutgoing.put(announcement.server() + "/" + announcement.epoch(), announcement);
        }
    }

    /** Takes a peer's announcement; returns true when it was new and is to be passed on. */
    public boolean merge(WarmthAnnouncement announcement, long nowNanos) {
        ServerWarmth warmth = mServers.get(announcement.server());
        if (warmth == null || !warmth.merge(announcement)) {
            return false;
        }
        mOutgoing.put(announcement.server() + "/" + announcement.epoch(), announcement);
        if (!announcement.epoch().equals(warmth.epoch())) {
            // Another epoch exists, so this entry's report may be that of a process now dead.
            warmth.requireNewReport(nowNanos);
        } else if (!announcement.warm()) {
            warmth.restartRamp();
        }
        return true;
    }

    /** Returns the announcements that are new since the last call, for gossip. */
    public List<WarmthAnnouncement> drainAnnouncements() {
        List<WarmthAnnouncement> announcements = new ArrayList<>(mOutgoing.values());
        mOutgoing.clear();
        return announcements;
    }

    /** Returns all known announcements, for a process that has just started. */
    public List<WarmthAnnouncement> snapshot() {
        List<WarmthAnnouncement> all = new ArrayList<>();
        mServers.values().forEach(warmth -> all.addAll(warmth.announcements()));
        return all;
    }

    /** Returns true when this entry may send to the server in some state, so that it reads it. */
    public boolean mayEverSendTo(String server) {
        ServerWarmth warmth = mServers.get(server);
        return warmth != null
                && (mOwnership.isOwner(server)
                        || mOwnership.share(server, warmth.publishedSlots()) > 0);
    }

    /** Returns the epoch of the last accepted report, empty when there is none. */
    public String epoch(String server) {
        ServerWarmth warmth = mServers.get(server);
        return warmth == null ? "" : warmth.epoch();
    }

    /** Returns true when this entry is the warm-up owner of the server. */
    public boolean isOwner(String server) {
        return mOwnership.isOwner(server);
    }

    /** Returns true when the server's present epoch was announced as warm. */
    public boolean isAnnouncedWarm(String server) {
        ServerWarmth warmth = mServers.get(server);
        return warmth != null && warmth.isAnnouncedWarm();
    }
}
