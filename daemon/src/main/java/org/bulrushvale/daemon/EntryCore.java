package org.bulrushvale.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.bulrushvale.adapters.caller.CallerRequest;
import org.bulrushvale.adapters.caller.CallerRequestHandler;
import org.bulrushvale.adapters.caller.CallerResponder;
import org.bulrushvale.adapters.caller.Problem;
import org.bulrushvale.adapters.operator.OperatorRequestHandler;
import org.bulrushvale.daemon.fleet.FleetNode;
import org.bulrushvale.daemon.fleet.KeyForwarder;
import org.bulrushvale.decision.attainment.AttainmentOutcome;
import org.bulrushvale.decision.config.ConfigStore;
import org.bulrushvale.decision.config.Pipeline;
import org.bulrushvale.decision.config.PublishedConfig;
import org.bulrushvale.decision.config.WorkClass;
import org.bulrushvale.decision.config.Workspace;
import org.bulrushvale.decision.drain.DrainSequence;
import org.bulrushvale.decision.request.DeadlineBudget;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;
import org.jboss.logging.Logger;

/**
 * The request handling of one entry daemon: serves callers, operators and the fleet.
 *
 * <p>Invariant: state is changed on the event loop only; every submitted request receives one
 * answer. Thread safety: the port methods may be called from any thread, the rest is owned by the
 * event loop.
 */
final class EntryCore
        implements CallerRequestHandler, OperatorRequestHandler, FleetNode.EventHandler {
    private static final Logger LOG = Logger.getLogger(EntryCore.class);

    private final CoreServices mCore;
    private final ConfigStore mConfig;
    private final Set<ActiveRequest> mActive = new HashSet<>();
    private final Runnable mOnDrain;
    private final KeyedRequests mKeys;
    private final DrainSequence mDrain;
    private final FleetNode mFleet;
    private final Consumer<PublishedConfig> mOnConfigAccepted;
    private volatile boolean mDraining;
    private volatile boolean mConfigured;
    private volatile boolean mLoadReportsKnown;
    private boolean mStartupComplete;

    EntryCore(
            CoreServices core,
            ConfigStore config,
            KeyedRequests keys,
            DrainSequence drain,
            FleetNode fleet,
            Consumer<PublishedConfig> onConfigAccepted,
            Runnable onDrain) {
        mCore = core;
        mConfig = config;
        mOnDrain = onDrain;
        mKeys = keys;
        mDrain = drain;
        mFleet = fleet;
        mOnConfigAccepted = onConfigAccepted;
    }

    // Caller port

    @Override
    public Call submit(CallerRequest request, CallerResponder responder) {
        AtomicReference<ActiveRequest> active = new AtomicReference<>();
        boolean accepted = mCore.loop().offer(() -> accept(request, responder, active, false));
        if (!accepted) {
            responder.fail(
                    Problem.refusal(
                            ErrorCode.OVERLOADED,
                            "the event loop of the entry is full",
                            request.key().isPresent()));
            return () -> {};
        }
        return () ->
                mCore.loop()
                        .execute(
                                () -> {
                                    ActiveRequest started = active.get();
                                    if (started != null
                                            && !mKeys.isJoined(request.key().orElse(""))) {
                                        started.cancel();
                                    }
                                });
    }

    @Override
    public void issueKey(String workspace, String workClass, String token, KeyResponder responder) {
        boolean accepted =
                mCore.loop().offer(() -> issueOnLoop(workspace, workClass, token, responder));
        if (!accepted) {
            responder.fail(
                    Problem.refusal(
                            ErrorCode.OVERLOADED, "the event loop of the entry is full", false));
        }
    }

    private void issueOnLoop(
            String workspace, String workClass, String token, KeyResponder responder) {
        try {
            PublishedConfig config = config();
            authorize(config, workspace, token);
            if (config.workClass(workClass).isEmpty()) {
                throw refusal(ErrorCode.UNKNOWN_CLASS, "unknown class");
            }
            if (mDraining) {
                throw refusal(ErrorCode.DRAINING, "entry is shutting down");
            }
            requireFleetContact();
            String key = mKeys.spaces().issuer().issue(workspace, workClass).toString();
            responder.issued(key, mKeys.spaces().issuer().firstUseWindow());
        } catch (BulrushvaleException e) {
            responder.fail(Problem.refusal(e.code(), e.detail(), false));
        }
    }

    @Override
    public String notReadyReason() {
        if (mDraining) {
            return "draining";
        }
        if (mFleet.isIsolated()) {
            return "cut off from the fleet";
        }
        if (!mConfigured) {
            return "no published configuration yet";
        }
        return mLoadReportsKnown ? "" : "no load reports yet";
    }

    private void requireFleetContact() throws BulrushvaleException {
        // After a pause of the process, new work waits in the queues until the view of the fleet is
        // refreshed. The first request may arrive before the periodic check notices the pause, so
        // mayRoute() is called for its own check.
        mFleet.mayRoute();
        if (mFleet.isIsolated()) {
            throw refusal(ErrorCode.ISOLATED, "entry is cut off from the fleet");
        }
    }

    @Override
    public void forwarded(CallerRequest request, CallerResponder responder) {
        accept(request, responder, new AtomicReference<>(), true);
    }

    /**
     * Accepts or refuses a request of a caller, or one that a peer has authorized and forwarded.
     */
    private void accept(
            CallerRequest request,
            CallerResponder responder,
            AtomicReference<ActiveRequest> active,
            boolean forwarded) {
        boolean keyed = request.key().isPresent();
        try {
            PublishedConfig config = config();
            if (!forwarded) {
                authorize(config, request.workspace(), request.tokenSha256());
            }
            requireFleetContact();
            WorkClass workClass =
                    config.workClass(request.workClass())
                            .orElseThrow(() -> refusal(ErrorCode.UNKNOWN_CLASS, "unknown class"));
            if (workClass.idempotent() && !forwarded) {
                // An idempotent class ignores the key, so the verdict concerns this request alone.
                keyed = false;
                start(config, workClass, request, responder, active);
                return;
            }
            if (request.key().isEmpty()) {
                throw refusal(
                        ErrorCode.KEY_REQUIRED,
                        "class \"" + workClass.name() + "\" requires an idempotency key");
            }
            presentKey(config, workClass, request, responder, active, forwarded);
        } catch (BulrushvaleException e) {
            responder.fail(Problem.refusal(e.code(), e.detail(), keyed));
            LOG.debugf("request refused: %s", e.code());
        }
    }

    private void presentKey(
            PublishedConfig config,
            WorkClass workClass,
            CallerRequest request,
            CallerResponder responder,
            AtomicReference<ActiveRequest> active,
            boolean forwarded) {
        try {
            mKeys.present(
                    request,
                    responder,
                    recording -> startKeyed(config, workClass, request, recording, active),
                    holder -> {
                        if (forwarded) {
                            // The key space has moved; forwarding again could send the request
                            // twice.
                            responder.fail(KeyForwarder.unreachable());
                        } else {
                            forward(holder, workClass, request, responder);
                        }
                    });
        } catch (BulrushvaleException e) {
            // The fleet has never issued this key, so the verdict of the exception applies.
            responder.fail(Problem.failure(e.code(), e.verdict(), e.advice(false), e.detail()));
        }
    }

    private void forward(
            String holder, WorkClass workClass, CallerRequest request, CallerResponder responder) {
        Duration deadline = deadline(workClass, request);
        if (!mDrain.tryAccept(mCore.clock().nanosAfter(deadline))) {
            responder.fail(Problem.refusal(ErrorCode.DRAINING, "entry is shutting down", true));
            return;
        }
        mFleet.forwarder().forward(holder, request, deadline, responder, mDrain::onRequestEnded);
    }

    private static Duration deadline(WorkClass workClass, CallerRequest request) {
        Duration limit = workClass.deadline();
        return request.deadline().filter(stated -> stated.compareTo(limit) < 0).orElse(limit);
    }

    private void startKeyed(
            PublishedConfig config,
            WorkClass workClass,
            CallerRequest request,
            CallerResponder recording,
            AtomicReference<ActiveRequest> active) {
        try {
            start(config, workClass, request, recording, active);
        } catch (BulrushvaleException e) {
            // This entry holds the key, so it knows that no request with it has run.
            recording.fail(Problem.failure(e.code(), Verdict.NOT_RUN, e.advice(false), e.detail()));
        }
    }

    private void start(
            PublishedConfig config,
            WorkClass workClass,
            CallerRequest request,
            CallerResponder responder,
            AtomicReference<ActiveRequest> active)
            throws BulrushvaleException {
        Pipeline pipeline =
                config.pipeline(workClass.pipeline())
                        .orElseThrow(
                                () ->
                                        refusal(
                                                ErrorCode.INTERNAL,
                                                "the pipeline of the class is not configured"));
        Duration deadline = deadline(workClass, request);
        InputContent content = InputContent.of(request.workspace(), request.input());
        if (mCore.poison().isPoison(content) || mCore.poison().isHeldBack(content, request)) {
            mCore.attainment()
                    .onRequestEnded(
                            workClass,
                            request.workspace(),
                            AttainmentOutcome.REFUSAL,
                            Duration.ZERO);
            throw refusal(ErrorCode.POISON, ErrorCode.POISON.title());
        }
        DeadlineBudget.DeadlineDecision decision =
                mCore.deadlines().decide(workClass.name(), pipeline, 0, deadline);
        if (decision != DeadlineBudget.DeadlineDecision.PROCEED) {
            mCore.attainment()
                    .onRequestEnded(
                            workClass,
                            request.workspace(),
                            AttainmentOutcome.REFUSAL,
                            Duration.ZERO);
            throw refusal(
                    ErrorCode.DEADLINE_UNREACHABLE,
                    "the stages typically take longer than the "
                            + deadline.toMillis()
                            + " ms to the deadline");
        }
        long deadlineNanos = mCore.clock().nanosAfter(deadline);
        if (!mDrain.tryAccept(deadlineNanos)) {
            throw refusal(ErrorCode.DRAINING, "entry is shutting down");
        }
        CallerResponseListener listener =
                new CallerResponseListener(responder, request.stream(), this::ended);
        ActiveRequest started =
                new ActiveRequest(
                        mCore,
                        request,
                        workClass,
                        pipeline,
                        workspaceShare(config, request.workspace()),
                        deadline,
                        content,
                        listener);
        active.set(started);
        mActive.add(started);
        started.start();
    }

    private static double workspaceShare(PublishedConfig config, String workspace) {
        return config.workspace(workspace).map(Workspace::share).orElse(1.0);
    }

    private void ended(ActiveRequest request) {
        if (mActive.remove(request)) {
            mDrain.onRequestEnded();
        }
    }

    private PublishedConfig config() throws BulrushvaleException {
        return mConfig.config()
                .orElseThrow(
                        () ->
                                refusal(
                                        ErrorCode.NOT_CONFIGURED,
                                        "the entry has no configuration yet"));
    }

    static void authorize(PublishedConfig config, String workspace, String tokenSha256)
            throws BulrushvaleException {
        Workspace known =
                config.workspace(workspace)
                        .orElseThrow(
                                () -> refusal(ErrorCode.UNKNOWN_WORKSPACE, "unknown workspace"));
        boolean same =
                MessageDigest.isEqual(
                        known.tokenSha256().getBytes(StandardCharsets.US_ASCII),
                        tokenSha256.getBytes(StandardCharsets.US_ASCII));
        if (!same) {
            throw refusal(ErrorCode.UNAUTHORIZED, "the workspace token is missing or wrong");
        }
    }

    private static BulrushvaleException refusal(ErrorCode code, String detail) {
        return new BulrushvaleException(code, Verdict.NOT_RUN, detail);
    }

    // Fleet events; called on the event loop

    @Override
    public void configChanged(boolean startupComplete) {
        mStartupComplete |= startupComplete;
        mConfigured = mStartupComplete && mConfig.config().isPresent();
        if (!startupComplete) {
            mConfig.config().ifPresent(mOnConfigAccepted);
        }
        mCore.attemptQueues().serveAll();
    }

    @Override
    public void routable() {
        mCore.attemptQueues().serveAll();
    }

    /** Records that the first load reports were read or timed out; called on the event loop. */
    void onFirstLoadReports() {
        mLoadReportsKnown = true;
    }

    // Operator port

    @Override
    public boolean report(Report report, Consumer<JsonNode> onReport) {
        return mCore.loop().offer(() -> onReport.accept(report(report)));
    }

    private JsonNode report(Report report) {
        return report == Report.BURN
                ? OperatorReports.burn(mCore.attainment().snapshot())
                : OperatorReports.of(report, mConfig, mActive.size(), this, mFleet);
    }

    @Override
    public void drain() {
        mOnDrain.run();
    }

    void startDraining() {
        mDraining = true;
    }

    int activeRequests() {
        return mActive.size();
    }
}
