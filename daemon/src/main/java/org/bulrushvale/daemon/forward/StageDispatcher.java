package org.bulrushvale.daemon.forward;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.bulrushvale.adapters.backend.BackendAddress;
import org.bulrushvale.adapters.backend.BackendFailure;
import org.bulrushvale.adapters.forward.BackendResponseMetadata;
import org.bulrushvale.adapters.forward.CompletedPiece;
import org.bulrushvale.adapters.forward.ForwardProtocol.StageRequest;
import org.bulrushvale.adapters.forward.PieceResult;
import org.bulrushvale.adapters.forward.UpstreamClient;
import org.bulrushvale.decision.admission.FairShares;
import org.bulrushvale.decision.forward.BackendDirectory;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.decision.forward.ForwardConfig;
import org.bulrushvale.decision.forward.PublishedBackend;
import org.bulrushvale.decision.forward.ServerFacts;
import org.bulrushvale.decision.forward.ServiceSpec;
import org.bulrushvale.decision.forward.ServiceSpec.PieceLimits;
import org.bulrushvale.decision.forward.StageAdmission;
import org.bulrushvale.decision.forward.StageAdmission.Forecast;
import org.bulrushvale.decision.forward.StageOrder;
import org.bulrushvale.decision.forward.StageQueue;
import org.bulrushvale.kernel.time.Clock;
import org.bulrushvale.kernel.verdict.BulrushvaleException;

/**
 * Queues the pieces of one stage service, groups them into calls and sends the calls to servers.
 *
 * <p>Invariant: every piece receives a result or is abandoned by its request. Thread safety: used
 * on the event loop.
 */
final class StageDispatcher {
    // A call takes well under a second; a call that has no complete response after this time is
    // given up.
    private static final Duration CALL_TIME_LIMIT = Duration.ofMillis(2_500);

    // Servers drop unreleased results after some seconds; until then their memory counts as in
    // use.
    private static final Duration RESULT_LIFETIME = Duration.ofSeconds(5);
    private static final Duration BUSY_PAUSE = Duration.ofMillis(60);

    // Results released within this time share one release call.
    private static final Duration RELEASE_DELAY = Duration.ofMillis(5);
    private static final Duration RELEASE_TIME_LIMIT = Duration.ofMillis(1_000);
    private static final int MAX_FAILED_SERVERS = 2;
    private static final int MAX_ANSWER_BYTES = 1 << 20;
    private static final String JSON = "application/json";

    private final ForwardServices mServices;
    private final String mService;
    private final StageQueue<QueuedPiece> mQueue;
    private final StageAdmission<QueuedPiece> mAdmission;
    private final StageQueueReport mReport;
    private final InputReadTimer mInputReadTimer;
    private final boolean mAdmissionOn;
    private final StageDuplicator mDuplicator;
    private final ReceivedHandles mReceivedHandles = new ReceivedHandles();
    private final Map<StageQueue.Call<QueuedPiece>, ServerFacts.Work> mRunningWork =
            new IdentityHashMap<>();
    private final List<CompletedPiece> mPendingReleases = new ArrayList<>();

    StageDispatcher(ForwardServices services, String service) {
        mServices = services;
        mInputReadTimer = new InputReadTimer(services);
        mService = service;
        mAdmissionOn = services.activeFeatures().admission().queue();
        Optional<FairShares> shares =
                isAdmissionOn() && services.activeFeatures().admission().fairShares()
                        ? Optional.of(new FairShares(services.clock()))
                        : Optional.empty();
        mQueue =
                new StageQueue<>(
                        services.clock(),
                        RESULT_LIFETIME.toNanos(),
                        isAdmissionOn()
                                ? services.activeFeatures().admission().order()
                                : StageOrder.TARGET_FIRST,
                        shares);
        mAdmission =
                new StageAdmission<>(
                        services.clock(),
                        mQueue,
                        services.activeFeatures().admission().returnTimes());
        mReport = new StageQueueReport(services, service, shares);
        mDuplicator = new StageDuplicator(services, service, mQueue, this::dispatch);
    }

    private boolean isAdmissionOn() {
        return mAdmissionOn;
    }

    /**
     * Returns true when the queue has nothing to do and was created under other features than those
     * that apply now, so that a new one should replace it.
     */
    boolean isOutdated() {
        return mAdmissionOn != mServices.activeFeatures().admission().queue()
                && mQueue.waitingCount() == 0
                && mRunningWork.isEmpty();
    }

    /** Adds the pieces of one job, or refuses them when they cannot start in time. */
    void add(List<QueuedPiece> pieces) {
        // Paused servers are not eligible, so the forecast would refuse pieces that can start after
        // the pause; dispatch() refuses those that cannot.
        boolean paused =
                mServices.publishedState().directory().earliestPauseEnd(mService).isPresent();
        Optional<PieceLimits> limits = limits().filter(known -> isAdmissionOn() && !paused);
        if (limits.isPresent()) {
            Forecast forecast = mAdmission.offer(pieces, eligibleServers(), limits.get());
            if (!forecast.admitted()) {
                refuse(new StageAdmission.Refusal<>(pieces, forecast));
                return;
            }
            mReport.queued(pieces.get(0), forecast);
        } else {
            pieces.forEach(mQueue::add);
        }
        for (int i = 0; i < pieces.size(); i++) {
            mServices.repeatBudget().recordRequest(mService);
            mDuplicator.onPiece();
        }
        dispatch();
    }

    private void refuse(StageAdmission.Refusal<QueuedPiece> refusal) {
        mReport.refused(refusal);
        refusal.pieces().forEach(piece -> piece.refuse(refusal.forecast().returnMillis()));
    }

    private List<Server> eligibleServers() {
        return mServices.publishedState().directory().eligibleServers(mService);
    }

    /** Returns the number of waiting pieces. */
    int waiting() {
        return mQueue.waitingCount();
    }

    /** Fails the pieces that have expired and starts the calls that can start now. */
    void dispatch() {
        if (mQueue.waitingCount() == 0) {
            mReport.setWaiting(0);
            return;
        }
        BackendDirectory directory = mServices.publishedState().directory();
        long now = mServices.clock().monotonicNanos();
        // While all servers are paused, no piece starts before the earliest end.
        long earliestStart = directory.earliestPauseEnd(mService).orElse(now);
        for (QueuedPiece expired : mQueue.removeExpired(earliestStart)) {
            expired.deliver(PieceResult.failed(PieceResult.Outcome.LATE));
        }
        limits().ifPresent(this::dispatch);
        mReport.setWaiting(mQueue.waitingCount());
    }

    private void dispatch(PieceLimits limits) {
        List<Server> servers = eligibleServers();
        if (isAdmissionOn()) {
            mAdmission.refuseHopeless(servers, limits).forEach(this::refuse);
        }
        // Looked up once, because it hashes the names of all members.
        boolean onlySender = mServices.isCollector(mService);
        mQueue.nextCalls(servers, limits, server -> permits(server, onlySender))
                .forEach(this::start);
    }

    private int permits(Server server, boolean onlySender) {
        String process = server.published().processName();
        return mServices.statedLimits().limits().permits(process, onlySender);
    }

    private Optional<PieceLimits> limits() {
        ForwardConfig config = mServices.publishedState().config();
        Optional<ServiceSpec> service =
                config == null ? Optional.empty() : config.service(mService);
        return service.flatMap(ServiceSpec::pieces);
    }

    private void start(StageQueue.Call<QueuedPiece> call) {
        long startedNanos = mServices.clock().monotonicNanos();
        mReport.started(call);
        mInputReadTimer.onCallStarted(call);
        limits().map(limits -> limits.callTime(call.pieces().size()))
                .map(Clock::boundedNanos)
                .map(expected -> call.server().facts().recordWorkStart(expected, startedNanos))
                .ifPresent(work -> mRunningWork.put(call, work));
        limits().ifPresent(limits -> mDuplicator.onStart(call, limits));
        StageRequest message =
                mServices
                        .protocol()
                        .piecesRequest(call.pieces().stream().map(QueuedPiece::order).toList());
        String server = call.server().published().id();
        HeaderMap headers = new HeaderMap();
        mServices.protocol().addExpectedServer(server, headers);
        PublishedBackend backend = call.server().published();
        mServices.statedLimits().limits().recordSent(backend.processName());
        mServices
                .upstreamClient()
                .start(
                        request(backend.host(), backend.port(), message, CALL_TIME_LIMIT, headers),
                        new StageCallResponse(
                                mServices,
                                mReceivedHandles,
                                call.pieces().stream().map(QueuedPiece::name).toList(),
                                responseHandler(call, startedNanos)));
    }

    private StageCallResponse.Handler responseHandler(
            StageQueue.Call<QueuedPiece> call, long startedNanos) {
        return new StageCallResponse.Handler() {
            @Override
            public void onAnswer(
                    int status, BackendResponseMetadata metadata, List<PieceResult> results) {
                StageDispatcher.this.onAnswer(call, status, metadata, results, startedNanos);
            }

            @Override
            public void onFailed(String detail) {
                onCallFailed(call, detail, startedNanos);
            }
        };
    }

    private void onAnswer(
            StageQueue.Call<QueuedPiece> call,
            int status,
            BackendResponseMetadata metadata,
            List<PieceResult> results,
            long startedNanos) {
        Server server = call.server();
        mServices.statedLimits().onAnswer(server.published(), metadata);
        mServices.serverReports().onAnswer(server, status, metadata);
        if (status != 200) {
            if (metadata.notRun()) {
                server.avoidFor(mServices.clock().monotonicNanos(), BUSY_PAUSE.toNanos());
                mServices.loop().schedule(BUSY_PAUSE, this::dispatch);
            } else {
                server.recordFailure(mServices.clock().monotonicNanos());
            }
            log(call, "refused_" + status, startedNanos);
            onCallEnded(call);
            repeat(call, !metadata.notRun());
            return;
        }
        long now = mServices.clock().monotonicNanos();
        server.recordSuccess();
        limits().map(limits -> limits.callTime(call.pieces().size()))
                .filter(expected -> !expected.isZero())
                .ifPresent(
                        expected ->
                                server.recordSlowdown(
                                        (double) (now - startedNanos)
                                                / Clock.boundedNanos(expected),
                                        now));
        log(call, outcomes(results), startedNanos);
        onCallEnded(call);
        for (int i = 0; i < results.size(); i++) {
            QueuedPiece piece = call.pieces().get(i);
            PieceResult result = results.get(i);
            if (result.outcome() != PieceResult.Outcome.MADE) {
                mQueue.releaseResult(piece.name());
            }
            boolean noRoom = result.outcome() == PieceResult.Outcome.NO_ROOM;
            if (noRoom) {
                limits().ifPresent(
                                limits -> mQueue.recordMemoryFull(server.published().id(), limits));
            }
            if (result.outcome().mayTryElsewhere()) {
                repeat(piece, noRoom ? "" : server.published().id(), result);
            } else if (!piece.deliver(result) && result.outcome() == PieceResult.Outcome.MADE) {
                release(List.of(CompletedPiece.of(piece.order(), result)));
            }
        }
        dispatch();
    }

    /** Counts the outcomes of the pieces, such as {@code made 5, no_room 1}. */
    private static String outcomes(List<PieceResult> results) {
        Map<PieceResult.Outcome, Long> counts =
                results.stream()
                        .collect(
                                Collectors.groupingBy(
                                        PieceResult::outcome,
                                        () -> new EnumMap<>(PieceResult.Outcome.class),
                                        Collectors.counting()));
        return counts.entrySet().stream()
                .map(
                        entry ->
                                entry.getKey().name().toLowerCase(Locale.ROOT)
                                        + " "
                                        + entry.getValue())
                .collect(Collectors.joining(", "));
    }

    private void onCallFailed(StageQueue.Call<QueuedPiece> call, String detail, long startedNanos) {
        call.server().recordFailure(mServices.clock().monotonicNanos());
        log(call, "lost: " + detail, startedNanos);
        onCallEnded(call);
        repeat(call, true);
    }

    private void onCallEnded(StageQueue.Call<QueuedPiece> call) {
        mInputReadTimer.onCallEnded(call);
        mQueue.recordCallEnd(call.server().published().id());
        ServerFacts.Work work = mRunningWork.remove(call);
        if (work != null) {
            call.server().facts().recordWorkEnd(work);
        }
        mDuplicator.onEnd(call);
    }

    private void repeat(StageQueue.Call<QueuedPiece> call, boolean avoidServer) {
        String server = call.server().published().id();
        for (QueuedPiece piece : call.pieces()) {
            mQueue.releaseResult(piece.name());
            repeat(
                    piece,
                    avoidServer ? server : "",
                    PieceResult.failed(PieceResult.Outcome.FAILED));
        }
        dispatch();
    }

    private void repeat(QueuedPiece piece, String failedServer, PieceResult result) {
        if (!failedServer.isEmpty()) {
            piece.avoid(failedServer);
        }
        if (piece.endIfDuplicate() || piece.isAbandoned()) {
            return;
        }
        if (piece.failedServerCount() > MAX_FAILED_SERVERS
                || piece.giveUpNanos() - mServices.clock().monotonicNanos() <= 0) {
            piece.deliver(result);
            return;
        }
        boolean inputsExist = piece.recordRepeat();
        if (!mServices.repeatBudget().tryRepeat(mService)) {
            mServices.loop().schedule(BUSY_PAUSE, () -> repeat(piece, "", result));
        } else if (inputsExist) {
            mQueue.addAgain(piece);
        } else {
            // The request then repeats its stages, which is a repeat of this piece as well.
            piece.deliver(PieceResult.failed(PieceResult.Outcome.INPUT_GONE));
        }
    }

    private void log(StageQueue.Call<QueuedPiece> call, String outcome, long startedNanos) {
        mServices
                .log()
                .line("stage_call")
                .with("service", mService)
                .with("server", call.server().published().id())
                .with("pieces", call.pieces().size())
                .with("waiting", mQueue.waitingCount())
                .with("ms", mServices.clock().elapsedSince(startedNanos).toMillis())
                .with("outcome", outcome)
                .write();
        mServices.metrics().count("bulrushvale.stage.calls", "outcome", outcome.split("[ :]")[0]);
    }

    /** Releases results, so that the servers that made them can free the memory. */
    void release(List<CompletedPiece> pieces) {
        if (mPendingReleases.isEmpty() && !pieces.isEmpty()) {
            mServices.loop().schedule(RELEASE_DELAY, this::sendReleases);
        }
        mPendingReleases.addAll(pieces);
    }

    private void sendReleases() {
        Map<BackendAddress, List<CompletedPiece>> byServer = new HashMap<>();
        for (CompletedPiece piece : mPendingReleases) {
            try {
                BackendAddress server = mServices.protocol().serverOf(piece.handle());
                byServer.computeIfAbsent(server, address -> new ArrayList<>()).add(piece);
            } catch (BulrushvaleException e) {
                mServices.log().line("release_refused").with("detail", e.detail()).write();
            }
        }
        mPendingReleases.clear();
        byServer.forEach(this::sendRelease);
    }

    private void sendRelease(BackendAddress server, List<CompletedPiece> pieces) {
        BackendDirectory directory = mServices.publishedState().directory();
        Optional<Server> target = directory.serverAtAddress(server.name());
        if (target.filter(directory::isLeaving).isPresent()) {
            onReleased(pieces);
            return;
        }
        long now = mServices.clock().monotonicNanos();
        if (target.filter(paused -> paused.facts().isPaused(now)).isPresent()) {
            releaseAfterPause(pieces, target.get().facts().pauseUntilNanos() - now);
            return;
        }
        StageRequest message =
                mServices
                        .protocol()
                        .releaseRequest(pieces.stream().map(CompletedPiece::handle).toList());
        UpstreamClient.Request request =
                request(server.host(), server.port(), message, RELEASE_TIME_LIMIT, new HeaderMap());
        mServices.upstreamClient().start(request, new ReleaseResponse(pieces));
    }

    /** The server drops the results by itself when the pause is longer than their lifetime. */
    private void releaseAfterPause(List<CompletedPiece> pieces, long pauseNanos) {
        if (pauseNanos < RESULT_LIFETIME.toNanos()) {
            mServices.loop().schedule(Duration.ofNanos(pauseNanos), () -> release(pieces));
        }
    }

    private void onReleased(List<CompletedPiece> pieces) {
        for (CompletedPiece piece : pieces) {
            mQueue.releaseResult(QueuedPiece.name(piece.requestId(), piece.stage(), piece.piece()));
        }
        dispatch();
    }

    private static UpstreamClient.Request request(
            String host, int port, StageRequest message, Duration timeLimit, HeaderMap headers) {
        headers.put(Headers.HOST, host + ":" + port);
        headers.put(Headers.CONTENT_TYPE, JSON);
        headers.put(Headers.CONTENT_LENGTH, message.body().length);
        return new UpstreamClient.Request(
                host, port, Methods.POST, message.path(), headers, message.body(), timeLimit, true);
    }

    /**
     * Response to a release call. A failed release is only logged, because the server drops the
     * results after their lifetime anyway.
     *
     * <p>Thread safety: called on the I/O thread.
     */
    private final class ReleaseResponse extends UpstreamClient.BufferedResponseListener {
        private final List<CompletedPiece> mPieces;

        ReleaseResponse(List<CompletedPiece> pieces) {
            super(MAX_ANSWER_BYTES);
            mPieces = pieces;
        }

        /** The time limit covers the whole response, which is small. */
        @Override
        public boolean extendsTimeLimit() {
            return false;
        }

        @Override
        protected void complete(int status, HeaderMap headers, byte[] body) {
            if (status == 200) {
                mServices.loop().execute(() -> onReleased(mPieces));
            } else {
                mServices.log().line("release_failed").with("status", status).write();
            }
        }

        @Override
        public void failed(boolean sent, BackendFailure failure, String detail) {
            mServices.log().line("release_failed").with("detail", detail).write();
        }
    }
}
