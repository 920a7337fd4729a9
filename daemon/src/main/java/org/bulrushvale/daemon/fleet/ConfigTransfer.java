package org.bulrushvale.daemon.fleet;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.decision.config.ConfigDigest;
import org.bulrushvale.decision.config.ConfigStore;

/**
 * Collects the values of a newer configuration revision from one peer, and answers the requests of
 * peers that do so.
 *
 * <p>The first request lists the values that this process holds, with their digests. The answer
 * marks unchanged values instead of sending them. Values that do not fit into an answer are marked
 * as omitted and requested again.
 *
 * <p>Invariant: all collected values belong to one revision. Thread safety: owned by the event
 * loop.
 */
final class ConfigTransfer {
    /**
     * Stays below the frame limit of 1 MiB + 64 KiB. The first value of an answer is always sent,
     * so a single value of 1 MB fits.
     */
    private static final int MAX_ANSWER_BYTES = 1 << 20;

    private static final int DIGEST_CHARS = 16;

    /** Replaces a value that the requesting peer already holds. */
    private static final String UNCHANGED = "=";

    /** Replaces a value that did not fit into the answer. */
    private static final String OMITTED = "";

    /** Marks a name in a request whose value must be sent; other values are then left out. */
    private static final String SINGLE_VALUE_PREFIX = "?";

    private final Map<String, String> mHeldValues;
    private final Map<String, String> mValues = new HashMap<>();
    private long mRevision = -1;

    ConfigTransfer(Map<String, String> heldValues) {
        mHeldValues = heldValues;
    }

    PeerMessage.ConfigFetch firstRequest() {
        List<String> names = new ArrayList<>();
        mHeldValues.forEach((name, text) -> names.add(name + "#" + digestOf(name, text)));
        return new PeerMessage.ConfigFetch(names);
    }

    /** Adds the values of an answer; returns the next request, or empty when all are present. */
    Optional<PeerMessage.ConfigFetch> take(PeerMessage.ConfigValues answer) {
        if (mRevision >= 0 && mRevision != answer.revision()) {
            // The peer has accepted another revision meanwhile; values of two revisions must not be
            // mixed.
            mValues.clear();
            mRevision = -1;
            return Optional.of(firstRequest());
        }
        mRevision = answer.revision();
        List<String> missing = new ArrayList<>();
        for (PeerMessage.ConfigValue value : answer.values()) {
            String heldValue = mHeldValues.get(value.name());
            if (value.json().equals(UNCHANGED) && heldValue != null) {
                mValues.put(value.name(), heldValue);
            } else if (value.json().equals(OMITTED) || value.json().equals(UNCHANGED)) {
                missing.add(SINGLE_VALUE_PREFIX + value.name());
            } else {
                mValues.put(value.name(), value.json());
            }
        }
        return missing.isEmpty()
                ? Optional.empty()
                : Optional.of(new PeerMessage.ConfigFetch(missing));
    }

    long revision() {
        return mRevision;
    }

    Map<String, String> values() {
        return mValues;
    }

    /** Returns the answer to a request of a peer. */
    static PeerMessage.ConfigValues answer(PeerMessage.ConfigFetch request, ConfigStore store) {
        Map<String, String> knownDigests = new HashMap<>();
        List<String> requestedNames = new ArrayList<>();
        for (String name : request.names()) {
            int separator = name.indexOf('#');
            if (name.startsWith(SINGLE_VALUE_PREFIX)) {
                requestedNames.add(name.substring(SINGLE_VALUE_PREFIX.length()));
            } else if (separator >= 0) {
                knownDigests.put(name.substring(0, separator), name.substring(separator + 1));
            }
        }
        List<PeerMessage.ConfigValue> values = new ArrayList<>();
        int remainingBytes = MAX_ANSWER_BYTES;
        for (Map.Entry<String, String> entry : new TreeMap<>(store.values()).entrySet()) {
            String name = entry.getKey();
            String text = entry.getValue();
            if (!requestedNames.isEmpty() && !requestedNames.contains(name)) {
                continue;
            }
            if (digestOf(name, text).equals(knownDigests.get(name))) {
                text = UNCHANGED;
            }
            int size = text.getBytes(StandardCharsets.UTF_8).length + name.length();
            boolean fits = size <= remainingBytes || remainingBytes == MAX_ANSWER_BYTES;
            remainingBytes -= fits ? size : 0;
            values.add(new PeerMessage.ConfigValue(name, store.revision(), fits ? text : OMITTED));
        }
        long age = store.confirmationAge().map(java.time.Duration::toMillis).orElse(0L);
        return new PeerMessage.ConfigValues(store.revision(), age, values);
    }

    private static String digestOf(String name, String text) {
        return ConfigDigest.of(Map.of(name, text)).substring(0, DIGEST_CHARS);
    }
}
