package org.bulrushvale.daemon;

import java.util.Optional;
import java.util.Set;
import org.bulrushvale.decision.config.BackendServer;
import org.bulrushvale.decision.config.Stage;
import org.bulrushvale.decision.retry.ContentFingerprint;
import org.bulrushvale.decision.warmup.AttemptOutcome;

/**
 * Chooses backend servers and counts the attempts in progress at each.
 *
 * <p>Invariant: every chosen server is passed to {@link #finished} exactly once. Thread safety:
 * owned by the event loop.
 */
interface ServerPicker {
    /**
     * Chooses a server for one attempt and reserves a slot; empty when no server may receive it
     * now.
     *
     * @param avoid servers to choose only when no other one is free
     * @param mustAvoid true when the avoided servers must not be chosen at all
     * @param prefix prompt prefix for the routing policy, given by the session; may be empty
     * @param content fingerprint that decides where a suspected poison request may run
     */
    Optional<BackendServer> pick(
            Stage stage,
            Set<String> avoid,
            boolean mustAvoid,
            String prefix,
            ContentFingerprint content);

    /** Returns true when {@link #pick} would find a server for content that is not suspected. */
    boolean hasRoom(String pool);

    /** Returns how many attempts this entry can run in the pool at the same time. */
    int slots(String pool);

    /** Returns the epoch that the server reported last; empty when it is unknown. */
    String epoch(String server);

    /**
     * Releases the slot of an attempt.
     *
     * @param nanosPerToken time per token, 0 when it is unknown
     */
    void finished(
            BackendServer server,
            ContentFingerprint content,
            AttemptOutcome end,
            double nanosPerToken);
}
