package org.bulrushvale.daemon.forward;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import org.bulrushvale.adapters.forward.BackendRequestMetadata;
import org.bulrushvale.adapters.forward.CallerExchange;
import org.bulrushvale.adapters.forward.CallerRequestMetadata;
import org.bulrushvale.adapters.forward.EndToEndHeaders;
import org.bulrushvale.adapters.forward.UpstreamClient;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.decision.forward.PublishedBackend;
import org.bulrushvale.decision.forward.Route;

/**
 * Sends one request to backend servers as its caller sent it.
 *
 * <p>Invariant: method, target and body are unchanged; headers that concern the caller's connection
 * or that only this system may set are removed. Thread safety: used on the event loop.
 */
final class AttemptStarter {
    private static final Duration CALL_LIMIT_MARGIN = Duration.ofMillis(100);

    private final ForwardServices mServices;
    private final CallerExchange mCaller;
    private final CallerRequestMetadata mRequestMetadata;
    private final Route mRoute;
    private final String mWorkspace;
    private final ServerPlacement mPlacement;

    AttemptStarter(
            ForwardServices services,
            CallerExchange caller,
            CallerRequestMetadata metadata,
            Route route,
            String workspace,
            ServerPlacement placement) {
        mServices = services;
        mCaller = caller;
        mRequestMetadata = metadata;
        mRoute = route;
        mWorkspace = workspace;
        mPlacement = placement;
    }

    /**
     * Sends the request to the server of an attempt, which receives the events of the call.
     *
     * @param number number of the attempt, from 1
     * @param remaining time until the deadline of the request
     * @param inputs handles of the stage results that the server reads
     * @param resumeAfter id of the last event that the caller has received
     * @param urgency urgency for the server's own queue; empty to send none
     */
    void start(
            RunningAttempt attempt,
            int number,
            Duration remaining,
            List<String> inputs,
            long resumeAfter,
            OptionalInt urgency) {
        Server target = attempt.server();
        PublishedBackend server = target.published();
        mPlacement
                .describe(target, mServices.log().line("send"))
                .with("request", mRequestMetadata.id())
                .with("route", mRoute.name())
                .with("server", server.id())
                .with("version", server.version())
                .with("resumes", mRequestMetadata.resumes())
                .with("resume_after", resumeAfter)
                .with("attempt", number)
                .with("left_ms", remaining.toMillis())
                .with("outstanding", target.outstanding())
                .with("urgency", urgency.orElse(-1))
                .with("parts", String.join(",", mRequestMetadata.promptParts()))
                .write();
        HeaderMap headers =
                EndToEndHeaders.copyEndToEnd(mCaller.headers(), mServices.protocol()::isReserved);
        if (mCaller.headers().contains(Headers.CONTENT_LENGTH)
                || mCaller.headers().contains(Headers.TRANSFER_ENCODING)) {
            headers.put(Headers.CONTENT_LENGTH, mCaller.body().length);
        }
        BackendRequestMetadata metadata =
                new BackendRequestMetadata(
                        remaining, mWorkspace, server.id(), inputs, resumeAfter, urgency);
        mServices.protocol().addBackendHeaders(metadata, headers);
        UpstreamClient.Request request =
                new UpstreamClient.Request(
                        server.host(),
                        server.port(),
                        mCaller.method(),
                        mCaller.target(),
                        headers,
                        mCaller.body(),
                        // Ends after the limit of the request, whose timer decides the answer.
                        remaining.plus(CALL_LIMIT_MARGIN),
                        mRoute.mayRepeat());
        ForwardAttempt listener =
                new ForwardAttempt(
                        mServices.loop(),
                        mServices.protocol(),
                        mRequestMetadata.id(),
                        head ->
                                mServices
                                        .serverReports()
                                        .onAnswer(target, head.status(), head.metadata()),
                        attempt);
        attempt.setCall(mServices.upstreamClient().start(request, listener));
    }
}
