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
    private @Nullable ConfirmedValue<VmList> mHeldList;
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
        ConfirmedValue<VmList> held = mHeldList;
        if (held != null && list.version() <= held.value().version()) {
            if (!list.equals(held.value())) {
                mRejectedCount++;
                return false;
            }
            confirm(list.version(), age);
            return false;
        }
        mHeldList = new ConfirmedValue<>(list, mClock.nanosBefore(age));
        return true;
    }

    /**
     * Records that this version was the newest one of a source {@code age} ago; returns false, and
     * confirms nothing, when the held list has another version.
     */
    public boolean confirm(long version, Duration age) {
        ConfirmedValue<VmList> held = mHeldList;
        if (held == null || version != held.value().version()) {
            return false;
        }
        mHeldList = held.confirmedAt(mClock.nanosBefore(age));
        return true;
    }

    /** Returns the list with its confirmation time, empty when none was read. */
    public Optional<ConfirmedValue<VmList>> confirmedList() {
        return Optional.ofNullable(mHeldList);
    }

    /** Returns the list, an empty one when none was read. */
    public VmList list() {
        return mHeldList == null ? VmList.empty() : mHeldList.value();
    }

    /**
     * Returns how many lists were rejected because they were older than the held list or had its
     * version with different content.
     */
    public long rejectedCount() {
        return mRejectedCount;
    }
}
