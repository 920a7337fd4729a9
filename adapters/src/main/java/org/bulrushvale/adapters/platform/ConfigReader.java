package org.bulrushvale.adapters.platform;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.bulrushvale.adapters.platform.PlatformClient.ConfigIndex;
import org.bulrushvale.adapters.platform.PlatformClient.PublishedValue;
import org.bulrushvale.kernel.time.Clock;

/**
 * Reads the published configuration and fetches only the values that changed.
 *
 * <p>Invariant: all delivered values belong to the delivered revision. Thread safety: used by one
 * thread, except {@link #noteRevision}, which may be called from any thread.
 */
final class ConfigReader {
    /**
     * Short enough to confirm an unchanged configuration well within the age limit of 4 s, the
     * default of {@code view_age_max_ms}.
     */
    private static final Duration WATCH_WAIT = Duration.ofSeconds(1);

    /** Pause before the next call to a stale service, which would answer a watch immediately. */
    private static final Duration STALE_PAUSE = Duration.ofSeconds(1);

    private static final Duration MIN_CALL_INTERVAL = Duration.ofMillis(500);
    private static final int MAX_INDEX_READS = 3;

    private final PlatformClient mClient;
    private final PlatformListener mListener;
    private final Clock mClock;
    private final Backoff mBackoff;
    private final Map<String, PublishedValue> mFetchedValues = new HashMap<>();
    private long mDeliveredRevision = -1;
    private volatile long mKnownRevision = -1;

    ConfigReader(PlatformClient client, PlatformListener listener, Clock clock, long seed) {
        mClient = client;
        mListener = listener;
        mClock = clock;
        mBackoff = new Backoff(seed);
    }

    /** Records a revision that the process has already received from a peer. */
    void noteRevision(long revision) {
        mKnownRevision = Math.max(mKnownRevision, revision);
    }

    /** Reads the configuration once and returns the pause before the next call. */
    Duration poll(boolean watch) throws InterruptedException {
        long highestRevision = Math.max(mDeliveredRevision, mKnownRevision);
        long askedAtNanos = mClock.monotonicNanos();
        try {
            ConfigIndex index =
                    watch && highestRevision >= 0
                            ? mClient.watch(highestRevision, WATCH_WAIT)
                            : mClient.index();
            mBackoff.reset();
            if (index.revision() < highestRevision) {
                mListener.onStale(index.revision(), highestRevision);
                return STALE_PAUSE;
            }
            if (index.revision() > highestRevision) {
                return fetchAndDeliver(index, askedAtNanos);
            }
            mListener.onConfirmed(index.revision(), askedAtNanos);
            // A service that ignores the wait time must not be called in a tight loop.
            boolean waited = mClock.elapsedSince(askedAtNanos).compareTo(MIN_CALL_INTERVAL) >= 0;
            return waited ? Duration.ZERO : MIN_CALL_INTERVAL;
        } catch (PlatformException e) {
            mListener.onFailure(e);
            return mBackoff.next();
        }
    }

    private Duration fetchAndDeliver(ConfigIndex firstIndex, long firstAskedAtNanos)
            throws PlatformException, InterruptedException {
        ConfigIndex index = firstIndex;
        long askedAtNanos = firstAskedAtNanos;
        for (int attempt = 0; attempt < MAX_INDEX_READS; attempt++) {
            if (fetchChanged(index)) {
                Map<String, String> texts = new HashMap<>();
                index.values().keySet().forEach(name -> texts.put(name, text(name)));
                mDeliveredRevision = index.revision();
                mListener.onConfig(mDeliveredRevision, Map.copyOf(texts), askedAtNanos);
                return Duration.ZERO;
            }
            // A value changed after the index was read; the mixed values belong to no revision.
            askedAtNanos = mClock.monotonicNanos();
            index = mClient.index();
        }
        throw PlatformException.malformed(
                "/v1/values",
                "revisions of values still differ from the index after "
                        + MAX_INDEX_READS
                        + " reads");
    }

    private boolean fetchChanged(ConfigIndex index) throws PlatformException, InterruptedException {
        mFetchedValues.keySet().retainAll(index.values().keySet());
        boolean matches = true;
        for (Map.Entry<String, Long> entry : index.values().entrySet()) {
            PublishedValue fetched = mFetchedValues.get(entry.getKey());
            if (fetched == null || fetched.revision() != entry.getValue()) {
                PublishedValue value = mClient.value(entry.getKey());
                mFetchedValues.put(entry.getKey(), value);
                matches &= value.revision() == entry.getValue();
            }
        }
        return matches;
    }

    private String text(String name) {
        PublishedValue value = mFetchedValues.get(name);
        return value == null ? "" : value.text();
    }
}
