package org.bulrushvale.daemon;

import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.bulrushvale.decision.config.BackendServer;
import org.bulrushvale.decision.config.Stage;
import org.bulrushvale.decision.retry.ContentFingerprint;
import org.bulrushvale.decision.warmup.AttemptOutcome;

/**
 * Chooses no server until the view of the fleet has been refreshed; attempts wait in their queues
 * meanwhile.
 *
 * <p>Thread safety: owned by the event loop.
 */
final class GatedServerPicker implements ServerPicker {
    private final ServerPicker mPicker;
    private final BooleanSupplier mMayChoose;

    GatedServerPicker(ServerPicker picker, BooleanSupplier mayChoose) {
        mPicker = picker;
        mMayChoose = mayChoose;
    }

    @Override
    public Optional<BackendServer> pick(
            Stage stage,
            Set<String> avoid,
            boolean mustAvoid,
            String prefix,
            ContentFingerprint content) {
        return mMayChoose.getAsBoolean()
                ? mPicker.pick(stage, avoid, mustAvoid, prefix, content)
                : Optional.empty();
    }

    @Override
    public boolean hasRoom(String pool) {
        return mMayChoose.getAsBoolean() && mPicker.hasRoom(pool);
    }

    @Override
    public int slots(String pool) {
        return mPicker.slots(pool);
    }

    @Override
    public String epoch(String server) {
        return mPicker.epoch(server);
    }

    @Override
    public void finished(
            BackendServer server,
            ContentFingerprint content,
            AttemptOutcome end,
            double nanosPerToken) {
        mPicker.finished(server, content, end, nanosPerToken);
    }
}
