package org.bulrushvale.daemon.fleet;

import java.util.List;
import org.bulrushvale.decision.warmup.WarmthAnnouncement;
import org.bulrushvale.decision.warmup.WarmupLimiter;
import org.bulrushvale.kernel.time.Clock;

/**
 * Announcements of warmth that travel with gossip.
 *
 * <p>Thread safety: owned by the event loop.
 */
public interface WarmthExchange {
    /** Returns the announcements that are new since the last call. */
    List<WarmthAnnouncement> drain();

    /** Returns all known announcements, for a process that has just started. */
    List<WarmthAnnouncement> snapshot();

    /** Takes announcements of a peer. */
    void merge(List<WarmthAnnouncement> announcements);

    /** Returns an exchange that knows and takes nothing. */
    static WarmthExchange none() {
        return new WarmthExchange() {
            @Override
            public List<WarmthAnnouncement> drain() {
                return List.of();
            }

            @Override
            public List<WarmthAnnouncement> snapshot() {
                return List.of();
            }

            @Override
            public void merge(List<WarmthAnnouncement> announcements) {}
        };
    }

    /** Returns the exchange of a table. */
    static WarmthExchange of(WarmupLimiter table, Clock clock) {
        return new WarmthExchange() {
            @Override
            public List<WarmthAnnouncement> drain() {
                return table.drainAnnouncements();
            }

            @Override
            public List<WarmthAnnouncement> snapshot() {
                return table.snapshot();
            }

            @Override
            public void merge(List<WarmthAnnouncement> announcements) {
                long now = clock.monotonicNanos();
                announcements.forEach(announcement -> table.merge(announcement, now));
            }
        };
    }
}
