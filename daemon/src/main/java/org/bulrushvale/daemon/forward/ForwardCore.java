package org.bulrushvale.daemon.forward;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.bulrushvale.adapters.forward.CallerExchange;
import org.bulrushvale.adapters.forward.CallerRequestMetadata;
import org.bulrushvale.adapters.forward.ForwardRequestHandler;
import org.bulrushvale.decision.drain.GracePeriod;
import org.bulrushvale.decision.forward.ForwardConfig;
import org.bulrushvale.decision.forward.ForwardConfig.Workspace;
import org.bulrushvale.decision.forward.RequestKind;
import org.bulrushvale.decision.forward.Route;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;
import org.jboss.logging.Logger;

/**
 * Admits or refuses requests by the published configuration and tracks those in progress.
 *
 * <p>Invariant: one version of the configuration decides about a request. Thread safety: the
 * methods of the port may be called from any thread; everything else is used on the event loop.
 */
final class ForwardCore implements ForwardRequestHandler {
    private static final Logger LOG = Logger.getLogger(ForwardCore.class);

    private final ForwardServices mServices;
    private final StageExecutor mStageExecutor;
    private final GracePeriod mGracePeriod;
    private final Set<ForwardedRequest> mRequestsInProgress = new HashSet<>();
    private volatile String mNotReadyReason = "no published configuration yet";
    private volatile BooleanSupplier mShedsLoad = () -> false;

    ForwardCore(ForwardServices services, StageExecutor stageExecutor, GracePeriod gracePeriod) {
        mServices = services;
        mStageExecutor = stageExecutor;
        mGracePeriod = gracePeriod;
    }

    @Override
    public void handle(CallerExchange exchange) {
        mServices.loop().execute(() -> admitOrFail(exchange));
    }

    @Override
    public String notReadyReason() {
        String reason = mNotReadyReason;
        return reason.isEmpty() && mShedsLoad.getAsBoolean() ? "overloaded" : reason;
    }

    /** Sets what states, on any thread, that the entry reports not ready because of its load. */
    void onLoad(BooleanSupplier shedsLoad) {
        mShedsLoad = shedsLoad;
    }

    /** Reports the entry as ready when the published state has become complete. */
    void onPublishedStateChange() {
        if (!mGracePeriod.hasBegun() && mServices.publishedState().isComplete()) {
            mNotReadyReason = "";
        }
    }

    /** Reports the entry as not ready from now on; it still serves requests on open connections. */
    void drain() {
        mNotReadyReason = "shutting down";
    }

    /** Ends every request in progress with a final answer. */
    void endAll() {
        List.copyOf(mRequestsInProgress)
                .forEach(
                        request ->
                                request.endAtOnce(
                                        ErrorCode.DRAINING, "the entry is shutting down"));
    }

    int requestsInProgress() {
        return mRequestsInProgress.size();
    }

    private void admitOrFail(CallerExchange exchange) {
        try {
            admit(exchange);
        } catch (RuntimeException e) {
            // Nothing was sent yet, and without an answer the caller would wait for its deadline.
            LOG.error("request not admitted because of an unexpected error", e);
            refuse(exchange, "", ErrorCode.INTERNAL, "unexpected error before the request ran");
        }
    }

    private void admit(CallerExchange exchange) {
        CallerRequestMetadata metadata;
        try {
            metadata = mServices.protocol().parseCallerRequest(exchange.headers());
        } catch (BulrushvaleException e) {
            refuse(exchange, "", e.code(), e.detail());
            return;
        }
        ForwardConfig config = mServices.publishedState().config();
        if (config == null) {
            refuse(
                    exchange,
                    metadata.id(),
                    ErrorCode.NOT_CONFIGURED,
                    "the entry has not read a configuration yet");
            return;
        }
        Optional<Route> route = config.route(exchange.host(), exchange.path());
        if (route.isEmpty()) {
            refuse(exchange, metadata.id(), ErrorCode.NOT_FOUND, "no route for this host and path");
            return;
        }
        Optional<Workspace> workspace = config.workspace(metadata.apiKey());
        if (config.requiresKey(route.get()) && workspace.isEmpty()) {
            refuse(exchange, metadata.id(), ErrorCode.UNAUTHORIZED, "unknown API key");
            return;
        }
        if (!route.get().isUsable()) {
            refuse(
                    exchange,
                    metadata.id(),
                    ErrorCode.NOT_CONFIGURED,
                    "the published route " + route.get().name() + " is invalid");
            return;
        }
        if (!mGracePeriod.admits(
                route.get().kind() == RequestKind.STREAM, timeLimit(metadata, route.get()))) {
            refuse(
                    exchange,
                    metadata.id(),
                    ErrorCode.DRAINING,
                    "the entry has been shutting down for " + mGracePeriod.elapsed());
            return;
        }
        if (metadata.deadline().compareTo(Duration.ZERO) <= 0) {
            refuse(exchange, metadata.id(), ErrorCode.DEADLINE_INVALID, "the deadline has passed");
            return;
        }
        start(exchange, metadata, route.get(), workspace, config);
    }

    private void start(
            CallerExchange exchange,
            CallerRequestMetadata metadata,
            Route route,
            Optional<Workspace> workspace,
            ForwardConfig config) {
        ForwardedRequest request =
                new ForwardedRequest(
                        mServices,
                        mStageExecutor,
                        exchange,
                        metadata,
                        route,
                        workspace,
                        config,
                        mRequestsInProgress::remove);
        mRequestsInProgress.add(request);
        try {
            request.start();
        } catch (RuntimeException e) {
            LOG.error("request ended because of an unexpected error", e);
            request.endAtOnce(ErrorCode.INTERNAL, "unexpected error");
        }
    }

    private static Duration timeLimit(CallerRequestMetadata metadata, Route route) {
        return metadata.deadline().compareTo(route.timeout()) < 0
                ? metadata.deadline()
                : route.timeout();
    }

    private void refuse(CallerExchange exchange, String id, ErrorCode code, String detail) {
        mServices
                .log()
                .line("refused")
                .with("request", id)
                .with("code", code.name())
                .with("detail", detail)
                .with("host", exchange.host())
                .with("path", exchange.path())
                .write();
        mServices.metrics().answered(code.httpStatus());
        ProblemResponse.send(exchange, mServices.protocol(), id, code, Verdict.NOT_RUN, detail);
    }
}
