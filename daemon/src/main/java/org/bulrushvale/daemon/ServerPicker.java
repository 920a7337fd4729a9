package org.bulrushvale.daemon;

import java.util.Optional;
import java.util.Set;
import org.bulrushvale.decision.config.BackendServer;
import org.bulrushvale.decision.config.Stage;
import org.bulrushvale.decision.retry.ContentFingerprint;
import org.bulrushvale.decision.warmup.AttemptOutcome;

/**
 * Chooses backend servers and accounts for attempts in progress.
 *
 * <p>Invariant: every choice is followed by exactly one {@link #finished}. Thread safety: owned by
 * the event loop.
 */
interface ServerPicker {
    /**
     * Chooses a server for one attempt and reserves a slot; empty when none may receive it now.
     *
     * @param avoid servers taken only when no other one is free
     * @param elsewhere true when none of the avoided servers may be taken
     * @param content decides where a suspected poison request may run
     */
    Optional<BackendServer> pick(
            Stage stage,
            Set<String> avoid,
            boolean elsewhere,
            String prefix,
            ContentFingerprint content);

    /** Returns true when {@link #pick} would find a server for content that is not suspected. */
    boolean hasRoom(String pool);

    /** Returns how many attempts this entry can run in the pool at the same time. */
    int slots(String pool);

    /** Returns the epoch that the server reported last, empty when none is known. */
    String epoch(String server);

    /**
     * Releases the slot of an attempt.
     *
     * @param nanosPerToken time per token, 0 when not known
     */
    void finished(
            BackendServer server,
            ContentFingerprint content,
            AttemptOutcome end,
            double nanosPerToken);
}
