package org.bulrushvale.daemon;

import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.bulrushvale.decision.config.BackendServer;
import org.bulrushvale.decision.config.Stage;
import org.bulrushvale.decision.retry.ContentFingerprint;
import org.bulrushvale.decision.warmup.AttemptOutcome;

/**
 * Chooses no server while the view of the fleet must be refreshed first; attempts wait meanwhile.
 *
 * <p>Thread safety: owned by the event loop.
 */
final class GatedPicker implements ServerPicker {
    private final ServerPicker mPicker;
    private final BooleanSupplier mOpen;

    GatedPicker(ServerPicker picker, BooleanSupplier open) {
        mPicker = picker;
        mOpen = open;
    }

    @Override
    public Optional<BackendServer> pick(
            Stage stage,
            Set<String> avoid,
            boolean elsewhere,
            String prefix,
            ContentFingerprint content) {
        return mOpen.getAsBoolean()
                ? mPicker.pick(stage, avoid, elsewhere, prefix, content)
                : Optional.empty();
    }

    @Override
    public boolean hasRoom(String pool) {
        return mOpen.getAsBoolean() && mPicker.hasRoom(pool);
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
