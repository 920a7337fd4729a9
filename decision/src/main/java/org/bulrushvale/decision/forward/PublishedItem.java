package org.bulrushvale.decision.forward;

/**
 * One published item with its value, or the removal of an item.
 *
 * <p>Invariant: the value array is not modified and is empty for a removal. Thread safety:
 * immutable.
 *
 * @param revision number of the store's revision, in the era of its collection, at which the item
 *     was last changed or removed
 */
public record PublishedItem(String key, byte[] value, long revision, boolean deleted) {
    /** Returns the removal of an item. */
    public static PublishedItem removed(String key, long revision) {
        return new PublishedItem(key, new byte[0], revision, true);
    }
}
