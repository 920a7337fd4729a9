package org.bulrushvale.decision.retry;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map of limited size that forgets what was not used for longest.
 *
 * <p>Thread safety: not safe.
 */
final class LeastRecentlyUsedMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1;
    private static final float LOAD_FACTOR = 0.75f;
    private static final int INITIAL_CAPACITY = 16;

    private final int mCapacity;

    LeastRecentlyUsedMap(int capacity) {
        super(INITIAL_CAPACITY, LOAD_FACTOR, true);
        mCapacity = capacity;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > mCapacity;
    }
}
