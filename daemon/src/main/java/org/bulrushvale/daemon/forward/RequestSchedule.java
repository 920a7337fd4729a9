package org.bulrushvale.daemon.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.Supplier;
import net.openhft.hashing.LongHashFunction;
import org.bulrushvale.adapters.caller.Problem;
import org.bulrushvale.adapters.settings.ForwardSettings;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.decision.forward.ForwardConfig;
import org.bulrushvale.decision.forward.PauseWait;
import org.bulrushvale.decision.forward.RequestKind;
import org.bulrushvale.decision.forward.ServiceSpec;
import org.bulrushvale.decision.forward.Urgency;

/**
 * The rank and the time limits of one request, as its stages and the queues of servers use them.
 *
 * <p>Thread safety: used on the event loop.
 */
final class RequestSchedule implements StageScheduler.RequestContext {
    // At half load a piece waits for a server for about a third of the time of a call.
    private static final double QUEUE_WAIT_FACTOR = 1.3;

    // Callers of one entry that return in a second when only the end of a pause is known: one in
    // each step, so that the returns to all entries are spread too.
    private static final double RETURNS_PER_SECOND = 10;

    // With less time than this a server cannot answer a request that returns.
    private static final Duration SERVER_TIME = Duration.ofMillis(200);

    private final ForwardServices mServices;
    private final ForwardConfig mConfig;
    private final RequestTimeLimits mTimeLimits;
    private final int mRank;
    private final String mWorkspace;
    private final Supplier<String> mReaderDomain;
    private String mAdmittedTo = "";
    private OptionalLong mStageReturnMillis = OptionalLong.empty();
    private boolean mHasStageReturn;
    private OptionalLong mPauseReturnMillis = OptionalLong.empty();

    /**
     * Creates the schedule of a request.
     *
     * @param readerDomain returns the failure domain of the server that would now receive the
     *     request; empty when there is none
     */
    RequestSchedule(
            ForwardServices services,
            ForwardConfig config,
            RequestTimeLimits timeLimits,
            int rank,
            String workspace,
            Supplier<String> readerDomain) {
        mServices = services;
        mConfig = config;
        mTimeLimits = timeLimits;
        mRank = rank;
        mWorkspace = workspace;
        mReaderDomain = readerDomain;
    }

    /** Returns the urgency that servers of a service are told now; empty to tell none. */
    OptionalInt urgency(String service) {
        boolean isModel = mConfig.service(service).flatMap(ServiceSpec::engine).isPresent();
        return admission().urgency() && isModel
                ? OptionalInt.of(Urgency.of(mRank, millisToTarget() > 0))
                : OptionalInt.empty();
    }

    /**
     * Returns false when no server of the service can receive the request in time, so that its
     * stages would be wasted.
     */
    boolean admitTo(String service) {
        if (!admission().queue()) {
            return true;
        }
        Duration limit = Duration.ofMillis(Math.max(0, millisToGiveUp()));
        boolean admitted =
                mServices
                        .serviceAdmission()
                        .tryAdmit(service, eligible(service), coldPerSecond(service), limit);
        mAdmittedTo = admitted ? service : "";
        return admitted;
    }

    /** Records that the request was sent or has ended. */
    void endAdmission() {
        if (!mAdmittedTo.isEmpty()) {
            mServices.serviceAdmission().end(mAdmittedTo);
            mAdmittedTo = "";
        }
    }

    /** Returns true while an admitted request may wait for a server that cannot receive it now. */
    boolean mayWaitForServer() {
        return mTimeLimits.mayWaitForServer()
                || !mAdmittedTo.isEmpty()
                        && millisToGiveUp() > 0
                        && !eligible(mAdmittedTo).isEmpty();
    }

    /** Records when the caller should return by the answer of a collector. */
    void setStageReturnMillis(long millis) {
        mHasStageReturn = true;
        mStageReturnMillis =
                millis < 0 ? OptionalLong.empty() : OptionalLong.of(Math.max(1, millis));
    }

    /**
     * Returns what to do while all servers of a service are paused; empty when one is not.
     *
     * @param requestId id of the request, by which the sends after a common end are spread
     */
    Optional<PauseWait> pauseWait(String service, RequestKind kind, String requestId) {
        OptionalLong end = mServices.publishedState().directory().earliestPauseEnd(service);
        if (end.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                PauseWait.of(
                        end.getAsLong(),
                        mServices.clock().monotonicNanos(),
                        mTimeLimits.millisToLastSend(kind),
                        millisToDeadline(),
                        LongHashFunction.xx().hashChars(requestId)));
    }

    /** Records when the caller should return after the pause of all servers. */
    void setPauseReturnMillis(long millis) {
        mPauseReturnMillis = OptionalLong.of(millis);
    }

    /**
     * Returns the problem with the return time after the pause of all servers, else with the one of
     * the collector or, when no stage was refused, with one made of what is known of the servers.
     * Problems that invite no return are unchanged; while return times are off, so are all without
     * a pause.
     */
    Problem withReturnTime(Problem problem, String service) {
        if (problem.retryAfterMs().isEmpty()) {
            return problem;
        }
        if (mPauseReturnMillis.isPresent()) {
            return problem.withRetryAfter(mPauseReturnMillis);
        }
        if (!admission().returnTimes()) {
            return problem;
        }
        if (mHasStageReturn) {
            // Only a collector with admission control assigns times.
            return admission().queue() ? problem.withRetryAfter(mStageReturnMillis) : problem;
        }
        Duration untilServer =
                mServices
                        .serviceAdmission()
                        .timeToServer(service, eligible(service), coldPerSecond(service));
        return problem.withRetryAfter(
                mServices
                        .returnSchedule()
                        .assign(
                                mRank,
                                untilServer,
                                RETURNS_PER_SECOND,
                                Duration.ofMillis(millisToDeadline()),
                                SERVER_TIME));
    }

    private double coldPerSecond(String service) {
        return mConfig.service(service).map(ServiceSpec::coldRequestsPerSecond).orElse(0.0);
    }

    private List<Server> eligible(String service) {
        return mServices.publishedState().directory().eligibleServers(service);
    }

    @Override
    public ForwardSettings.Stages stages() {
        return mServices.features().stages();
    }

    @Override
    public ForwardSettings.Admission admission() {
        return mServices.activeFeatures().admission();
    }

    @Override
    public int rank() {
        return mRank;
    }

    @Override
    public String workspace() {
        return mWorkspace;
    }

    @Override
    public String domainOf(List<String> handles) {
        Map<String, Integer> counts = new HashMap<>();
        handles.forEach(handle -> counts.merge(mServices.domainOf(handle), 1, Integer::sum));
        return counts.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .orElse("");
    }

    @Override
    public String readerDomain() {
        return mReaderDomain.get();
    }

    @Override
    public long millisToTarget() {
        return mTimeLimits.millisToTarget();
    }

    @Override
    public long millisToDeadline() {
        return mTimeLimits.millisToDeadline();
    }

    @Override
    public long millisToGiveUp() {
        return mTimeLimits.millisToGiveUp();
    }

    @Override
    public long typicalStageMillis(String service) {
        return mConfig.service(service)
                .flatMap(ServiceSpec::pieces)
                .map(pieces -> (long) (pieces.typicalCallTime().toMillis() * QUEUE_WAIT_FACTOR))
                .orElse(0L);
    }
}
