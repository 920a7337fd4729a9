package org.bulrushvale.decision.forward;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The published items of one collection, merged from reads of the store and from the updates of
 * other entries.
 *
 * <p>Invariants: an item never goes back to an earlier revision, regardless of the order in which
 * reads and updates arrive; {@link #revision} never decreases, and every change up to it has been
 * applied. Thread safety: not safe; used by the event loop.
 */
public final class PublishedItems {
    // Removals are kept so that an update can name them. An entry that is further behind receives
    // all items.
    private static final int MAX_REMOVALS = 1_024;

    private final Map<String, PublishedItem> mItems = new HashMap<>();
    private long mRevision = -1;
    private long mLastChangeRevision = -1;

    // Removals up to this revision may be missing, so an earlier change is never applied.
    private long mForgottenRevision = -1;

    /** Returns the revision up to which all changes are known, or -1 before the first read. */
    public long revision() {
        return mRevision;
    }

    /** Returns true once all items of the collection were received. */
    public boolean isComplete() {
        return mRevision >= 0;
    }

    /** Returns the present items. */
    public List<PublishedItem> present() {
        return mItems.values().stream().filter(item -> !item.deleted()).toList();
    }

    /**
     * Applies an update and returns the items that it changed or removed, oldest change first.
     * Changes are ignored before the first complete update.
     */
    public List<PublishedItem> apply(Update update) {
        if (!update.complete() && !isComplete()) {
            return List.of();
        }
        List<PublishedItem> candidates = new ArrayList<>(update.items());
        if (update.complete()) {
            candidates.addAll(missingItems(update));
        }
        List<PublishedItem> changed = new ArrayList<>();
        for (PublishedItem item : candidates) {
            PublishedItem known = mItems.get(item.key());
            long knownRevision = known == null ? -1 : known.revision();
            boolean isNewer = item.revision() > Math.max(knownRevision, mForgottenRevision);
            if (isNewer) {
                mItems.put(item.key(), item);
                mLastChangeRevision = Math.max(mLastChangeRevision, item.revision());
                changed.add(item);
            }
        }
        if (update.complete() && update.revision() > mRevision) {
            // Items that came and went since the last known revision are not listed.
            mForgottenRevision = Math.max(mForgottenRevision, update.revision());
        }
        mRevision = Math.max(mRevision, update.revision());
        if (!changed.isEmpty()) {
            forgetOldRemovals();
        }
        changed.sort((a, b) -> Long.compare(a.revision(), b.revision()));
        return changed;
    }

    /** Returns the number of items whose value in an update differs from the known one. */
    public long countDiffering(Update update) {
        return update.items().stream().filter(this::differsFromKnown).count();
    }

    private boolean differsFromKnown(PublishedItem item) {
        PublishedItem known = mItems.get(item.key());
        return known == null
                || known.deleted() != item.deleted()
                || !Arrays.equals(known.value(), item.value());
    }

    private List<PublishedItem> missingItems(Update update) {
        Set<String> listed = new HashSet<>();
        update.items().forEach(item -> listed.add(item.key()));
        return present().stream()
                .filter(item -> !listed.contains(item.key()))
                .filter(item -> item.revision() < update.revision())
                .map(item -> PublishedItem.removed(item.key(), update.revision()))
                .toList();
    }

    private void forgetOldRemovals() {
        List<PublishedItem> removals =
                mItems.values().stream()
                        .filter(PublishedItem::deleted)
                        .sorted((a, b) -> Long.compare(a.revision(), b.revision()))
                        .toList();
        for (PublishedItem removal :
                removals.subList(0, Math.max(0, removals.size() - MAX_REMOVALS))) {
            mItems.remove(removal.key());
            mForgottenRevision = Math.max(mForgottenRevision, removal.revision());
        }
    }

    /** Returns what an entry lacks that knows all changes up to {@code revision}. */
    public Update changesSince(long revision) {
        if (revision >= Math.max(0, Math.max(mLastChangeRevision, mForgottenRevision))) {
            return new Update(List.of(), mRevision, false);
        }
        boolean complete = revision < 0 || revision < mForgottenRevision;
        List<PublishedItem> items =
                complete
                        ? present()
                        : mItems.values().stream()
                                .filter(item -> item.revision() > revision)
                                .toList();
        return new Update(items, mRevision, complete);
    }

    /**
     * Changes of a collection.
     *
     * <p>Thread safety: immutable.
     *
     * @param revision revision up to which the update contains all changes
     * @param complete true when the update contains all present items of the collection
     */
    public record Update(List<PublishedItem> items, long revision, boolean complete) {
        public Update {
            items = List.copyOf(items);
        }
    }
}
