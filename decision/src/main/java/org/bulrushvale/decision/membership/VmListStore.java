package org.bulrushvale.decision.membership;

import java.time.Duration;
import java.util.Optional;
import org.bulrushvale.kernel.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Holds the newest version of the VM list that this process has received.
 *
 * <p>Invariant: the version only increases; a lower version neither replaces nor confirms the list.
 * Thread safety: single-writer, used by the event loop only.
 */
public final class VmListStore {
    private final Clock mClock;
    private @Nullable ConfirmedValue<VmList> mView;
    private long mRejectedCount;

    private VmListStore(Clock clock) {
        mClock = clock;
    }

    /** Returns a store that holds no list yet. */
    public static VmListStore empty(Clock clock) {
        return new VmListStore(clock);
    }

    /**
     * Offers a list that its sender confirmed {@code age} ago; returns true when it replaces the
     * held one. The held list offered again counts as a confirmation. An older list, or the held
     * version with different content, is rejected and confirms nothing.
     */
    public boolean offer(VmList list, Duration age) {
        ConfirmedValue<VmList> view = mView;
        if (view != null && list.version() <= view.value().version()) {
            if (!list.equals(view.value())) {
                mRejectedCount++;
                return false;
            }
            confirm(list.version(), age);
            return false;
        }
        mView = new ConfirmedValue<>(list, mClock.monotonicNanos() - age.toNanos());
        return true;
    }

    /**
     * Records that this version was the newest one of a source {@code age} ago; returns false, and
     * confirms nothing, when the held list has another version.
     */
    public boolean confirm(long version, Duration age) {
        ConfirmedValue<VmList> view = mView;
        if (view == null || version != view.value().version()) {
            return false;
        }
        mView = view.confirmedAt(mClock.monotonicNanos() - age.toNanos());
        return true;
    }

    /** Returns the list with its confirmation time, empty when none was read. */
    public Optional<ConfirmedValue<VmList>> view() {
        return Optional.ofNullable(mView);
    }

    /** Returns the list, an empty one when none was read. */
    public VmList list() {
        return mView == null ? VmList.empty() : mView.value();
    }

    /**
     * Returns how many lists were rejected because they were older than the held list or had its
     * version with different content.
     */
    public long rejectedCount() {
        return mRejectedCount;
    }
}
