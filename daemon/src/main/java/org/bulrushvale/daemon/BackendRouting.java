package org.bulrushvale.daemon;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.bulrushvale.adapters.settings.EntrySettings;
import org.bulrushvale.decision.config.BackendServer;
import org.bulrushvale.decision.config.PublishedConfig;
import org.bulrushvale.decision.config.Stage;
import org.bulrushvale.decision.config.WorkClass;
import org.bulrushvale.decision.forward.StatedRate;
import org.bulrushvale.decision.forward.StatedRateLimits;
import org.bulrushvale.decision.membership.ConfirmedValue;
import org.bulrushvale.decision.membership.VmList;
import org.bulrushvale.decision.retry.ContentFingerprint;
import org.bulrushvale.decision.retry.PoisonTable;
import org.bulrushvale.decision.retry.SuspectServers;
import org.bulrushvale.decision.routing.BackendState;
import org.bulrushvale.decision.routing.BackendTable;
import org.bulrushvale.decision.routing.ConcurrencyLimit;
import org.bulrushvale.decision.routing.LeastOutstandingPolicy;
import org.bulrushvale.decision.routing.PowerOfTwoPolicy;
import org.bulrushvale.decision.routing.RoundRobinPolicy;
import org.bulrushvale.decision.routing.RoutingPolicy;
import org.bulrushvale.decision.routing.RoutingRequest;
import org.bulrushvale.decision.warmup.AttemptOutcome;
import org.bulrushvale.decision.warmup.ReportedLoad;
import org.bulrushvale.decision.warmup.WarmupLimiter;
import org.bulrushvale.decision.warmup.WarmupTiming;
import org.bulrushvale.kernel.time.Clock;
import org.jboss.logging.Logger;

/**
 * Chooses servers by the routing policy within the concurrency limits of the warm-up rules.
 *
 * <p>Invariant: the backend table, the warm-up limiter and the poison table count the same
 * attempts; a server that the accepted configuration takes out of service is never chosen. Thread
 * safety: owned by the event loop.
 */
final class BackendRouting implements ServerPicker {
    private static final Logger LOG = Logger.getLogger(BackendRouting.class);

    private final BackendTable mTable = new BackendTable();
    private final WarmupLimiter mWarmupLimiter;
    private final PoisonTable mPoison;
    private final SuspectServers mSuspectServers;
    private final RoutingPolicy mPolicy;
    private final ListedEntries mEntries;
    private final StatedRateLimits mStatedLimits;
    private final ConcurrencyLimit mLimit;
    private final String mFailureDomain;
    private final Clock mClock;

    BackendRouting(EntrySettings settings, PoisonTable poison, Clock clock, long seed) {
        EntrySettings.Warmup warmup = settings.warmup();
        mWarmupLimiter =
                WarmupLimiter.create(
                        settings.entry().vm(),
                        new WarmupTiming(
                                warmup.listLagMax(),
                                warmup.longestDeadline(),
                                warmup.viewAgeMax(),
                                warmup.reportAgeMax()));
        mPoison = poison;
        mSuspectServers = new SuspectServers(settings.entry().vm());
        mPolicy = policy(settings.routing().policy(), seed);
        mEntries = new ListedEntries(settings.entry().vm());
        mStatedLimits = new StatedRateLimits(clock, mEntries);
        ConcurrencyLimit slotLimit =
                settings.routing().warmup()
                        ? mWarmupLimiter::limit
                        : (server, now) -> slotsOf(server);
        mLimit =
                (server, now) ->
                        mStatedLimits.permits(processName(server), false) > 0
                                ? slotLimit.limit(server, now)
                                : 0;
        mFailureDomain = settings.entry().failureDomain();
        mClock = clock;
    }

    private static RoutingPolicy policy(String name, long seed) {
        return switch (name) {
            case "round_robin" -> new RoundRobinPolicy();
            case "least_outstanding" -> new LeastOutstandingPolicy();
            default -> PowerOfTwoPolicy.seeded(seed);
        };
    }

    private int slotsOf(String server) {
        return mTable.backend(server).map(backend -> backend.server().slots()).orElse(0);
    }

    /** Returns the warm-up limiter, whose announcements are exchanged with peers. */
    WarmupLimiter warmupLimiter() {
        return mWarmupLimiter;
    }

    /** Applies an accepted configuration. */
    void config(PublishedConfig config) {
        mTable.applyConfig(config);
        Duration longest =
                config.classes().stream()
                        .map(WorkClass::deadline)
                        .max(Duration::compareTo)
                        .orElse(Duration.ZERO);
        mWarmupLimiter.updateServers(config.backends(), longest);
    }

    /** Applies the present VM list with its confirmation time. */
    void vmList(ConfirmedValue<VmList> view) {
        mWarmupLimiter.updateVmList(view, mClock.monotonicNanos());
        mSuspectServers.updateEntries(view.value().liveNames());
        mEntries.update(view.value().liveNames());
    }

    /**
     * Applies the rate that a server states for all entries together. Every entry reads the load
     * reports, so entries need not tell each other.
     */
    void statedRate(String server, String epoch, OptionalDouble requestsPerSecond) {
        List<StatedRate> changed = mStatedLimits.onAnswer(server + "/" + epoch, requestsPerSecond);
        for (StatedRate rate : changed) {
            LOG.infof(
                    "server process %s states a limit of %s requests per second",
                    rate.process(), rate.requestsPerSecond());
        }
    }

    private String processName(String server) {
        return server + "/" + epoch(server);
    }

    /** Applies a load report that was read in the given connection generation. */
    void report(ReportedLoad report, int generation, long measuredAtNanos) {
        mTable.applyReport(report, measuredAtNanos);
        mWarmupLimiter.onLoadReport(report, generation, measuredAtNanos, mClock.monotonicNanos());
    }

    @Override
    public Optional<BackendServer> pick(
            Stage stage,
            Set<String> avoid,
            boolean mustAvoid,
            String prefix,
            ContentFingerprint content) {
        Set<String> forbidden = serversForbiddenFor(stage.pool(), content);
        Set<String> excluded = new HashSet<>(forbidden);
        excluded.addAll(avoid);
        Optional<BackendState> chosen = choose(stage, prefix, excluded);
        if (chosen.isEmpty() && !avoid.isEmpty() && !mustAvoid) {
            chosen = choose(stage, prefix, forbidden);
        }
        chosen.ifPresent(backend -> started(backend.server().name(), content));
        return chosen.map(BackendState::server);
    }

    private Optional<BackendState> choose(Stage stage, String prefix, Set<String> excluded) {
        RoutingRequest request = new RoutingRequest(stage.pool(), mFailureDomain, prefix, excluded);
        return mPolicy.choose(request, mTable, mLimit, mClock.monotonicNanos());
    }

    private Set<String> serversForbiddenFor(String pool, ContentFingerprint content) {
        if (!mPoison.isSuspect(content)) {
            return Set.of();
        }
        List<String> servers =
                mTable.pool(pool).stream().map(backend -> backend.server().name()).toList();
        long now = mClock.monotonicNanos();
        Set<String> permitted =
                mSuspectServers.permitted(pool, servers, name -> mLimit.limit(name, now) > 0, now);
        Set<String> forbidden = new HashSet<>();
        for (String name : servers) {
            if (!permitted.contains(name) || !mPoison.mayStart(content, name)) {
                forbidden.add(name);
            }
        }
        return forbidden;
    }

    private void started(String server, ContentFingerprint content) {
        mTable.recordStart(server);
        mStatedLimits.recordSent(processName(server));
        mWarmupLimiter.onAttemptStarted(server);
        mPoison.onStarted(content, server);
    }

    @Override
    public boolean hasRoom(String pool) {
        long now = mClock.monotonicNanos();
        for (BackendState backend : mTable.pool(pool)) {
            if (backend.outstanding() < mLimit.limit(backend.server().name(), now)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the published slots while the limits of all servers are zero: after a lost connection
     * the next load report arrives within a few milliseconds, and waiting requests must not be
     * refused meanwhile.
     */
    @Override
    public int slots(String pool) {
        long now = mClock.monotonicNanos();
        List<BackendState> servers = mTable.pool(pool);
        int permittedSlots =
                servers.stream().mapToInt(b -> mLimit.limit(b.server().name(), now)).sum();
        return permittedSlots > 0
                ? permittedSlots
                : servers.stream().mapToInt(b -> b.server().slots()).sum();
    }

    @Override
    public String epoch(String server) {
        // The limits come from the report that the warm-up limiter accepted, so its epoch takes
        // precedence.
        String acceptedEpoch = mWarmupLimiter.epoch(server);
        return acceptedEpoch.isEmpty()
                ? mTable.backend(server).map(BackendState::epoch).orElse("")
                : acceptedEpoch;
    }

    @Override
    public void finished(
            BackendServer server,
            ContentFingerprint content,
            AttemptOutcome end,
            double nanosPerToken) {
        mTable.recordEnd(server.name());
        mWarmupLimiter.onAttemptEnded(server.name(), end, nanosPerToken, mClock.monotonicNanos());
        mPoison.onEnded(content, server.name());
    }
}
