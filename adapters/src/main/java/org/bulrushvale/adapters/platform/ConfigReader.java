package org.bulrushvale.adapters.platform;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.bulrushvale.adapters.platform.PlatformClient.ConfigIndex;
import org.bulrushvale.adapters.platform.PlatformClient.Value;
import org.bulrushvale.kernel.time.Clock;

/**
 * Reads the published configuration, fetching only values that changed.
 *
 * <p>Invariant: the delivered values all belong to the delivered revision. Thread safety: used by
 * one thread, except {@link #known}, which any thread may call.
 */
final class ConfigReader {
    /** Short enough to confirm the view of a quiet service well within its limit of 4 s. */
    private static final Duration WATCH_WAIT = Duration.ofSeconds(1);

    /** Pause before the next call when the service is stale and would answer at once. */
    private static final Duration STALE_PAUSE = Duration.ofSeconds(1);

    private static final Duration MIN_INTERVAL = Duration.ofMillis(500);
    private static final int MAX_REREADS = 3;

    private final PlatformClient mClient;
    private final PlatformListener mListener;
    private final Clock mClock;
    private final Backoff mBackoff;
    private final Map<String, Value> mValues = new HashMap<>();
    private long mDelivered = -1;
    private volatile long mKnown = -1;

    ConfigReader(PlatformClient client, PlatformListener listener, Clock clock, long seed) {
        mClient = client;
        mListener = listener;
        mClock = clock;
        mBackoff = new Backoff(seed);
    }

    /** Tells the reader which revision the process already holds from a peer. */
    void known(long revision) {
        mKnown = Math.max(mKnown, revision);
    }

    /** Reads once; returns the pause before the next call. */
    Duration step(boolean watch) throws InterruptedException {
        long highest = Math.max(mDelivered, mKnown);
        long askedAt = mClock.monotonicNanos();
        try {
            ConfigIndex index =
                    watch && highest >= 0 ? mClient.watch(highest, WATCH_WAIT) : mClient.index();
            mBackoff.reset();
            if (index.revision() < highest) {
                mListener.onStale(index.revision(), highest);
                return STALE_PAUSE;
            }
            if (index.revision() > highest) {
                return fetch(index, askedAt);
            }
            mListener.onConfirmed(index.revision(), askedAt);
            // A service that does not honour the wait must not be asked without pause.
            boolean waited = mClock.elapsedSince(askedAt).compareTo(MIN_INTERVAL) >= 0;
            return waited ? Duration.ZERO : MIN_INTERVAL;
        } catch (PlatformException e) {
            mListener.onFailure(e);
            return mBackoff.next();
        }
    }

    private Duration fetch(ConfigIndex first, long firstAskedAt)
            throws PlatformException, InterruptedException {
        ConfigIndex index = first;
        long askedAt = firstAskedAt;
        for (int attempt = 0; attempt < MAX_REREADS; attempt++) {
            if (fetchChanged(index)) {
                Map<String, String> texts = new HashMap<>();
                index.values().keySet().forEach(name -> texts.put(name, text(name)));
                mDelivered = index.revision();
                mListener.onConfig(mDelivered, Map.copyOf(texts), askedAt);
                return Duration.ZERO;
            }
            // A value changed after the index was read; mixing the two would be no revision at all.
            askedAt = mClock.monotonicNanos();
            index = mClient.index();
        }
        throw PlatformException.malformed("/v1/values", "values do not match the index");
    }

    private boolean fetchChanged(ConfigIndex index) throws PlatformException, InterruptedException {
        mValues.keySet().retainAll(index.values().keySet());
        boolean matches = true;
        for (Map.Entry<String, Long> entry : index.values().entrySet()) {
            Value held = mValues.get(entry.getKey());
            if (held == null || held.revision() != entry.getValue()) {
                Value value = mClient.value(entry.getKey());
                mValues.put(entry.getKey(), value);
                matches &= value.revision() == entry.getValue();
            }
        }
        return matches;
    }

    private String text(String name) {
        Value value = mValues.get(name);
        return value == null ? "" : value.text();
    }
}
