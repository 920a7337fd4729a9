package org.bulrushvale.daemon.forward;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.bulrushvale.adapters.forward.CallerExchange;
import org.bulrushvale.adapters.forward.CallerRequestMetadata;
import org.bulrushvale.adapters.forward.ForwardRequestHandler;
import org.bulrushvale.decision.forward.ForwardConfig;
import org.bulrushvale.decision.forward.ForwardConfig.Workspace;
import org.bulrushvale.decision.forward.RequestKind;
import org.bulrushvale.decision.forward.Route;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;

/**
 * Admits requests by the configuration in force and keeps those in progress.
 *
 * <p>Invariant: a request is judged by one version of the configuration. Thread safety: the port's
 * methods may be called from any thread; everything else is used on the event loop.
 */
final class ForwardCore implements ForwardRequestHandler {
    private final ForwardServices mServices;
    private final StageWork mStages;
    private final Set<ForwardedRequest> mRunning = new HashSet<>();
    private volatile String mNotReadyReason = "no published configuration yet";
    private boolean mDraining;
    private boolean mShortOnly;

    ForwardCore(ForwardServices services, StageWork stages) {
        mServices = services;
        mStages = stages;
    }

    @Override
    public void request(CallerExchange exchange) {
        mServices.loop().execute(() -> admit(exchange));
    }

    @Override
    public String notReadyReason() {
        return mNotReadyReason;
    }

    /** Re-reads whether the entry can serve. */
    void publishedChanged() {
        if (!mDraining && mServices.published().isComplete()) {
            mNotReadyReason = "";
        }
    }

    /** Reports the entry as not ready; requests on open connections are still served. */
    void drain() {
        mDraining = true;
        mNotReadyReason = "shutting down";
    }

    /** Refuses streams from now on, because they would not end within the grace time. */
    void refuseStreams() {
        mShortOnly = true;
    }

    /** Gives every request in progress its final answer. */
    void endAll() {
        List.copyOf(mRunning).forEach(ForwardedRequest::shutDown);
    }

    int running() {
        return mRunning.size();
    }

    private void admit(CallerExchange exchange) {
        CallerRequestMetadata facts;
        try {
            facts = mServices.protocol().parseCallerRequest(exchange.headers());
        } catch (BulrushvaleException e) {
            refuse(exchange, "", e.code(), e.detail());
            return;
        }
        ForwardConfig config = mServices.published().config();
        if (config == null) {
            refuse(exchange, facts.id(), ErrorCode.NOT_CONFIGURED, "no configuration yet");
            return;
        }
        Optional<Route> route = config.route(exchange.host(), exchange.path());
        if (route.isEmpty()) {
            refuse(exchange, facts.id(), ErrorCode.NOT_FOUND, "no route for this host and path");
            return;
        }
        Optional<Workspace> workspace = config.workspace(facts.apiKey());
        boolean needsKey = config.hasWorkspaces() && !route.get().allowsAnonymous();
        if (needsKey && workspace.isEmpty()) {
            refuse(exchange, facts.id(), ErrorCode.UNAUTHORIZED, "unknown API key");
            return;
        }
        if (mShortOnly && route.get().kind() == RequestKind.STREAM) {
            refuse(exchange, facts.id(), ErrorCode.DRAINING, "the entry shuts down");
            return;
        }
        if (facts.deadline().compareTo(Duration.ZERO) <= 0) {
            refuse(exchange, facts.id(), ErrorCode.DEADLINE_INVALID, "no time is left");
            return;
        }
        ForwardedRequest request =
                new ForwardedRequest(
                        mServices,
                        mStages,
                        exchange,
                        facts,
                        route.get(),
                        workspace,
                        config,
                        mRunning::remove);
        mRunning.add(request);
        request.start();
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
        Answers.problem(exchange, mServices.protocol(), id, code, Verdict.NOT_RUN, detail);
    }
}
