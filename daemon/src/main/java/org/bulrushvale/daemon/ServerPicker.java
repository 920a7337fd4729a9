package org.bulrushvale.daemon;

import java.util.Optional;
import java.util.Set;
import org.bulrushvale.decision.config.BackendServer;
import org.bulrushvale.decision.config.Stage;

/**
 * Chooses backend servers and accounts for attempts in progress.
 *
 * <p>Invariant: every choice is followed by exactly one {@link #finished}. Thread safety: owned by
 * the event loop.
 */
interface ServerPicker {
    /** Chooses a server for one attempt and reserves a slot; empty when none may receive it now. */
    Optional<BackendServer> pick(Stage stage, Set<String> avoid, String prefix);

    /** Returns true when {@link #pick} would find a server of the pool. */
    boolean hasRoom(String pool);

    /** Returns the slots of all servers of the pool that are in service. */
    int slots(String pool);

    /** Releases the slot of an attempt. */
    void finished(BackendServer server, boolean ran);
}
