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
 * Collects the values of a newer revision from one peer, and answers peers that do so.
 *
 * <p>The first question names the values that are held with their digests; the answer leaves those
 * out that did not change. Values that do not fit into the answer are asked for in further
 * questions.
 *
 * <p>Invariant: the collected values all belong to one revision. Thread safety: owned by the event
 * loop.
 */
final class ConfigTransfer {
    /** Below the frame limit of 1 MiB + 64 KiB; a single value of 1 MB is always sent. */
    private static final int MAX_ANSWER_BYTES = 1 << 20;

    private static final int DIGEST_CHARS = 16;
    private static final String SAME = "=";
    private static final String OMITTED = "";
    private static final String ONLY = "?";

    private final Map<String, String> mHeld;
    private final Map<String, String> mValues = new HashMap<>();
    private long mRevision = -1;

    ConfigTransfer(Map<String, String> held) {
        mHeld = held;
    }

    PeerMessage.ConfigFetch firstQuestion() {
        List<String> names = new ArrayList<>();
        mHeld.forEach((name, text) -> names.add(name + "#" + digest(name, text)));
        return new PeerMessage.ConfigFetch(names);
    }

    /** Takes an answer; returns the next question, or empty when all values are there. */
    Optional<PeerMessage.ConfigFetch> take(PeerMessage.ConfigValues answer) {
        if (mRevision >= 0 && mRevision != answer.revision()) {
            // The peer has accepted another revision meanwhile; values of two must not be mixed.
            mValues.clear();
            mRevision = -1;
            return Optional.of(firstQuestion());
        }
        mRevision = answer.revision();
        List<String> missing = new ArrayList<>();
        for (PeerMessage.ConfigValue value : answer.values()) {
            String held = mHeld.get(value.name());
            if (value.json().equals(SAME) && held != null) {
                mValues.put(value.name(), held);
            } else if (value.json().equals(OMITTED) || value.json().equals(SAME)) {
                missing.add(ONLY + value.name());
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

    /** Returns the answer to a question of a peer. */
    static PeerMessage.ConfigValues answer(PeerMessage.ConfigFetch question, ConfigStore store) {
        Map<String, String> known = new HashMap<>();
        List<String> wanted = new ArrayList<>();
        for (String name : question.names()) {
            int hash = name.indexOf('#');
            if (name.startsWith(ONLY)) {
                wanted.add(name.substring(ONLY.length()));
            } else if (hash >= 0) {
                known.put(name.substring(0, hash), name.substring(hash + 1));
            }
        }
        List<PeerMessage.ConfigValue> values = new ArrayList<>();
        int room = MAX_ANSWER_BYTES;
        for (Map.Entry<String, String> entry : new TreeMap<>(store.values()).entrySet()) {
            String name = entry.getKey();
            String text = entry.getValue();
            if (!wanted.isEmpty() && !wanted.contains(name)) {
                continue;
            }
            if (digest(name, text).equals(known.get(name))) {
                text = SAME;
            }
            int size = text.getBytes(StandardCharsets.UTF_8).length + name.length();
            boolean fits = size <= room || room == MAX_ANSWER_BYTES;
            room -= fits ? size : 0;
            values.add(new PeerMessage.ConfigValue(name, store.revision(), fits ? text : OMITTED));
        }
        long age = store.confirmationAge().map(java.time.Duration::toMillis).orElse(0L);
        return new PeerMessage.ConfigValues(store.revision(), age, values);
    }

    private static String digest(String name, String text) {
        return ConfigDigest.of(Map.of(name, text)).substring(0, DIGEST_CHARS);
    }
}
