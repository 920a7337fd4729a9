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
 * Limits the concurrent requests that this entry may have on each backend server.
 *
 * <p>A server is warm when a recent load report says so. A server that does not report its state is
 * warm when an announcement for the epoch of a recent report says so. Otherwise it is cold. Only
 * the warm-up owner sends to a cold server; each entry may use its share of the slots of a warm
 * one.
 *
 * <pre>{@code
 * if (limiter.limit(server, now) > outstanding) {
 *     limiter.onAttemptStarted(server);
 * }
 * }</pre>
 *
 * <p>Invariant: the limits of all entries for one cold server sum to at most the limit of the ramp,
 * as long as the VM lists that the entries read differ by at most {@link WarmupTiming#listLagMax}.
 * An attempt that this entry gave up, but that may still run, counts against its limit unless the
 * server reports that it is warm. Thread safety: single-writer, used by the event loop only.
 */
public final class WarmupLimiter {
    private final WarmupOwnership mOwnership;
    private final Map<String, ServerWarmupState> mServers = new HashMap<>();
    private final Map<String, WarmthAnnouncement> mUnsentAnnouncements = new LinkedHashMap<>();

    private WarmupLimiter(WarmupOwnership ownership) {
        mOwnership = ownership;
    }

    /** Returns a limiter whose limits are 0 until it has servers, a VM list and load reports. */
    public static WarmupLimiter create(String self, WarmupTiming timing) {
        return new WarmupLimiter(WarmupOwnership.create(self, timing));
    }

    /** Sets the backend servers of the published configuration and its longest deadline. */
    public void updateServers(Collection<BackendServer> servers, Duration longestDeadline) {
        Set<String> names = new HashSet<>();
        for (BackendServer server : servers) {
            names.add(server.name());
            mServers.computeIfAbsent(server.name(), name -> new ServerWarmupState())
                    .updatePublishedLimits(server.slots(), server.coldConcurrency());
        }
        mServers.keySet().retainAll(names);
        mOwnership.updateServers(names);
        mOwnership.raiseLongestDeadline(longestDeadline);
    }

    /** Updates the VM list, which comes with the time of its last confirmation. */
    public void updateVmList(ConfirmedValue<VmList> confirmedList, long nowNanos) {
        mOwnership.updateVmList(confirmedList, nowNanos);
    }

    /**
     * Records that a connection for load reports was opened; returns the generation of the
     * connection, to be passed to {@link #onLoadReport} with the reports read on it. Reports
     * measured earlier are ignored, because the server may have restarted between the loss of the
     * previous connection and now.
     */
    public int connectionOpened(String server, long nowNanos) {
        ServerWarmupState state = mServers.get(server);
        return state == null ? 0 : state.connectionOpened(nowNanos);
    }

    /**
     * Records a load report.
     *
     * @param generation result of {@link #connectionOpened} for the connection that the report was
     *     read on
     * @param measuredAtNanos time at which the report was requested, minus the age that it states
     */
    public void onLoadReport(
            ReportedLoad report, int generation, long measuredAtNanos, long nowNanos) {
        ServerWarmupState state = mServers.get(report.server());
        if (state == null) {
            return;
        }
        boolean restarted = state.onLoadReport(report, generation, measuredAtNanos);
        if (restarted && state.announcement(report.epoch()) == null) {
            // Sequence 0 cannot supersede a WARM that the owner has announced in the meantime.
            announce(state, new WarmthAnnouncement(report.server(), report.epoch(), 0, false));
        }
        announceWhenWarm(report.server(), state, nowNanos);
    }

    /**
     * Records that a connection to the server was closed or reset. The limit is 0 until a report is
     * read on a connection opened afterwards, because the server may have restarted.
     */
    public void connectionClosed(String server, long nowNanos) {
        ServerWarmupState state = mServers.get(server);
        if (state != null) {
            state.connectionClosed(nowNanos);
        }
    }

    /** Returns the number of concurrent requests that this entry may have on the server. */
    public int limit(String server, long nowNanos) {
        ServerWarmupState state = mServers.get(server);
        if (state == null) {
            return 0;
        }
        ReportedLoad report = usableReport(state, nowNanos);
        if (report == null) {
            return 0;
        }
        int limit = limitForState(server, state, report, nowNanos);
        if (report.state() == ReportedState.WARM) {
            // A warm server queues requests beyond its slots; only a cold one fails under them.
            return limit;
        }
        return Math.max(0, limit - state.abandonedAttempts(nowNanos));
    }

    private int limitForState(
            String server, ServerWarmupState state, ReportedLoad report, long nowNanos) {
        int slots = state.slots(report);
        int share = mOwnership.share(server, slots);
        return switch (report.state()) {
            // The report was read on a connection to the current server process, so its state is
            // newer than any announcement about that process.
            case WARM -> share;
            case COLD ->
                    mOwnership.maySendToCold(server, nowNanos) ? state.coldConcurrency(report) : 0;
            case UNKNOWN -> limitForUnknownState(server, state, report, nowNanos);
        };
    }

    private int limitForUnknownState(
            String server, ServerWarmupState state, ReportedLoad report, long nowNanos) {
        int slots = state.slots(report);
        int share = mOwnership.share(server, slots);
        if (state.isAnnouncedWarm()) {
            return share;
        }
        if (!mOwnership.maySendToCold(server, nowNanos)) {
            // While this entry sends nothing, it would not notice that the server becomes cold.
            state.mRamp.restart();
            return 0;
        }
        int ramp = state.mRamp.limit(state.coldConcurrency(report), slots);
        // Once the ramp reaches the slots, the server may already be announced as warm to
        // entries that use their shares.
        return ramp == slots ? Math.min(ramp, share) : ramp;
    }

    private @Nullable ReportedLoad usableReport(ServerWarmupState state, long nowNanos) {
        return state.usableReport(mOwnership.timing().reportAgeMax().toNanos(), nowNanos);
    }

    /** Records that an attempt was sent. */
    public void onAttemptStarted(String server) {
        ServerWarmupState state = mServers.get(server);
        if (state != null) {
            state.onAttemptStarted();
        }
    }

    /**
     * Records the end of an attempt.
     *
     * @param serviceTime time per unit of work, such as a token, in any fixed unit; 0 when unknown
     */
    public void onAttemptEnded(
            String server, AttemptOutcome end, double serviceTime, long nowNanos) {
        ServerWarmupState state = mServers.get(server);
        if (state == null) {
            return;
        }
        long abandonedUntilNanos = nowNanos + mOwnership.timing().longestDeadline().toNanos();
        boolean cold = state.onAttemptEnded(end, abandonedUntilNanos);
        if (end == AttemptOutcome.COMPLETED && serviceTime > 0) {
            cold |= state.mLatencyJumps.addSample(serviceTime);
        }
        if (cold) {
            markCold(server);
        }
        announceWhenWarm(server, state, nowNanos);
    }

    /**
     * Restarts the ramp of the server. When the server was announced as warm, announces it as cold.
     */
    public void markCold(String server) {
        ServerWarmupState state = mServers.get(server);
        if (state == null || state.epoch().isEmpty()) {
            return;
        }
        if (state.isAnnouncedWarm()) {
            announce(state, nextAnnouncement(server, state, false));
        }
        state.restartRamp();
    }

    private void announceWhenWarm(String server, ServerWarmupState state, long nowNanos) {
        ReportedLoad report = usableReport(state, nowNanos);
        if (report == null
                || report.state() != ReportedState.UNKNOWN
                || state.isAnnouncedWarm()
                || !mOwnership.maySendToCold(server, nowNanos)) {
            return;
        }
        int slots = state.slots(report);
        boolean rampAtSlots = state.mRamp.limit(state.coldConcurrency(report), slots) == slots;
        int ownAttempts = state.outstandingAttempts() + state.abandonedAttempts(nowNanos);
        if (rampAtSlots && ownAttempts <= mOwnership.share(server, slots)) {
            announce(state, nextAnnouncement(server, state, true));
        }
    }

    private static WarmthAnnouncement nextAnnouncement(
            String server, ServerWarmupState state, boolean warm) {
        WarmthAnnouncement known = state.announcement(state.epoch());
        long sequence = known == null ? 1 : known.sequence() + 1;
        return new WarmthAnnouncement(server, state.epoch(), sequence, warm);
    }

    private void announce(ServerWarmupState state, WarmthAnnouncement announcement) {
        if (state.merge(announcement)) {
            mUnsentAnnouncements.put(
                    announcement.server() + "/" + announcement.epoch(), announcement);
        }
    }

    /** Merges an announcement of a peer; returns true when it was new and must be passed on. */
    public boolean merge(WarmthAnnouncement announcement, long nowNanos) {
        ServerWarmupState state = mServers.get(announcement.server());
        if (state == null || !state.merge(announcement)) {
            return false;
        }
        mUnsentAnnouncements.put(announcement.server() + "/" + announcement.epoch(), announcement);
        if (!announcement.epoch().equals(state.epoch())) {
            // The server has another epoch, so the known report may be of a process that has ended.
            state.requireNewReport(nowNanos);
        } else if (!announcement.warm()) {
            state.restartRamp();
        }
        return true;
    }

    /** Returns and forgets the announcements that are new since the last call, for gossip. */
    public List<WarmthAnnouncement> drainAnnouncements() {
        List<WarmthAnnouncement> announcements = new ArrayList<>(mUnsentAnnouncements.values());
        mUnsentAnnouncements.clear();
        return announcements;
    }

    /** Returns all known announcements, to be sent to a peer that has just started. */
    public List<WarmthAnnouncement> snapshot() {
        List<WarmthAnnouncement> all = new ArrayList<>();
        mServers.values().forEach(state -> all.addAll(state.announcements()));
        return all;
    }

    /**
     * Returns true when this entry may send to the server while the server is warm or cold, and so
     * must read its load reports.
     */
    public boolean mayEverSendTo(String server) {
        ServerWarmupState state = mServers.get(server);
        return state != null
                && (mOwnership.isOwner(server)
                        || mOwnership.share(server, state.publishedSlots()) > 0);
    }

    /** Returns the epoch of the last accepted report, empty when there is none. */
    public String epoch(String server) {
        ServerWarmupState state = mServers.get(server);
        return state == null ? "" : state.epoch();
    }

    /** Returns true when this entry is the warm-up owner of the server. */
    public boolean isOwner(String server) {
        return mOwnership.isOwner(server);
    }

    /** Returns true when the current epoch of the server was announced as warm. */
    public boolean isAnnouncedWarm(String server) {
        ServerWarmupState state = mServers.get(server);
        return state != null && state.isAnnouncedWarm();
    }
}
