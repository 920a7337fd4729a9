package org.bulrushvale.decision.membership;

import java.time.Duration;
import java.util.Optional;
import org.bulrushvale.kernel.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Holds the highest version of the VM list that this process has seen.
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
     * Offers a list that its sender confirmed {@code age} ago; returns true when it is now held. A
     * known version with other content is rejected and does not confirm the list.
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

    /** Records that a source held this version as its newest {@code age} ago. */
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

    /** Returns how many lists were rejected as older or as contradicting a known version. */
    public long rejectedCount() {
        return mRejectedCount;
    }
}
