package org.bulrushvale.adapters.platform;

import java.util.Map;
import org.bulrushvale.decision.membership.VmList;

/**
 * Receives what the platform said. The times are readings of the monotonic clock taken before the
 * call was sent, so that a pause during the call makes the answer older and never younger.
 *
 * <p>Thread safety: called by the threads of the reader; hands over to the event loop.
 */
public interface PlatformListener {
    /** All values of a revision that differs from the last one delivered. */
    void onConfig(long revision, Map<String, String> values, long askedAtNanos);

    /** The service names this revision, already delivered or known, as its newest. */
    void onConfirmed(long revision, long askedAtNanos);

    /** The service answered with a lower revision than one that is known. */
    void onStale(long revision, long known);

    /** The VM list was read. */
    void onVmList(VmList list, long askedAtNanos);

    /** A call failed. */
    void onFailure(PlatformException failure);
}
