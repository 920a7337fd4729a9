package org.bulrushvale.daemon.forward;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import net.openhft.hashing.LongHashFunction;
import org.bulrushvale.adapters.forward.CallerRequestMetadata;
import org.bulrushvale.adapters.settings.ForwardSettings.PlacementPolicy;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.decision.forward.ServerChoice;
import org.bulrushvale.decision.forward.ServiceSpec;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the servers of one request and records how soon they send their first event.
 *
 * <p>Invariants: once the request is bound to a software version, only servers of that version are
 * chosen; before that, a stream that may be taken up is sent only to servers of the version that
 * {@link org.bulrushvale.decision.forward.VersionChoice} names at that time. Thread safety: used on
 * the event loop.
 */
final class ServerPlacement {
    private static final double PERCENT = 100.0;
    private static final double NANOS_PER_MILLI = 1e6;

    private final ForwardServices mServices;
    private final CallerRequestMetadata mRequest;
    private final String mServiceName;
    private final ServiceSpec mService;
    private ServerChoice.Request mLastRequest = new ServerChoice.Request("", "", 0, 0, "", 0);
    private ServerChoice.Estimate mEstimate = ServerChoice.Estimate.NONE;
    private boolean mProbed;
    private Optional<String> mVersion = Optional.empty();
    private OptionalLong mStream = OptionalLong.empty();

    ServerPlacement(ForwardServices services, CallerRequestMetadata request, ServiceSpec service) {
        mServices = services;
        mRequest = request;
        mServiceName = service.name();
        mService = service;
    }

    /**
     * Binds the request to servers of one software version, because what two versions write does
     * not fit together.
     */
    void bindToVersion(String version) {
        mVersion = Optional.of(version);
    }

    /** Lets a stream begin at a version that can be worked out again later. */
    void beginAtChosenVersion(long stream) {
        mStream = OptionalLong.of(stream);
    }

    /**
     * Returns the server to send to, or null when none may receive the request now.
     *
     * @param tried ids of servers that must not be chosen
     * @param useAffinity false to keep away from the servers that requests with the same prompt
     *     prefer
     * @param inputDomain failure domain that holds the stage results; empty for none
     */
    @Nullable Server choose(Collection<String> tried, boolean useAffinity, String inputDomain) {
        return choose(eligible(), tried, useAffinity, inputDomain);
    }

    /**
     * Returns the server to send to among the candidates, or null when none may receive the request
     * now. The affinity is not used, because the server that it prefers is usually left out.
     *
     * @param tried ids of servers that must not be chosen
     * @param inputDomain failure domain that holds the stage results; empty for none
     */
    @Nullable Server chooseAmong(
            List<Server> candidates, Collection<String> tried, String inputDomain) {
        return choose(ofVersion(candidates), tried, false, inputDomain);
    }

    private @Nullable Server choose(
            List<Server> candidates,
            Collection<String> tried,
            boolean useAffinity,
            String inputDomain) {
        mLastRequest = request(useAffinity, inputDomain);
        Server server =
                mServices
                        .serverChoice()
                        .choose(candidates, tried, mService.coldRequestsPerSecond(), mLastRequest);
        mEstimate = mServices.serverChoice().lastEstimate();
        return server;
    }

    private List<Server> eligible() {
        return ofVersion(mServices.publishedState().directory().eligibleServers(mServiceName));
    }

    private List<Server> ofVersion(List<Server> servers) {
        return version()
                .map(
                        version ->
                                servers.stream()
                                        .filter(s -> s.published().version().equals(version))
                                        .toList())
                .orElse(servers);
    }

    private Optional<String> version() {
        if (mVersion.isPresent() || mStream.isEmpty()) {
            return mVersion;
        }
        return mServices
                .publishedState()
                .directory()
                .versionToBeginAt(mStream.getAsLong(), mServiceName);
    }

    private ServerChoice.Request request(boolean useAffinity, String inputDomain) {
        return new ServerChoice.Request(
                mServiceName,
                useAffinity ? mRequest.affinity() : "",
                mRequest.promptTokens(),
                mService.engine().map(ServiceSpec.EngineLimits::slots).orElse(0),
                inputDomain,
                LongHashFunction.xx().hashChars(mRequest.id()));
    }

    /**
     * Asks servers for their load when this can change the choice, at most once for a request and
     * only model servers, which do not state it otherwise.
     *
     * @param next runs after a short wait; not called when the result is false
     * @return true when the choice has to wait
     */
    boolean probeFirst(
            Collection<String> tried, boolean useAffinity, String inputDomain, Runnable next) {
        int probes = mServices.activeFeatures().placement().probes();
        if (mProbed || probes == 0 || mService.engine().isEmpty()) {
            return false;
        }
        mProbed = true;
        List<Server> servers =
                mServices
                        .serverChoice()
                        .serversToProbe(
                                eligible(),
                                tried,
                                mService.coldRequestsPerSecond(),
                                request(useAffinity, inputDomain));
        if (servers.isEmpty()) {
            return false;
        }
        return mServices
                .loadProbes()
                .ask(servers.subList(0, Math.min(probes, servers.size())), next);
    }

    /**
     * Records that an attempt is sent to the server that was chosen last.
     *
     * @return what measures the time to the first event of this attempt
     */
    SentAttempt onSent(Server server) {
        boolean measured =
                mServices.activeFeatures().placement().policy()
                        == PlacementPolicy.EXPECTED_COMPLETION;
        if (measured) {
            mServices.serverChoice().recordSent(server, mLastRequest);
            server.facts()
                    .loadAgeMillis(mServices.clock().monotonicNanos())
                    .ifPresent(age -> mServices.metrics().record("bulrushvale.load.age.ms", age));
        }
        return new SentAttempt(server, measured);
    }

    /**
     * Returns an attempt that resumes a stream, whose first event says nothing about the speed of
     * its server.
     */
    SentAttempt onResumed(Server server) {
        return new SentAttempt(server, false);
    }

    /** Adds what the choice of a server was based on to a log line. */
    DecisionLog.Line describe(Server server, DecisionLog.Line line) {
        long now = mServices.clock().monotonicNanos();
        double speed = mServices.serverSpeed().ratio(server.published().processName());
        line.with("expected_ms", mEstimate.millis())
                .with("speed_percent", (long) (speed * PERCENT));
        server.facts()
                .load(now)
                .ifPresent(
                        load ->
                                line.with("load", load)
                                        .with(
                                                "load_age_ms",
                                                server.facts().loadAgeMillis(now).orElse(0))
                                        .with(
                                                "load_source",
                                                server.facts().loadSource(now).name()));
        server.facts()
                .pace(now)
                .ifPresent(pace -> line.with("pace_percent", (long) (pace * PERCENT)));
        return line;
    }

    /**
     * One attempt as it was placed.
     *
     * <p>Invariant: only the first event of the attempt is measured, against the time at which this
     * attempt was sent and what was expected of its server. Thread safety: used on the event loop.
     */
    final class SentAttempt {
        private final Server mServer;
        private final ServerChoice.Request mSentRequest = mLastRequest;
        private final ServerChoice.Estimate mExpected = mEstimate;
        private final long mSentNanos = mServices.clock().monotonicNanos();
        private boolean mAwaitsEvent;

        private SentAttempt(Server server, boolean awaitsEvent) {
            mServer = server;
            mAwaitsEvent = awaitsEvent;
        }

        /** Records the first event of a stream or a good answer; later ones change nothing. */
        void onFirstEvent() {
            if (!mAwaitsEvent) {
                return;
            }
            mAwaitsEvent = false;
            long nanos = mServices.clock().monotonicNanos() - mSentNanos;
            double expected = NANOS_PER_MILLI * Math.max(1, mExpected.millis());
            mServices.metrics().record("bulrushvale.first.event.ratio", nanos / expected);
            mServices
                    .serverSpeed()
                    .recordFirstEvent(
                            mServiceName,
                            mServer.published().processName(),
                            mSentRequest.promptTokens(),
                            mExpected.cached(),
                            nanos);
        }
    }
}
