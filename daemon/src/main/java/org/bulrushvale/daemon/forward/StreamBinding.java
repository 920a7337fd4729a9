package org.bulrushvale.daemon.forward;

import java.util.Optional;
import org.bulrushvale.decision.forward.StreamOrigin;

/**
 * What is known of a stream at a service.
 *
 * <p>Thread safety: immutable.
 *
 * @param origin the version that the stream must go on at; empty when there is none
 * @param known false when nothing tells whether the stream has been at the service
 */
record StreamBinding(Optional<StreamOrigin> origin, boolean known) {
    static final StreamBinding UNKNOWN = new StreamBinding(Optional.empty(), false);

    /** The stream has no event from the service yet, so any version can go on. */
    static final StreamBinding NONE = new StreamBinding(Optional.empty(), true);

    static StreamBinding to(StreamOrigin origin) {
        return new StreamBinding(Optional.of(origin), true);
    }
}
