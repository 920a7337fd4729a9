package org.bulrushvale.adapters.platform;

import java.util.Map;
import org.bulrushvale.decision.membership.VmList;

/**
 * Receives the results of reading the platform. {@code askedAtNanos} is the monotonic time before
 * the call was sent, so that a pause during the call makes the result look older, never newer.
 *
 * <p>Thread safety: called by the threads of the reader; implementations pass the results to the
 * event loop.
 */
public interface PlatformListener {
    /** Called with all values of a revision that differs from the last delivered one. */
    void onConfig(long revision, Map<String, String> values, long askedAtNanos);

    /** Called when the service confirms a delivered or known revision as its newest. */
    void onConfirmed(long revision, long askedAtNanos);

    /** Called when the service answered with a revision lower than a known one. */
    void onStale(long revision, long known);

    /** Called when the VM list was read. */
    void onVmList(VmList list, long askedAtNanos);

    /** Called when a call to the platform failed. */
    void onFailure(PlatformException failure);
}
