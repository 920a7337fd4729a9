package org.bulrushvale.daemon.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.bulrushvale.adapters.forward.CallerRequestMetadata;
import org.bulrushvale.decision.forward.BackendDirectory;
import org.bulrushvale.decision.forward.RequestKind;
import org.bulrushvale.decision.forward.Route;
import org.bulrushvale.decision.forward.StreamOrigin;
import org.bulrushvale.decision.forward.StreamOrigins;

/**
 * Keeps a stream at the software version that began it, within one answer and over the attempts of
 * its caller; after its route was moved, at the version that began it at each of the services.
 *
 * <p>Invariant: a stream that is taken up is bound to its version before it is sent to a server.
 * Thread safety: used on the event loop.
 */
final class StreamResumption {
    // The entry that began the stream may have known the published servers as they were this long
    // before: within the freshness, and servers that vanished for the retention time longer.
    private static final Duration MAX_STATE_AGE = Duration.ofSeconds(4);

    private final ForwardServices mServices;
    private final CallerRequestMetadata mRequest;
    private final String mService;
    private final ServerPlacement mPlacement;
    private final Duration mMaxAge;
    private final boolean mResumable;
    private final long mStream;
    private Optional<StreamOrigin> mOrigin = Optional.empty();

    StreamResumption(
            ForwardServices services,
            CallerRequestMetadata request,
            Route route,
            String workspace,
            String service,
            ServerPlacement placement) {
        mServices = services;
        mRequest = request;
        mService = service;
        mPlacement = placement;
        mResumable = route.kind() == RequestKind.STREAM && route.mayRepeat();
        mStream = StreamOrigins.keyOf(workspace, firstAttempt(request));
        boolean isTimeoutLonger = route.timeout().compareTo(request.deadline()) > 0;
        mMaxAge = (isTimeoutLonger ? route.timeout() : request.deadline()).plus(MAX_STATE_AGE);
        if (mResumable) {
            placement.beginAtChosenVersion(mStream);
        }
    }

    /** Returns the id of the caller's attempt that began the stream, or begins it now. */
    static String firstAttempt(CallerRequestMetadata request) {
        return request.resumes().isEmpty() ? request.id() : request.resumes();
    }

    /** Returns true when the caller has events of an earlier attempt. */
    boolean isTakeUp() {
        return mResumable && mRequest.resumeAfter() != CallerRequestMetadata.FROM_START;
    }

    /**
     * Finds the version that began the stream and binds the request to it.
     *
     * @param onResult receives the reason for which no server can go on with the stream, or nothing
     */
    void bind(Consumer<Optional<String>> onResult) {
        if (mRequest.resumes().isEmpty()) {
            // The caller does not name what began the stream, as callers did formerly.
            boolean isAmbiguous = directory().versions().recent(mService).size() > 1;
            onResult.accept(isAmbiguous ? unknownVersion() : Optional.empty());
            return;
        }
        mServices
                .streamOrigins()
                .find(mStream, mService, mMaxAge, binding -> onResult.accept(bindTo(binding)));
    }

    private Optional<String> bindTo(StreamBinding binding) {
        if (!binding.known()) {
            return unknownVersion();
        }
        mOrigin = binding.origin();
        mOrigin.ifPresent(bound -> mPlacement.bindToVersion(bound.version()));
        return findObstacle();
    }

    private static Optional<String> unknownVersion() {
        return Optional.of("the software version that began the stream is not known");
    }

    /** Returns the reason for which no server can go on with a stream that was taken up. */
    Optional<String> findObstacle() {
        return mOrigin.filter(origin -> !directory().isServed(origin))
                .map(origin -> "no server of software version " + origin.version() + " is left");
    }

    private BackendDirectory directory() {
        return mServices.publishedState().directory();
    }

    /** Records that the caller receives the first event of this answer. */
    void onFirstEvent(String version) {
        mPlacement.bindToVersion(version);
        if (mResumable) {
            mServices.streamOrigins().recordEvent(mStream, new StreamOrigin(mService, version));
        }
    }

    /** Records that the caller has received the whole stream. */
    void onComplete() {
        if (mResumable) {
            mServices.streamOrigins().recordComplete(mStream);
        }
    }
}
