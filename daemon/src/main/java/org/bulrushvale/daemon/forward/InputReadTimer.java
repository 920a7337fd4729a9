package org.bulrushvale.daemon.forward;

import java.time.Duration;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Set;
import org.bulrushvale.adapters.settings.ForwardSettings.InputRelease;
import org.bulrushvale.decision.forward.StageQueue;

/**
 * Reports to the pieces of a running stage call when its server has read their inputs, so that the
 * results can be released before the call ends.
 *
 * <p>Load: chains of stages whose result memory is short. A server reads the inputs of a call when
 * the call begins; held until its end, they occupy the memory of their maker for the time of a
 * whole further call. A piece whose call is lost after the release ends as {@code INPUT_GONE}, and
 * the request repeats its stages.
 *
 * <p>Invariant: nothing is reported for a call that ended before. Thread safety: used on the event
 * loop.
 */
final class InputReadTimer {
    // The inputs of a full call (40 MB) take 32 ms over the published link of 10 Gbit/s.
    private static final Duration READ_TIME = Duration.ofMillis(100);

    private final ForwardServices mServices;
    private final Set<StageQueue.Call<QueuedPiece>> mUnreadCalls =
            Collections.newSetFromMap(new IdentityHashMap<>());

    InputReadTimer(ForwardServices services) {
        mServices = services;
    }

    void onCallStarted(StageQueue.Call<QueuedPiece> call) {
        boolean hasInputs =
                call.pieces().stream().anyMatch(piece -> !piece.order().inputs().isEmpty());
        if (hasInputs && mServices.features().stages().inputRelease() == InputRelease.AFTER_READ) {
            mUnreadCalls.add(call);
            mServices.loop().schedule(READ_TIME, () -> onReadTimeElapsed(call));
        }
    }

    private void onReadTimeElapsed(StageQueue.Call<QueuedPiece> call) {
        if (mUnreadCalls.remove(call)) {
            call.pieces().forEach(QueuedPiece::recordInputsRead);
            mServices.metrics().count("bulrushvale.stage.inputs.released.early");
        }
    }

    void onCallEnded(StageQueue.Call<QueuedPiece> call) {
        mUnreadCalls.remove(call);
    }
}
