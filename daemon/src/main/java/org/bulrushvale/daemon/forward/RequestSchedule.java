package org.bulrushvale.daemon.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.function.Supplier;
import org.bulrushvale.adapters.settings.ForwardSettings;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.decision.forward.ForwardConfig;
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

    private final ForwardServices mServices;
    private final ForwardConfig mConfig;
    private final RequestTimeLimits mTimeLimits;
    private final int mRank;
    private final String mWorkspace;
    private final Supplier<String> mReaderDomain;
    private String mAdmittedTo = "";

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
        double coldPerSecond =
                mConfig.service(service).map(ServiceSpec::coldRequestsPerSecond).orElse(0.0);
        Duration limit = Duration.ofMillis(Math.max(0, millisToGiveUp()));
        boolean admitted =
                mServices
                        .serviceAdmission()
                        .tryAdmit(service, eligible(service), coldPerSecond, limit);
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

    private List<Server> eligible(String service) {
        return mServices.publishedState().directory().eligibleServers(service);
    }

    @Override
    public ForwardSettings.Admission admission() {
        return mServices.features().admission();
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
