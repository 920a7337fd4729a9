package org.bulrushvale.decision.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bulrushvale.kernel.time.Clock;

/**
 * The software versions that servers of each service ran recently, as far as this entry read it.
 *
 * <p>Invariant: a version counts for {@link #STREAM_LIFETIME} after its last server was published,
 * so that it counts while a stream that it began can be taken up. Thread safety: not safe; used by
 * the event loop.
 */
public final class ServiceVersions {
    /** Exceeds the time from the first event of a stream to the last time that it is taken up. */
    public static final Duration STREAM_LIFETIME = Duration.ofMinutes(5);

    private final Clock mClock;
    private final long mStartNanos;
    private final Map<String, Map<String, Usage>> mByService = new HashMap<>();

    /** Creates an empty table. */
    ServiceVersions(Clock clock) {
        mClock = clock;
        mStartNanos = clock.monotonicNanos();
    }

    void recordPublished(PublishedBackend server) {
        usage(server).mServers++;
    }

    void recordRemoved(PublishedBackend server) {
        Usage usage = usage(server);
        usage.mServers--;
        usage.mRemovedNanos = mClock.monotonicNanos();
    }

    private Usage usage(PublishedBackend server) {
        return mByService
                .computeIfAbsent(server.service(), service -> new HashMap<>())
                .computeIfAbsent(server.version(), version -> new Usage());
    }

    /** Returns the versions that may have begun a stream of a service that is taken up now. */
    public List<String> recent(String service) {
        Map<String, Usage> versions = mByService.getOrDefault(service, Map.of());
        versions.values()
                .removeIf(
                        usage ->
                                usage.mServers == 0
                                        && mClock.elapsedSince(usage.mRemovedNanos)
                                                        .compareTo(STREAM_LIFETIME)
                                                >= 0);
        return List.copyOf(versions.keySet());
    }

    /** Returns true when this entry has run for as long as a version counts. */
    public boolean isComplete() {
        return mClock.elapsedSince(mStartNanos).compareTo(STREAM_LIFETIME) >= 0;
    }

    private static final class Usage {
        private int mServers;
        private long mRemovedNanos;
    }
}
